package rig;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The operator's file no longer calls a function one that changes nothing, and SIGHUP makes it known to the router while
 * a call of the function is in flight. Some seconds later the function begins to have an effect. A connection is reset
 * under a call that has begun. How often does the call run?
 */
public final class ReloadedRules extends Case {
    private static final int CALL_MILLIS = 1300;

    private final AtomicInteger runs = new AtomicInteger();
    private final AtomicBoolean resetDue = new AtomicBoolean();

    public static void main(String[] arguments) throws Exception {
        run(new ReloadedRules(), arguments);
    }

    private byte[] serve(NodeStub node, String role, String query) throws InterruptedException {
        Wire wire;
        if (query.startsWith("select receipt(")) {
            Thread.sleep(CALL_MILLIS);
            boolean last = query.equals("select receipt(3)");
            record.add("node %s (%s): ran %s%s", node.uid, role, query, last ? ", effect " + runs.incrementAndGet() : "");
            if (last && resetDue.compareAndSet(true, false)) {
                record.add("DISRUPTION: the connection is reset under the call");
                return null;
            }
            wire = new Wire().row("receipt", "done", "SELECT 1");
        } else {
            wire = new Wire().row("v", "inflight=1", "SELECT 1");
        }
        return wire.parameter("role", role).parameter("applied_ms", Long.toString(now() - 5)).bytes();
    }

    private static String operatorFile(String database) {
        return "[statements]\nenabled = true\nread_group = \"report\"\nwrite_group = \"any-write\"\nnodes = 1\n"
                + "[statements.database]\n" + database + "\n";
    }

    @Override
    protected Result play() throws Exception {
        var discovery = new DiscoveryStub(record, 40);
        String[] roles = {"primary", "replica", "replica"};
        for (int i = 0; i < roles.length; i++) {
            String role = roles[i];
            var node = new NodeStub("s-" + i, 0, (own, query) -> serve(own, role, query));
            discovery.put(new DiscoveryStub.Entry(node.uid, node.address, "north", 1, "up", 0, role));
        }
        String settings = new Settings()
                .group("report", "idempotent", "all", 4, 8, 0, 1.2, "any", 0)
                .group("any-write", "at_most_once", "all", 1.5, 8, 0.3, 1.2, "write", 0)
                .domain("when_behind", "\"off\"")
                .domain("write_marks", "\"remembered\"")
                .limit("conn_idle", Settings.nanos(30))
                .limit("most_tries", "8")
                .rule("drain_grace", Settings.nanos(0.5))
                .report("on_probe", "x0", "x1", "q")
                .json(1);
        String earlier = operatorFile("reads = [\"receipt\"]");
        String later = operatorFile("functions = [\"receipt\"]");
        Path operator = folder.resolve("clayhook.toml");
        Files.writeString(operator, trouble ? earlier : later);
        try (var router = new RouterProcess(
                root, folder, discovery.port(), discovery.wholeList(), settings, "--config " + operator)) {
            if (!router.awaitReady(30_000)) {
                record.add("the router was not ready: %s", Files.readString(router.log));
                return Result.NOT_RUN;
            }
            Thread.sleep(1000);
            try (var client = new Client(router.port);
                    var other = new Client(router.port)) {
                record.add("client: select receipt(1): %s", client.ask("select receipt(1)", 9000));
                Thread inFlight = Threads.start(
                        "call in flight", () -> record.add("client: select receipt(2): %s", other.ask("select receipt(2)", 9000)));
                Thread.sleep(300);
                if (trouble) {
                    Files.writeString(operator, later);
                    record.add("DISRUPTION: the operator's file now says %s; SIGHUP", later.substring(later.indexOf("functions")).strip());
                    router.hangUp();
                    if (!router.awaitLog("reload:", 900)) {
                        record.add("the router did not reload while the call was in flight");
                        return Result.NOT_RUN;
                    }
                }
                inFlight.join();
                Thread.sleep(2000);
                record.add("from now on the function has an effect");
                resetDue.set(trouble);
                record.add("client: select receipt(3): %s", client.ask("select receipt(3)", 9000));
                Thread.sleep(500);
            }
        }
        record.add("select receipt(3) was sent once and ran %d times", runs.get());
        if (runs.get() == 0) {
            return Result.NOT_RUN;
        }
        return runs.get() > 1 ? Result.BROKEN : Result.HELD;
    }
}
