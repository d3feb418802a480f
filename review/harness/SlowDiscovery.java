import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** Replicas are replaced one after another while the answers of discovery take seconds. */
final class SlowDiscovery {
    private static final int SLOWNESS_MS = 5000;
    /** After this time a change counts as told, whether or not it has arrived. */
    private static final double TOLD_AFTER = 6;
    /** The grace of the settings, and 50 ms by which every limit is longer on sockets. */
    private static final double GRACE = 0.25 + 0.05;
    /** For this process, which may be held up between the change and the note of its time. */
    private static final double ALLOWANCE = 0.25;

    private static final int CLIENTS = 24;
    private static final double SECONDS = 42;

    /** A node that turns away what comes to it after it has begun to drain. */
    private static final class DrainingNode extends DbNode {
        private final AtomicInteger late;
        volatile double drainingSince = Double.POSITIVE_INFINITY;

        DrainingNode(Case run, String uid, boolean primary, AtomicInteger late) throws IOException {
            super(run, uid, primary);
            this.late = late;
        }

        @Override
        void respond(Statement statement, OutputStream out) throws Exception {
            double after = run.now() - drainingSince;
            if (after > 0) {
                boolean broken = after > TOLD_AFTER + GRACE + ALLOWANCE;
                late.addAndGet(broken ? 1 : 0);
                run.log(uid, String.format("%s sent %.3f s after the change%s", statement.id(), after,
                        broken ? ": TOO LATE" : ""));
                out.write(Pg.error("53300", "draining"));
                return;
            }
            Thread.sleep(ThreadLocalRandom.current().nextInt(10, 40));
            out.write(answer(statement));
        }
    }

    public static void main(String[] arguments) throws IOException {
        Case.main(arguments, SlowDiscovery::run);
    }

    private static int run(Case run) throws Exception {
        var late = new AtomicInteger();
        var discovery = run.keep(new Discovery(run));
        List<DrainingNode> nodes = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            nodes.add(add(run, discovery, i, late));
        }
        Router router = Router.start(run, "n1", discovery, Settings.text(1, "5000000000"), 1024, 192);
        Map<String, AtomicInteger> ends = new ConcurrentHashMap<>();
        double end = run.now() + SECONDS;
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            threads.add(Threads.start(() -> {
                try (var client = new Client(router)) {
                    for (int n = 0; run.now() < end; n++) {
                        boolean bounded = n % 2 == 0;
                        String group = bounded ? "tag-check" : "rate-lookup";
                        String key = String.format("%08x%08x", number, n);
                        String id = Client.newId();
                        String statement = Client.read(key, id, group, bounded ? 600 : 750, 1);
                        String kind = client.ask(statement, 1400).kind();
                        ends.computeIfAbsent(kind, any -> new AtomicInteger()).incrementAndGet();
                        Thread.sleep(ThreadLocalRandom.current().nextInt(40, 160));
                    }
                }
            }));
        }
        Thread.sleep(8000);
        discovery.slownessMs = run.trouble ? SLOWNESS_MS : 0;
        run.log("case", "each answer of discovery takes " + discovery.slownessMs + " ms from now on");
        // A new replica joins, and an old one begins to drain shortly after; every 2.2 s.
        for (int i = 1; i <= 12; i++) {
            nodes.add(add(run, discovery, 5 + i, late));
            Thread.sleep(400);
            DrainingNode old = nodes.get(i);
            old.drainingSince = run.now();
            discovery.set(old.uid, old.port(), 1, "replica", "draining", 0);
            Thread.sleep(1800);
        }
        for (Thread thread : threads) {
            thread.join();
        }
        run.say("requests sent to draining nodes more than " + (TOLD_AFTER + GRACE + ALLOWANCE)
                + " s after the change: " + late + "; ends of requests: " + ends + "; router alive: "
                + router.isAlive());
        if (ends.getOrDefault("served", new AtomicInteger()).get() < 1000) {
            return Case.COULD_NOT_RUN;
        }
        return late.get() > 0 ? Case.BROKEN : Case.HELD;
    }

    private static DrainingNode add(Case run, Discovery discovery, int number, AtomicInteger late) throws IOException {
        var node = run.keep(new DrainingNode(run, "node-" + number, number == 0, late));
        discovery.set(node.uid, node.port(), 1, number == 0 ? "primary" : "replica", "up", 0);
        return node;
    }
}
