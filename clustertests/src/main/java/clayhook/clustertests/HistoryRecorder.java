package clayhook.clustertests;

import clayhook.Node;
import clayhook.RequestClass;
import clayhook.RequestClass.ConsistencyLevel;
import clayhook.RequestClass.Idempotency;
import clayhook.RoutingSettings;
import clayhook.lab.model.RuleAudit;
import clayhook.warmup.StubClient;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * Hears all that clients and nodes of a trial see, and judges by it. Times are seconds since 1970 on one clock, of this
 * process. Commands live as long as the trial.
 */
public final class HistoryRecorder {
    /** What a machine that is shared with other work may hold up a process; no rule is held to less. */
    static final double MACHINE = 1;
    /** Seconds in which a router may still send to what drains. */
    private static final double GRACE = 0.25;
    /** Between the clock of this process and those of routers, which are led to the machine's. */
    private static final double CLOCKS = 0.01;

    /** Why an answer cannot be asked for: the router was down or stood still at some time while it was asked. */
    private static final class Up {
        int changes;
        boolean ending;
        boolean down;
        double since;
    }

    private record Asked(RequestClass group, double at, double wroteAt, String router, int changes) {}

    private static final double WALL = System.currentTimeMillis() / 1000.0 - System.nanoTime() / 1e9;

    private final RuleAudit audit;
    private final AttemptAudit attempts = new AttemptAudit();
    private final Map<String, Asked> commands = new HashMap<>();
    private final Map<String, Up> routers = new HashMap<>();
    /** Since when routers know that a node drains; one that was down since it is up. */
    private final Map<Node, Double> told = new HashMap<>();

    private final Map<Node, Integer> runs = new HashMap<>();
    private final Map<String, Integer> answered = new HashMap<>();
    private String missing;

    HistoryRecorder(RoutingSettings settings) {
        audit = new RuleAudit(GRACE + MACHINE, settings.overloadFactor(), settings.overloadWindowSeconds());
    }

    /** Seconds since 1970; never goes back. */
    static double now() {
        return WALL + System.nanoTime() / 1e9;
    }

    // ---- routers ----

    /** From now on until {@link #up} no answer can be asked of that router, nor for what is open there. */
    synchronized void down(String router) {
        Up up = routers.computeIfAbsent(router, any -> new Up());
        up.changes++;
        up.down = true;
    }

    /** A router has been told to end: it may refuse connections from now on, but owes an answer to what it takes. */
    synchronized void ending(String router) {
        routers.computeIfAbsent(router, any -> new Up()).ending = true;
    }

    synchronized void up(String router) {
        Up up = routers.computeIfAbsent(router, any -> new Up());
        up.changes++;
        up.ending = false;
        up.down = false;
        up.since = now();
    }

    synchronized boolean isDown(String router) {
        return routers.computeIfAbsent(router, any -> new Up()).down;
    }

    /** All routers that are up were told whether that node drains. */
    synchronized void told(Node node, boolean drains) {
        if (!drains) {
            told.remove(node);
        } else if (!told.containsKey(node)) {
            told.put(node, now());
        }
    }

    // ---- clients ----

    /**
     * A client asks; {@code wroteAt} is the position of its session's last write, {@code wait} how long it has
     * patience.
     */
    synchronized void asked(String id, RequestClass group, double wroteAt, String router, double wait) {
        double now = now();
        commands.put(
                id, new Asked(group, now, wroteAt, router, routers.computeIfAbsent(router, any -> new Up()).changes));
        audit.sent(id, group, now + wait);
        boolean keyed = group.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY;
        attempts.onSent(id, group.clientTimeoutSeconds(), keyed ? id : null);
    }

    /** The client of a request has closed its connection: no answer is owed any more. */
    synchronized void left(String id) {
        audit.excused(id);
        attempts.onLeft(id);
    }

    /** Judges what routers send to nodes for the clients. */
    AttemptAudit attempts() {
        return attempts;
    }

    /** Its answer came; {@code throttled} says that it never ran. */
    synchronized void answered(String id, boolean throttled, boolean well) {
        audit.answered(id, now());
        if (throttled) {
            audit.throttled(id, now());
        } else if (well) {
            answered.merge(commands.get(id).router(), 1, Integer::sum);
        }
    }

    /**
     * None came, but the end of the connection, or null for nothing. Only where its router was down or stood still
     * meanwhile is that no fault.
     */
    synchronized void unanswered(String id, String instead) {
        Asked asked = commands.get(id);
        Up up = routers.get(asked.router());
        boolean notTaken = up.ending && StubClient.NO_CONNECTION.equals(instead);
        if (notTaken || up.down || up.changes != asked.changes()) {
            audit.excused(id);
        } else if (missing == null) {
            missing = id + " of " + asked.group().name() + " at " + asked.router() + ", asked at "
                    + Instant.ofEpochMilli((long) (asked.at() * 1000)) + ", got after " + (now() - asked.at()) + " s: "
                    + instead;
        }
    }

    // ---- nodes ----

    /** A statement came from a router to a node that drains. */
    synchronized void came(String router, Node node) {
        if (told.containsKey(node) && routers.containsKey(router)) {
            audit.sentToDraining(node, Math.max(told.get(node), routers.get(router).since), now());
        }
    }

    /** A node runs a command; what it does not know came from no client. {@code position} is where the node stands. */
    synchronized void ran(String id, Node node, double position) {
        Asked asked = commands.get(id);
        if (asked != null) {
            double needed = asked.group().consistency() == ConsistencyLevel.BOUNDED_STALENESS
                    ? asked.at() - asked.group().maxStalenessSeconds() - CLOCKS
                    : asked.group().consistency() == ConsistencyLevel.SESSION ? asked.wroteAt() : 0;
            audit.ran(id, node, position, needed, now());
            runs.merge(node, 1, Integer::sum);
        }
    }

    /** Work in seconds came to a cold node that does {@code capacity} a second. */
    synchronized void worked(Node node, double work, double capacity) {
        audit.worked(node, work, capacity, now());
    }

    // ---- the verdict ----

    /** Commands that a router's clients got an answer with a value to. */
    public synchronized int answered(String router) {
        return answered.getOrDefault(router, 0);
    }

    /** Commands that a node ran. */
    public synchronized int runs(Node node) {
        return runs.getOrDefault(node, 0);
    }

    /** How often each rule was broken; empty where all are kept. For the end: all that was asked counts as over. */
    public synchronized Map<RuleAudit.RuleKept, Integer> broken() {
        audit.end(Double.POSITIVE_INFINITY);
        return audit.broken();
    }

    /** The first break, and the first command that nobody answered, or null. */
    public synchronized String firstBroken() {
        return audit.first() + ", " + missing;
    }
}
