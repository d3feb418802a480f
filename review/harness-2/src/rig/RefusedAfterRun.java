package rig;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A keyed command runs, and the connection to its node is reset before the answer. What the router sends again is turned
 * away by a full queue. What does the client hear, and what comes of its trying again?
 */
public final class RefusedAfterRun extends Case {
    private static final String STATEMENT = "INSERT INTO orders (id, meal) VALUES ('order-1', 5)";
    private static final double WINDOW = 1.2;
    private static final double CLIENT_TIMEOUT_SECONDS = 2;

    /** When each id had an effect, in milliseconds. */
    private final Map<String, List<Long>> effects = new HashMap<>();
    private boolean resetDue = trouble;
    private long fullUntil;

    public static void main(String[] arguments) throws Exception {
        run(new RefusedAfterRun(), arguments);
    }

    /** The primary: drops a repeat of an id within the window since its effect, as the settings say. */
    private synchronized byte[] primary(NodeStub node, String query) {
        byte[] position = new Wire().parameter("role", "primary").parameter("applied_ms", Long.toString(now())).bytes();
        if (query.equals("SHOW load")) {
            return join(new Wire().row("load", report(1), "SHOW").bytes(), position);
        } else if (!query.startsWith("INSERT INTO orders")) {
            return join(new Wire().row("v", "1", "SELECT 1").bytes(), position);
        } else if (now() < fullUntil) {
            record.add("node %s: queue full, turned away unseen (53300): %s", node.uid, query);
            return join(new Wire().error("53300", "the queue is full").bytes(), position);
        }
        String id = query.replaceAll("(?s).*VALUES \\('([^']*)'.*", "$1");
        List<Long> times = effects.computeIfAbsent(id, any -> new ArrayList<>());
        boolean repeat = !times.isEmpty() && now() < times.get(0) + WINDOW * 1000;
        if (!repeat) {
            times.add(now());
        }
        record.add("node %s: ran %s: %s", node.uid, id, repeat ? "a repeat, dropped" : "effect " + times.size());
        if (resetDue) {
            resetDue = false;
            fullUntil = now() + 1500;
            record.add("DISRUPTION: the connection is reset before the answer");
            return null;
        }
        return join(new Wire().commandComplete("INSERT 0 1").bytes(), position);
    }

    private static String report(int primary) {
        return String.format(java.util.Locale.ROOT, "x0=%.3f,x1=%d,queue=0", now() / 1000.0, primary);
    }

    private static byte[] join(byte[] first, byte[] second) {
        byte[] all = java.util.Arrays.copyOf(first, first.length + second.length);
        System.arraycopy(second, 0, all, first.length, second.length);
        return all;
    }

    private byte[] replica(NodeStub node, String query) {
        byte[] position = new Wire().parameter("role", "replica").parameter("applied_ms", Long.toString(now() - 10)).bytes();
        byte[] body = query.equals("SHOW load")
                ? new Wire().row("load", report(0), "SHOW").bytes()
                : query.startsWith("INSERT")
                        ? new Wire().error("25006", "this is no primary").bytes()
                        : new Wire().row("v", "1", "SELECT 1").bytes();
        return join(body, position);
    }

    @Override
    protected Result play() throws Exception {
        var discovery = new DiscoveryStub(record, 40);
        var first = new NodeStub("s-a", 0, this::primary);
        var second = new NodeStub("s-b", 0, this::replica);
        discovery.put(new DiscoveryStub.Entry("s-a", first.address, "north", 1, "up", 0, null));
        discovery.put(new DiscoveryStub.Entry("s-b", second.address, "north", 1, "up", 0, null));
        String settings = new Settings()
                .group("menu-read", "idempotent", "all", 0.5, 1.5, 0, 1.2, "any", 0)
                .group("any-write", "at_most_once", "all", 1.5, 2, 0.3, 1.2, "write", 0)
                .group("meal-order", "deduplicated", "cell", 1.5, CLIENT_TIMEOUT_SECONDS, 0.3, WINDOW, "write", 0)
                .domain("role_listed", "\"off\"")
                .domain("when_behind", "\"off\"")
                .domain("write_marks", "\"remembered\"")
                .limit("conn_idle", Settings.nanos(30))
                .limit("most_tries", "8")
                .limit("retry_after", "true")
                .limit("max_retry_after", Settings.nanos(0.5))
                .rule("drain_grace", Settings.nanos(0.5))
                .rule("start_capacity", "0.16")
                .rule("warm_after", Settings.nanos(16))
                .report("on_probe", "x0", "x1", "q")
                .json(1);
        Path operator = folder.resolve("clayhook.toml");
        Files.writeString(
                operator,
                String.join(
                        "\n",
                        "[statements]",
                        "enabled = true",
                        "read_group = \"menu-read\"",
                        "write_group = \"any-write\"",
                        "nodes = 1",
                        "[[statements.rule]]",
                        "name = \"orders\"",
                        "class = \"write\"",
                        "kinds = [\"insert\"]",
                        "only = [\"orders\"]",
                        "mark = \"id\"",
                        "group = \"meal-order\"",
                        ""));
        try (var router = new RouterProcess(root, folder, discovery.port(), discovery.wholeList(), settings, "--config " + operator)) {
            if (!router.awaitReady(30_000)) {
                record.add("the router was not ready: %s", Files.readString(router.log));
                return Result.NOT_RUN;
            }
            Thread.sleep(500);
            try (var client = new Client(router.port)) {
                long sentAt = now();
                Client.Answer answer = client.ask(STATEMENT, 2500);
                record.add("client: sent '%s', answered: %s", STATEMENT, answer);
                boolean refusedAfterRun = answer.refused() && effects.containsKey("order-1");
                while (answer.refused() && now() < sentAt + CLIENT_TIMEOUT_SECONDS * 1000) {
                    record.add("client: refused, so that trying again is harmless; tries again after 160 ms");
                    Thread.sleep(160);
                    answer = client.ask(STATEMENT, 2500);
                    record.add("client: sent it again, answered: %s", answer);
                }
                int count = effects.getOrDefault("order-1", List.of()).size();
                record.add("effects of order-1: %d", count);
                if (!trouble && !answer.served()) {
                    return Result.NOT_RUN;
                }
                return refusedAfterRun ? Result.BROKEN : Result.HELD;
            }
        }
    }
}
