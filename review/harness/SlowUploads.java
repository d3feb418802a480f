import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** Some clients write slowly: they send the last bytes of a command with a long value after a pause. */
final class SlowUploads {
    private static final int USUAL_CLIENTS = 120;
    private static final int SLOW_CLIENTS = 150;
    private static final int PAUSE_MS = 1500;
    /** How long after the time of a request its answer is still accepted: half a second by the pages, and some more. */
    private static final int SLACK_MS = 600;
    private static final double SECONDS = 25;
    private static final String LONGEST_VALUE = "9f".repeat(64 * 1024);

    private final Case run;
    private final Router router;
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger refusedOrFailed = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicInteger uploads = new AtomicInteger();
    private final AtomicInteger uploadsLost = new AtomicInteger();

    private SlowUploads(Case run, Router router) {
        this.run = run;
        this.router = router;
    }

    public static void main(String[] arguments) throws IOException {
        Case.main(arguments, SlowUploads::run);
    }

    private static int run(Case run) throws Exception {
        var discovery = run.keep(new Discovery(run));
        for (int i = 0; i < 6; i++) {
            var node = run.keep(new DbNode(run, "node-" + i, i == 0));
            discovery.set(node.uid, node.port(), 1, i == 0 ? "primary" : "replica", "up", 0);
        }
        Router router = Router.start(run, "n1", discovery, Settings.text(1, "5000000000"), 1024, 192);
        return new SlowUploads(run, router).play();
    }

    private int play() throws Exception {
        double end = run.now() + SECONDS;
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < USUAL_CLIENTS; i++) {
            int number = i;
            threads.add(Threads.start(() -> askOften(number, end)));
        }
        Thread.sleep(5000);
        for (int i = 0; i < SLOW_CLIENTS; i++) {
            int number = i;
            threads.add(Threads.start(() -> {
                Thread.sleep(ThreadLocalRandom.current().nextInt(1000));
                while (run.now() < end - 7) {
                    upload(number);
                }
            }));
        }
        for (Thread thread : threads) {
            thread.join();
        }
        run.say("usual clients: served " + served + ", refused or failed " + refusedOrFailed + ", without an answer "
                + lost + "; clients with long values: answered " + uploads + ", without an answer " + uploadsLost
                + "; router alive: " + router.isAlive());
        if (served.get() < 500 || uploads.get() < 100) {
            return Case.COULD_NOT_RUN;
        }
        return lost.get() + uploadsLost.get() > 0 || !router.isAlive() ? Case.BROKEN : Case.HELD;
    }

    /** A usual client: about one read a second on one connection. */
    private void askOften(int number, double end) throws Exception {
        try (var client = new Client(router)) {
            Thread.sleep(ThreadLocalRandom.current().nextInt(1000));
            for (int n = 0; run.now() < end - 2; n++) {
                boolean bounded = n % 2 == 0;
                int timeoutMs = bounded ? 600 : 750;
                String id = Client.newId();
                String key = String.format("%08x%08x", number, n);
                String group = bounded ? "tag-check" : "rate-lookup";
                Client.Result result = client.ask(Client.read(key, id, group, timeoutMs, 1), timeoutMs + SLACK_MS);
                if (result.kind().equals("served")) {
                    served.incrementAndGet();
                } else if (result.kind().equals("none")) {
                    lost.incrementAndGet();
                    run.log("usual " + number, id + " " + group + " d=" + timeoutMs + " LOST: " + result.text());
                } else {
                    refusedOrFailed.incrementAndGet();
                    run.log("usual " + number, id + " " + result);
                }
                Thread.sleep(ThreadLocalRandom.current().nextInt(500, 1500));
            }
        }
    }

    /** A client whose last bytes come late (without TROUBLE: at once); its time counts from the last byte. */
    private void upload(int number) throws Exception {
        String id = Client.newId();
        String statement = Client.write("long" + number, LONGEST_VALUE, id, "toll-post", 5000, Client.newId(), 1);
        byte[] bytes = Pg.join(Pg.startup(), Pg.query(statement));
        int last = 100;
        try (Socket socket = router.connect()) {
            OutputStream out = socket.getOutputStream();
            out.write(bytes, 0, bytes.length - last);
            if (run.trouble) {
                Thread.sleep(PAUSE_MS);
            }
            out.write(bytes, bytes.length - last, last);
            socket.setSoTimeout(5000 + SLACK_MS);
            String end = awaitEnd(new DataInputStream(socket.getInputStream()));
            uploads.incrementAndGet();
            run.log("long " + number, id + " " + end);
        } catch (SocketTimeoutException e) {
            uploadsLost.incrementAndGet();
            run.log("long " + number, id + " LOST: no answer in " + (5000 + SLACK_MS) + " ms");
        } catch (EOFException e) {
            uploadsLost.incrementAndGet();
            run.log("long " + number, id + " LOST: the router closed the connection");
        } catch (IOException e) {
            // A refused connect, or a reset while the client still writes: the router has not taken this request.
            run.log("long " + number, id + " not taken: " + e.getMessage());
        }
        Thread.sleep(run.trouble ? 200 : 200 + PAUSE_MS);
    }

    private static String awaitEnd(DataInputStream in) throws IOException {
        String end = null;
        while (true) {
            Pg.Message message = Pg.read(in, true);
            if (message.type() == 'C') {
                end = "served";
            } else if (message.type() == 'E') {
                end = Pg.errorField(message.body(), 'C') + " " + Pg.errorField(message.body(), 'M');
                if (Pg.errorField(message.body(), 'S').equals("FATAL")) {
                    return end;
                }
            } else if (message.type() == 'Z' && end != null) {
                return end;
            }
        }
    }
}
