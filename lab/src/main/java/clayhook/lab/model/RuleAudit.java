package clayhook.lab.model;

import clayhook.Node;
import clayhook.RequestClass;
import clayhook.RequestClass.ConsistencyLevel;
import clayhook.RequestClass.DeduplicationScope;
import clayhook.RequestClass.Idempotency;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;

/**
 * The five rules, from the record of clients and nodes alone. It keeps what is open and, of what has ended, only as
 * long as another run could still break a rule: twice the client timeout or repeat window.
 */
public final class RuleAudit {
    /** What a router must keep, as the platform's pages number it. */
    public enum RuleKept {
        ONE_ANSWER,
        NO_DOUBLE_EFFECT,
        DRAINS,
        COLD_NODES,
        NO_STALE_READ
    }

    /** Seconds after its client timeout in which a final answer still counts as one. */
    private static final double SLACK = 0.02;

    private static final class Entry {
        final RequestClass group;
        final double expires;
        int answers;
        /** No answer in time can be asked for. */
        boolean excused;
        /** Where and when it ran first; null while it did not. */
        Node ranAt;

        double ranWhen;

        Entry(RequestClass group, double expires) {
            this.group = group;
            this.expires = expires;
        }
    }

    /** Of a node that is cold: work that came to it in the windows since its start. */
    private static final class Cold {
        double since;
        double work;
    }

    private final double grace;
    private final double overloadFactor;
    private final double overloadFor;
    private final Map<Object, Entry> entries = new HashMap<>();
    private final Map<Node, Cold> cold = new HashMap<>();
    private final Map<RuleKept, Integer> broken = new EnumMap<>(RuleKept.class);
    private String first;
    private double sweptAt;

    /** {@code grace}: seconds after being told of a drain in which a node may still be sent something. */
    public RuleAudit(double grace, double overloadFactor, double overloadFor) {
        this.grace = grace;
        this.overloadFactor = overloadFactor;
        this.overloadFor = overloadFor;
    }

    /** How often each rule was broken; those that were kept are left out. */
    public Map<RuleKept, Integer> broken() {
        return Map.copyOf(broken);
    }

    /** What broke a rule first, or null. */
    public String first() {
        return first;
    }

    private void broke(RuleKept rule, String what, double now) {
        broken.merge(rule, 1, Integer::sum);
        first = first == null ? String.format(java.util.Locale.ROOT, "%.3f s: %s: %s", now, rule, what) : first;
    }

    public void sent(Object command, RequestClass group, double expires) {
        entries.put(command, new Entry(group, expires));
    }

    /** A client got a final answer. */
    public void answered(Object command, double now) {
        Entry entry = entries.get(command);
        if (entry == null || ++entry.answers > 1) {
            broke(RuleKept.ONE_ANSWER, "answered twice", now);
        } else if (now > entry.expires + SLACK && !entry.excused) {
            broke(
                    RuleKept.ONE_ANSWER,
                    "answered " + Math.round(1000 * (now - entry.expires)) + " ms after its time",
                    now);
        }
    }

    /**
     * Its router was killed or stopped while it had that command: nobody could have answered. What it did still counts.
     */
    public void excused(Object command) {
        Entry entry = entries.get(command);
        if (entry != null) {
            entry.excused = true;
        }
    }

    /** A router told a client that its command never ran, or will not. */
    public void throttled(Object command, double now) {
        Entry entry = entries.get(command);
        if (entry != null && entry.ranAt != null && entry.group.idempotency() == Idempotency.NON_IDEMPOTENT) {
            broke(RuleKept.NO_DOUBLE_EFFECT, "throttled, but it ran at " + entry.ranAt.id(), now);
        }
    }

    /**
     * A node ran a command; {@code needed} is the position that a read must cover, {@code position} where the node
     * stood.
     */
    public void ran(Object command, Node node, double position, double needed, double now) {
        Entry entry = entries.get(command);
        if (entry == null) {
            return;
        }
        boolean writes = entry.group.consistency() == ConsistencyLevel.WRITE;
        if (!writes && position < needed - 1e-6) {
            broke(
                    RuleKept.NO_STALE_READ,
                    entry.group.name() + " at " + node.id() + " was " + Math.round(1000 * (needed - position))
                            + " ms behind",
                    now);
        }
        if (entry.ranAt != null && entry.group.idempotency() != Idempotency.IDEMPOTENT && !dropped(entry, node, now)) {
            broke(
                    RuleKept.NO_DOUBLE_EFFECT,
                    entry.group.name() + " ran at " + entry.ranAt.id() + " and at " + node.id(),
                    now);
        }
        entry.ranAt = entry.ranAt == null ? node : entry.ranAt;
        entry.ranWhen = entry.ranWhen == 0 ? now : entry.ranWhen;
    }

    /** Nodes drop a repeat of a keyed command within its scope and window. */
    private static boolean dropped(Entry entry, Node node, double now) {
        DeduplicationScope scope = entry.group.deduplicationScope();
        boolean within = scope == DeduplicationScope.ALL
                || (scope == DeduplicationScope.REPLICA_SET
                        ? entry.ranAt.replicaSetId() == node.replicaSetId()
                        : entry.ranAt.zone().equals(node.zone()));
        return entry.group.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY
                && within
                && now <= entry.ranWhen + entry.group.deduplicationWindowSeconds();
    }

    /** A router sent something to a node that it knows to drain since then. */
    public void sentToDraining(Node node, double toldAt, double now) {
        if (now > toldAt + grace) {
            broke(
                    RuleKept.DRAINS,
                    "sent to " + node.id() + " " + Math.round(1000 * (now - toldAt)) + " ms after it was told",
                    now);
        }
    }

    /** Work came to a node that is cold; {@code capacity} is the work that it can do in a second now. */
    public void worked(Node node, double work, double capacity, double now) {
        Cold window = cold.computeIfAbsent(node, any -> new Cold());
        if (now > window.since + overloadFor) {
            window.since = now;
            window.work = 0;
        }
        window.work += work;
        if (window.work > overloadFactor * capacity * overloadFor) {
            broke(RuleKept.COLD_NODES, node.id() + " was pushed over", now);
            window.work = 0;
        }
    }

    /** Forgets what can break no rule any more; a command that nobody answered breaks the first one. */
    public void sweep(double now) {
        if (now < sweptAt + 1) {
            return;
        }
        sweptAt = now;
        entries.values().removeIf(entry -> {
            boolean over =
                    now > entry.expires + entry.group.clientTimeoutSeconds() + entry.group.deduplicationWindowSeconds();
            if (over && entry.answers == 0 && !entry.excused) {
                broke(RuleKept.ONE_ANSWER, entry.group.name() + " was never answered", now);
            }
            return over;
        });
    }

    /** Nothing comes any more: what is past its time must have been answered. */
    public void end(double now) {
        entries.values().stream()
                .filter(entry -> entry.answers == 0 && !entry.excused && now > entry.expires + SLACK)
                .forEach(entry -> broke(RuleKept.ONE_ANSWER, entry.group.name() + " was never answered", now));
    }
}
