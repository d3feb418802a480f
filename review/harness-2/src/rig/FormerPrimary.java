package rig;

import java.io.IOException;
import java.nio.file.Files;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A rolling restart of the first two of five nodes of a replica set: s-a, the primary, drains, hands over to s-b, ends, and
 * returns as a replica that is still behind; then s-b does the same and hands over to s-c. Answers of s-a have told
 * router 1 that it is primary no longer. The list shows the roles as at the start. Fresh reads go on through router 1,
 * writes through router 2.
 */
public final class FormerPrimary extends Case {
    private static final int GROUP = 3;
    private static final int READ_LIMIT_MILLIS = 2500;
    /** The work of a handshake, 5 ms, at a node that has just started with 0.15 of its capacity. */
    private static final int COLD_HANDSHAKE_MILLIS = 33;

    private final ReplicaSetModel set = new ReplicaSetModel(2);
    private final AtomicInteger ids = new AtomicInteger();
    /** The newest value whose write was answered as served. */
    private final AtomicInteger acknowledged = new AtomicInteger();
    /** When the first answer to router 1 of a member that is no primary was written, by member. */
    private final ConcurrentHashMap<String, Long> toldRouter1 = new ConcurrentHashMap<>();

    private final java.util.Set<String> draining = ConcurrentHashMap.newKeySet();
    private DiscoveryStub discovery;
    private ReplicaSetModel.Member a;
    private ReplicaSetModel.Member b;
    private ReplicaSetModel.Member c;

    public static void main(String[] arguments) throws Exception {
        run(new FormerPrimary(), arguments);
    }

    private byte[] serve(ReplicaSetModel.Member member, String query) throws InterruptedException {
        Thread.sleep(5);
        boolean primary = set.isPrimary(member);
        Statement statement = Statement.parse(query);
        if (query.equals("SHOW load") && draining.contains(member.uid)) {
            return new Wire().error("57P03", "draining").parameter("role", primary ? "primary" : "replica").bytes();
        } else if (query.equals("SHOW load")) {
            // There are no load reports; the answer tells role and position, as any other does.
            return new Wire().row("load", "", "SHOW")
                    .parameter("role", primary ? "primary" : "replica")
                    .parameter("applied_ms", Long.toString(set.position(member)))
                    .bytes();
        } else if (statement == null) {
            return new Wire().error("08P01", "no such statement").bytes();
        }
        boolean router1 = statement.id().startsWith("a1");
        var wire = new Wire();
        long position = set.position(member);
        if (draining.contains(member.uid)) {
            wire.error("53300", "draining");
        } else if (statement.write) {
            ReplicaSetModel.Commit commit = set.write(member);
            if (commit == null) {
                wire.error("25006", "this is no primary");
            } else {
                position = commit.atMillis() + 1;
                wire.row("val", "v" + commit.version() + " at " + member.uid, "INSERT 0 1");
            }
        } else {
            wire.row("val", "v" + set.version(member) + " at " + member.uid, "SELECT 1");
        }
        wire.parameter("role", primary ? "primary" : "replica");
        wire.parameter("applied_ms", Long.toString(position));
        if (router1 && !primary && toldRouter1.putIfAbsent(member.uid, now()) == null) {
            record.add("node %s: its answer tells router 1 that it is a replica", member.uid);
        }
        return wire.bytes();
    }

    private DiscoveryStub.Entry entry(ReplicaSetModel.Member member, NodeStub node, String state, long bootMillis) {
        // The role is listed as at the start.
        return new DiscoveryStub.Entry(
                member.uid, node.address, "north", GROUP, state, bootMillis, member == a ? "primary" : "replica");
    }

    private String comment(String router, String requestClass, int limitMillis) {
        String id = String.format("%s%014x", router, ids.incrementAndGet());
        String key = requestClass.equals("save-edit") ? ",k=" + id : "";
        return "id=" + id + ",c=" + requestClass + ",d=" + limitMillis + key + ",cluster=" + GROUP;
    }

    /** The clients of router 2: writes, and reads of any age. */
    private void useRouter2(RouterProcess router) throws IOException, InterruptedException {
        try (var client = new Client(router.port)) {
            while (true) {
                client.ask(Statement.read("doc", comment("b2", "tile-info", 750)), 1500);
                Client.Answer answer = client.ask(Statement.write("doc", "00", comment("b2", "save-edit", 2000)), 3000);
                if (answer.served()) {
                    acknowledged.accumulateAndGet(version(answer.value()), Math::max);
                }
                record.add("client of router 2: save-edit: %s", answer);
                Thread.sleep(100);
            }
        }
    }

    private static int version(String value) {
        return Integer.parseInt(value.substring(1, value.indexOf(' ')));
    }

