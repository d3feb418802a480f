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
 * Audits the five rules from the events at clients and nodes alone. It keeps open requests, and finished ones only
 * while another execution could still violate a rule: until the client timeout and the deduplication window after the
 * deadline.
 */
public final class RuleAudit {
    /** Rules that a router must keep, in the order of the platform's documentation. */
    public enum RuleKept {
        ONE_ANSWER,
        NO_DOUBLE_EFFECT,
        DRAINS,
        COLD_NODES,
        NO_STALE_READ
    }

    /** Seconds after the client timeout in which a final answer is still accepted. */
    private static final double SLACK = 0.02;

    private static final class Entry {
        final RequestClass group;
        final double expires;
        int answers;
        /** Whether no timely answer can be expected. */
        boolean excused;
        /** Node at which the request ran first; null until then. The next field is the time. */
        Node ranAt;

        double ranWhen;

        Entry(RequestClass group, double expires) {
            this.group = group;
            this.expires = expires;
        }
    }

    /** Work received by a cold node in the current window. */
    private static final class Cold {
        double since;
        double work;
    }

    private final double grace;
    private final double overloadFactor;
    private final double overloadFor;
    private final Map<Object, Entry> entries = new HashMap<>();
    private final Map<Node, Cold> cold = new HashMap<>();
    private final Map<RuleKept, Integer> violations = new EnumMap<>(RuleKept.class);
    private String firstViolation;
    private double sweptAt;

    /**
     * @param grace seconds after the notification of a drain in which a node may still receive requests
     * @param overloadFactor multiple of the capacity of a cold node above which the node is overloaded
     * @param overloadFor seconds of a window over which the work is summed up
     */
    public RuleAudit(double grace, double overloadFactor, double overloadFor) {
        this.grace = grace;
        this.overloadFactor = overloadFactor;
        this.overloadFor = overloadFor;
    }

    /** Number of violations by rule; rules without violations are absent. */
    public Map<RuleKept, Integer> violations() {
        return Map.copyOf(violations);
    }

    /** Description of the first violation, or null. */
    public String firstViolation() {
        return firstViolation;
    }

    private void broke(RuleKept rule, String what, double now) {
        violations.merge(rule, 1, Integer::sum);
        firstViolation = firstViolation == null ? String.format(java.util.Locale.ROOT, "%.3f s: %s: %s", now, rule, what) : firstViolation;
    }

    public void sent(Object command, RequestClass group, double expires) {
        entries.put(command, new Entry(group, expires));
    }

    /** Records that a client received a final answer. */
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
     * Excuses the missing answer of a request whose router was killed or stopped while it held the request. Its
     * executions still count.
     */
    public void excuse(Object command) {
        Entry entry = entries.get(command);
        if (entry != null) {
            entry.excused = true;
        }
    }

    /** Records that a router rejected a request, which promises the client that it has not run and will not run. */
    public void rejected(Object command, double now) {
        Entry entry = entries.get(command);
        if (entry != null && entry.ranAt != null && entry.group.idempotency() == Idempotency.NON_IDEMPOTENT) {
            broke(RuleKept.NO_DOUBLE_EFFECT, "throttled, but it ran at " + entry.ranAt.id(), now);
        }
    }

    /**
     * Records that a node ran a request.
     *
     * @param position applied position of the node
     * @param needed position that a read must cover
     */
    public void executed(Object command, Node node, double position, double needed, double now) {
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

    /** Returns whether the node drops a repeat of a request with key, within its deduplication scope and window. */
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

    /**
     * Records that a router sent a request to a draining node.
     *
     * @param toldAt time since which the router knows that the node is draining
     */
    public void sentToDraining(Node node, double toldAt, double now) {
        if (now > toldAt + grace) {
            broke(
                    RuleKept.DRAINS,
                    "sent to " + node.id() + " " + Math.round(1000 * (now - toldAt)) + " ms after it was told",
                    now);
        }
    }

    /**
     * Records work received by a cold node.
     *
     * @param work core seconds of the request
     * @param capacity core seconds of work that the node can do per second now
     */
    public void workAtColdNode(Node node, double work, double capacity, double now) {
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

    /**
     * Removes requests that can violate no rule any more, at most once per second. A request without a final answer
     * violates {@link RuleKept#ONE_ANSWER}.
     */
    public void evictFinished(double now) {
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

    /** Ends the audit: requests past their deadline without a final answer violate {@link RuleKept#ONE_ANSWER}. */
    public void end(double now) {
        entries.values().stream()
                .filter(entry -> entry.answers == 0 && !entry.excused && now > entry.expires + SLACK)
                .forEach(entry -> broke(RuleKept.ONE_ANSWER, entry.group.name() + " was never answered", now));
    }
}
