package rig;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A flood of one-off shapes: one client sends one read of 2 KB after the other, each of another shape. Are the short
 * reads of the usual clients still answered?
 */
public final class OneOffShapes extends Case {
    /** The usual clients give up after this time: 0.43 of the client timeout of their command group, 600 ms. */
    private static final int LIMIT_MILLIS = 260;

    private static final double GROUP_LIMIT_SECONDS = 0.6;
    /** A command whose answer comes later than this after its time is lost. */
    private static final int SLACK_MILLIS = 500;
    /** How long a usual client waits for an answer before it closes its connection. */
    private static final int WAIT_MILLIS = 4000;

    private static final int USUAL_CLIENTS = 4;
    private static final int FLOODING_CLIENTS = 1;
    private static final int CALM_SECONDS = 4;
    private static final int FLOOD_SECONDS = 20;
    /** Calls in a flooding statement, which has some 2 KB, and how deep they are nested. */
    private static final int CALLS = 300;

    private static final int DEPTH = 36;

    private final AtomicInteger flooded = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger inTime = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private int callsLeft;
    private long longestMillis;
    private volatile long endAt;
    private volatile long floodAt;
    private volatile long floodEndAt;

    public static void main(String[] arguments) throws Exception {
        run(new OneOffShapes(), arguments);
    }

    private byte[] serve(String role, String query) throws InterruptedException {
        Thread.sleep(2);
        var wire = query.equals("SHOW load")
                ? new Wire().row("load", "inflight=1", "SHOW")
                : new Wire().row("val", query.length() > 1000 ? "long" : query, "SELECT 1");
        return wire.parameter("role", role).parameter("applied_ms", Long.toString(now() - 2)).bytes();
    }

    @Override
    protected Result play() throws Exception {
        var discovery = new DiscoveryStub(record, 40);
        String[] roles = {"primary", "replica", "replica"};
        for (int i = 0; i < roles.length; i++) {
            String role = roles[i];
            var node = new NodeStub("s-" + i, 0, (any, query) -> serve(role, query));
            discovery.put(new DiscoveryStub.Entry(node.uid, node.address, "north", 1, "up", 0, role));
        }
        String settings = new Settings()
                .group("tag-check", "idempotent", "all", 0.25, GROUP_LIMIT_SECONDS, 0, 5, "any", 0)
                .group("any-write", "at_most_once", "all", 0.6, 5, 0.5, 5, "write", 0)
                .report("inline", "x0", "x1", "rif")
                .json(1);
        Path operator = folder.resolve("clayhook.toml");
        Files.writeString(
                operator,
                "[statements]\nenabled = true\nread_group = \"tag-check\"\nwrite_group = \"any-write\"\nnodes = 1\n");
        try (var router = new RouterProcess(
                root, folder, discovery.port(), discovery.wholeList(), settings, "--config " + operator)) {
            if (!router.awaitReady(30_000)) {
                record.add("the router was not ready: %s", Files.readString(router.log));
                return Result.NOT_RUN;
            }
            floodAt = now() + CALM_SECONDS * 1000L;
            floodEndAt = floodAt + FLOOD_SECONDS * 1000L;
            endAt = floodEndAt + 6000;
            var threads = new Thread[USUAL_CLIENTS];
            for (int i = 0; i < USUAL_CLIENTS; i++) {
                int number = i;
                threads[i] = Threads.start("usual client", () -> useAsUsual(router.port, number));
            }
            if (trouble) {
                for (int i = 0; i < FLOODING_CLIENTS; i++) {
                    int number = i;
                    Threads.start("flooding client", () -> flood(router.port, number));
                }
            }
            for (Thread thread : threads) {
                thread.join(60_000);
            }
            record.add("router alive: %b; from its log:", router.isAlive());
            Files.readAllLines(router.log).stream()
                    .filter(line -> line.contains("stalled") || line.contains("OutOfMemory") || line.contains("ERROR"))
                    .limit(12)
                    .forEach(line -> record.add("  %s", line));
            record.add(
                    "usual commands: answered %d, of these in time %d, longest %d ms; lost %d; flooding statements answered: %d",
                    answered.get(), inTime.get(), longestMillis, lost.get(), flooded.get());
            if (inTime.get() == 0) {
                return Result.NOT_RUN;
            }
            return lost.get() > 0 ? Result.BROKEN : Result.HELD;
        }
    }

    private void useAsUsual(int port, int number) throws InterruptedException {
        Client client = null;
        for (int i = 0; now() < endAt; i++) {
            String query = "select val from state where uid = '" + number + "-" + i + "'";
            long sentAt = now();
            try {
                client = client == null ? newUsualClient(port) : client;
                sentAt = now();
                Client.Answer answer = client.ask(query, WAIT_MILLIS);
                long took = now() - sentAt;
                boolean isLost = took > LIMIT_MILLIS + SLACK_MILLIS || answer.none() != null;
                note(took, answer, isLost);
                if (isLost || i % 20 == 0) {
                    record.add("usual client %d: '%s': %s after %d ms%s", number, query, answer, took, isLost ? " LOST" : "");
                }
                client = answer.none() == null ? client : closed(client);
            } catch (IOException e) {
                record.add("usual client %d: not connected after %d ms: %s", number, now() - sentAt, e);
                client = null;
            }
            Thread.sleep(100);
        }
    }

    private static Client closed(Client client) throws IOException {
        client.close();
        return null;
    }

    private static Client newUsualClient(int port) throws IOException {
        var client = new Client(port);
        client.ask("set statement_timeout = " + LIMIT_MILLIS, 5000);
        return client;
    }

    private synchronized void note(long took, Client.Answer answer, boolean isLost) {
        longestMillis = Math.max(longestMillis, took);
        if (answer.none() == null) {
            answered.incrementAndGet();
        }
        if (answer.served() && took <= LIMIT_MILLIS) {
            inTime.incrementAndGet();
        }
        if (isLost) {
            lost.incrementAndGet();
        }
    }

    /** Sends one read after the other, each of another shape. */
    private void flood(int port, int number) throws IOException, InterruptedException {
        Thread.sleep(Math.max(0, floodAt - now()));
        var random = new Random(number);
        for (int i = 0; now() < floodEndAt; i++) {
            callsLeft = CALLS;
            String query = "select " + expression(random, DEPTH);
            record.add("DISRUPTION: flooding client %d sends a read of %d bytes: %s...", number, query.length(), query.substring(0, 60));
            try (var client = new Client(port)) {
                Client.Answer answer = client.ask(query, 30_000);
                record.add("flooding client %d: %s", number, answer);
                flooded.incrementAndGet();
            } catch (IOException e) {
                record.add("flooding client %d: %s", number, e);
            }
            Thread.sleep(100);
        }
    }

    /** An expression of nested calls of functions that change nothing, at most {@code depth} deep. */
    private String expression(Random random, int depth) {
        if (--callsLeft < 0 || depth <= 0) {
            return random.nextInt(3) == 0 ? "1" : String.valueOf((char) ('a' + random.nextInt(8)));
        }
        return switch (random.nextInt(3)) {
            case 0 -> "abs(" + expression(random, depth - 1) + ", " + expression(random, depth - 2) + ")";
            case 1 -> "row(" + expression(random, depth - 1) + ", " + expression(random, depth - 1) + ")";
            default -> "substring(" + expression(random, depth - 1) + " from " + expression(random, depth - 2) + " for 1)";
        };
    }
}
