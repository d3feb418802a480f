package rig;

import java.nio.file.Files;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Lists are pushed. While a router is down, a node begins to drain. The router starts again with the list that it had,
 * and discovery is slow. When does the router stop to send to the node?
 */
public final class PushedDrain extends Case {
    private static final int GROUP = 2;
    private static final int GRACE_MILLIS = 500;
    /** Every time limit is 50 ms longer on sockets. */
    private static final int SLACK_MILLIS = 50;
    /** What a call waits for its turn; discovery gives a call up after 2 s. */
    private static final int SLOW_MILLIS = 1500;

    private final AtomicInteger late = new AtomicInteger();
    private volatile String draining = "";
    private volatile int primary;
    private volatile long toldAt = Long.MAX_VALUE;

    public static void main(String[] arguments) throws Exception {
        run(new PushedDrain(), arguments);
    }

    private byte[] serve(NodeStub node, String role, String query) throws InterruptedException {
        long arrivedAt = now();
        boolean drains = node.uid.equals(draining);
        var wire = new Wire();
        if (query.equals("SHOW load")) {
            wire = drains ? wire.error("57P03", "draining") : wire.row("load", "util=0.20", "SHOW");
        } else {
            boolean isLate = drains && arrivedAt > toldAt + GRACE_MILLIS + SLACK_MILLIS;
            if (drains) {
                record.add(
                        "node %s, which drains: got %s %d ms after the new process was told%s",
                        node.uid, query.replaceAll(".*id=(\\w+).*", "$1"), arrivedAt - toldAt, isLate ? " LATE" : "");
            }
            if (isLate) {
                late.incrementAndGet();
            }
            Thread.sleep(10);
            wire = drains ? wire.error("53300", "draining") : wire.row("val", "1", "SELECT 1");
        }
        return wire.parameter("role", role).parameter("applied_ms", Long.toString(now() - 5)).bytes();
    }

    @Override
    protected Result play() throws Exception {
        var discovery = new DiscoveryStub(record, 40);
        var entries = new DiscoveryStub.Entry[4];
        for (int i = 0; i < entries.length; i++) {
            int number = i;
            var node = new NodeStub("s-" + i, 0, (own, query) -> serve(own, number == primary ? "primary" : "replica", query));
            entries[i] = new DiscoveryStub.Entry(
                    node.uid, node.address, "north", GROUP, "up", 0, i == 0 ? "primary" : "replica");
            discovery.put(entries[i]);
        }
        String settings = new Settings()
                .group("menu-browse", "idempotent", "all", 0.4, 1, 0, 5, "any", 0)
                .group("order-place", "at_most_once", "all", 0.5, 3, 0.5, 5, "write", 0)
                .discovery("automatic")
                .domain("role_listed", "\"start\"")
                .domain("when_behind", "\"off\"")
                .domain("write_marks", "\"remembered\"")
                .limit("conn_idle", Settings.nanos(30))
                .limit("most_tries", "6")
                .limit("parallel_tries", "false")
                .limit("retry_after", "true")
                .limit("max_retry_after", Settings.nanos(1))
                .rule("drain_grace", Settings.nanos(GRACE_MILLIS / 1000.0))
                .rule("gone_is_advice", "true")
                .rule("overload_factor", "2.5")
                .rule("overload_for", Settings.nanos(1))
                .rule("start_capacity", "0.21")
                .rule("warm_after", Settings.nanos(16))
                .report("inline", "x0", "x1", "busy")
                .json(1);
        String known = discovery.wholeList();
        try (var first = new RouterProcess(root, folder, discovery.port(), known, settings, "")) {
            if (!first.awaitReady(30_000)) {
                record.add("the router was not ready: %s", Files.readString(first.log));
                return Result.NOT_RUN;
            }
            record.add("the router is killed");
        }
        var entry = entries[0];
        draining = entry.uid();
        discovery.put(new DiscoveryStub.Entry(entry.uid(), entry.address(), "north", GROUP, "draining", 0, "primary"));
        primary = 1;
        Thread.sleep(1000);
        if (trouble) {
            record.add("DISRUPTION: each call of discovery waits %d ms for its turn", SLOW_MILLIS);
            discovery.delayMillis = SLOW_MILLIS;
        }
        toldAt = now();
        record.add("the router starts again with the list that it had; what the agent has counts as told from now on");
        int served = 0;
        try (var again = new RouterProcess(root, folder, discovery.port(), known, settings, "")) {
            if (!again.awaitReady(30_000)) {
                record.add("the router was not ready: %s", Files.readString(again.log));
                return Result.NOT_RUN;
            }
            record.add("the router is ready");
            Thread.sleep(200);
            try (var client = new Client(again.port)) {
                for (int i = 0; i < 60; i++) {
                    String id = String.format("%016x", 0xa000 + i);
                    Client.Answer answer =
                            client.ask(Statement.write("k" + i, "00", "id=" + id + ",c=order-place,d=3000,cluster=" + GROUP), 4000);
                    served += answer.served() ? 1 : 0;
                    Thread.sleep(50);
                }
            }
        }
        record.add("served %d of 60 writes; sent to the draining node later than allowed: %d", served, late.get());
        if (served == 0) {
            return Result.NOT_RUN;
        }
        return late.get() > 0 ? Result.BROKEN : Result.HELD;
    }
}
