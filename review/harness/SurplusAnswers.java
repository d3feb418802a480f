import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Nodes write a second copy right behind some of their good answers. Their sockets are as the system opens them: without
 * TCP_NODELAY it holds the second small write back until the first one is acknowledged.
 */
final class SurplusAnswers {
    private static final double SHARE = 0.02;
    private static final int CLIENTS = 12;
    private static final double SECONDS = 25;

    private static final class SurplusNode extends DbNode {
        private final AtomicInteger copies;

        SurplusNode(Case run, String uid, boolean primary, AtomicInteger copies) throws IOException {
            super(run, uid, primary);
            this.copies = copies;
        }

        @Override
        void prepare(Socket socket) {
            // as the system opens it: without TCP_NODELAY
        }

        @Override
        void respond(Statement statement, OutputStream out) throws Exception {
            Thread.sleep(ThreadLocalRandom.current().nextInt(10, 40));
            byte[] answer = answer(statement);
            out.write(answer);
            if (run.trouble && ThreadLocalRandom.current().nextDouble() < SHARE) {
                out.write(answer);
                copies.incrementAndGet();
                run.log(uid, "second copy behind the answer to " + statement.id());
            }
        }
    }

    public static void main(String[] arguments) throws IOException {
        Case.main(arguments, SurplusAnswers::run);
    }

    private static int run(Case run) throws Exception {
        var copies = new AtomicInteger();
        var discovery = run.keep(new Discovery(run));
        for (int i = 0; i < 5; i++) {
            var node = run.keep(new SurplusNode(run, "node-" + i, i == 0, copies));
            discovery.set(node.uid, node.port(), 1, i == 0 ? "primary" : "replica", "up", 0);
        }
        Router router = Router.start(run, "n1", discovery, Settings.text(1, "5000000000"), 1024, 192);
        var served = new AtomicInteger();
        var other = new AtomicInteger();
        var foreign = new AtomicInteger();
        double end = run.now() + SECONDS;
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            threads.add(Threads.start(() -> {
                try (var client = new Client(router)) {
                    for (int n = 0; run.now() < end; n++) {
                        String id = Client.newId();
                        String key = String.format("%08x%08x", number, n);
                        boolean write = n % 12 == 11;
                        String statement = write
                                ? Client.write(key, "9f03", id, "toll-post", 5000, Client.newId(), 1)
                                : Client.read(key, id, n % 2 == 0 ? "tag-check" : "rate-lookup", 600, 1);
                        Client.Result result = client.ask(statement, write ? 5600 : 1200);
                        if (!result.kind().equals("served")) {
                            other.incrementAndGet();
                            run.log("client " + number, id + " " + result);
                        } else if (result.text().equals(key + "/" + id)) {
                            served.incrementAndGet();
                        } else {
                            foreign.incrementAndGet();
                            run.log("client " + number, id + " with key " + key + " got the FOREIGN value "
                                    + result.text() + (write ? " for a write" : ""));
                        }
                        Thread.sleep(ThreadLocalRandom.current().nextInt(5, 40));
                    }
                }
            }));
        }
        for (Thread thread : threads) {
            thread.join();
        }
        run.say("answers with a second copy behind them: " + copies + "; requests served with their own value: " + served
                + ", with the value of another request: " + foreign + ", refused or failed: " + other
                + "; router alive: " + router.isAlive());
        if (served.get() < 500 || (run.trouble && copies.get() < 10)) {
            return Case.COULD_NOT_RUN;
        }
        return foreign.get() > 0 ? Case.BROKEN : Case.HELD;
    }
}