    @Override
    protected Result play() throws Exception {
        a = set.add("s-a", true);
        b = set.add("s-b", false);
        c = set.add("s-c", false);
        discovery = new DiscoveryStub(record, 40);
        var nodeA = new NodeStub("s-a", 0, (node, query) -> serve(a, query));
        var nodeB = new NodeStub("s-b", 0, (node, query) -> serve(b, query));
        var nodeC = new NodeStub("s-c", 0, (node, query) -> serve(c, query));
        discovery.put(entry(a, nodeA, "up", 0));
        discovery.put(entry(b, nodeB, "up", 0));
        discovery.put(entry(c, nodeC, "up", 0));
        for (String uid : new String[] {"s-d", "s-e"}) {
            ReplicaSetModel.Member member = set.add(uid, false);
            discovery.put(entry(member, new NodeStub(uid, 0, (node, query) -> serve(member, query)), "up", 0));
        }
        String settings = new Settings()
                .group("claim-check", "idempotent", "all", 0.8, READ_LIMIT_MILLIS / 1000.0, 0.2, 2, "fresh", 0)
                .group("tile-info", "idempotent", "all", 0.3, 0.75, 0.2, 2, "any", 0)
                .group("save-edit", "deduplicated", "cell", 1.2, 2, 0.5, 2, "write", 0)
                .domain("role_listed", "\"start\"")
                .domain("when_behind", "\"off\"")
                .domain("write_marks", "\"remembered\"")
                .limit("most_tries", "8")
                .limit("parallel_tries", "false")
                .limit("retry_after", "true")
                .limit("max_retry_after", Settings.nanos(0.5))
                .rule("drain_grace", Settings.nanos(1))
                .rule("gone_is_advice", "true")
                .rule("overload_factor", "2.0")
                .rule("overload_for", Settings.nanos(2))
                .rule("start_capacity", "0.15")
                .json(2);
        String known = discovery.wholeList();
        try (var router1 = new RouterProcess(root, folder, discovery.port(), known, settings, "");
                var router2 = new RouterProcess(root, folder, discovery.port(), known, settings, "")) {
            if (!router1.awaitReady(30_000) || !router2.awaitReady(30_000)) {
                record.add("a router was not ready: %s", Files.readString(router1.log));
                return Result.NOT_RUN;
            }
            Threads.start("clients of router 2", () -> useRouter2(router2));
            if (trouble) {
                Threads.start("rolling restart", () -> restartBoth(nodeA, nodeB));
            }
            return readThroughRouter1(router1);
        }
    }

    /** The rolling restart, which begins after three seconds. */
    private void restartBoth(NodeStub nodeA, NodeStub nodeB) throws IOException, InterruptedException {
        Thread.sleep(3000);
        restart(a, nodeA, b);
        restart(b, nodeB, c);
    }

    /** Restarts the primary, and returns when the list shows it again. */
    private void restart(ReplicaSetModel.Member member, NodeStub node, ReplicaSetModel.Member successor)
            throws IOException, InterruptedException {
        record.add("DISRUPTION: %s drains, as its restart is planned", member.uid);
        draining.add(member.uid);
        set.setPrimary(null);
        Thread.sleep(600);
        set.setPrimary(successor);
        record.add("%s is primary now", successor.uid);
        Thread.sleep(400);
        discovery.put(entry(member, node, "draining", 0));
        Thread.sleep(1000);
        node.close();
        set.setRunning(member, false);
        record.add("the process of %s has ended", member.uid);
        Thread.sleep(1000);
        discovery.put(entry(member, node, "removed", 0));
        Thread.sleep(2000);
        set.setRunning(member, true);
        draining.remove(member.uid);
        long bootMillis = now();
        var again = new NodeStub(member.uid, node.address.getPort(), (any, query) -> serve(member, query));
        again.handshakeMillis = COLD_HANDSHAKE_MILLIS;
        record.add("the process of %s runs again, as a replica, %d ms behind", member.uid, now() - set.position(member));
        Thread.sleep(500);
        discovery.put(entry(member, again, "up", bootMillis));
    }

    private Result readThroughRouter1(RouterProcess router) throws IOException, InterruptedException {
        int served = 0;
        int stale = 0;
        try (var client = new Client(router.port)) {
            long until = now() + 15_000;
            while (now() < until) {
                int written = acknowledged.get();
                long sentAt = now();
                Client.Answer answer =
                        client.ask(Statement.read("doc", comment("a1", "claim-check", READ_LIMIT_MILLIS)), 4000);
                String verdict = "";
                if (answer.served()) {
                    served++;
                    String uid = answer.value().substring(answer.value().indexOf("at ") + 3);
                    Long told = toldRouter1.get(uid);
                    boolean excused = told == null || sentAt < told + 150;
                    if (version(answer.value()) < written && !excused) {
                        stale++;
                        verdict = " STALE: v" + written + " had been acknowledged before, and " + uid
                                + " had told this router " + (sentAt - told) + " ms ago that it is a replica";
                    }
                }
                record.add("client of router 1: claim-check: %s%s", answer, verdict);
                Thread.sleep(50);
            }
        }
        record.add("claim-check: served %d, stale %d", served, stale);
        if (served == 0) {
            return Result.NOT_RUN;
        }
        return stale > 0 ? Result.BROKEN : Result.HELD;
    }
}
