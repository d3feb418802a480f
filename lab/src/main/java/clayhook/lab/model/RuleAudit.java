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
    private static final double ANSWER_TOLERANCE = 0.02;

    private static final class Entry {
        final RequestClass requestClass;
        final double deadline;
        int answers;
        /** Whether no timely answer can be expected. */
        boolean excused;
        /** Node at which the request ran first; null until then. The next field is the time. */
        Node ranAtNode;

        double ranAtTime;

        Entry(RequestClass requestClass, double deadline) {
            this.requestClass = requestClass;
            this.deadline = deadline;
        }
    }

    /** Work received by a cold node in the current window. */
    private static final class ColdWindow {
        double since;
        double work;
    }

    private final double drainGrace;
    private final double overloadFactor;
    private final double overloadFor;
    private final Map<Object, Entry> entries = new HashMap<>();
    private final Map<Node, ColdWindow> coldWindows = new HashMap<>();
    private final Map<RuleKept, Integer> violations = new EnumMap<>(RuleKept.class);
    private String firstViolation;
    private double lastEvictionAt;

    /**
     * @param drainGrace seconds after the notification of a drain in which a node may still receive requests
     * @param overloadFactor multiple of the capacity of a cold node above which the node is overloaded
     * @param overloadFor seconds of a window over which the work is summed up
     */
    public RuleAudit(double drainGrace, double overloadFactor, double overloadFor) {
        this.drainGrace = drainGrace;
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

    private void recordViolation(RuleKept rule, String description, double now) {
        violations.merge(rule, 1, Integer::sum);
        firstViolation = firstViolation == null
                ? String.format(java.util.Locale.ROOT, "%.3f s: %s: %s", now, rule, description)
                : firstViolation;
    }

    public void sent(Object request, RequestClass requestClass, double deadline) {
        entries.put(request, new Entry(requestClass, deadline));
    }

    /** Records that a client received a final answer. */
    public void answered(Object request, double now) {
        Entry entry = entries.get(request);
        if (entry == null || ++entry.answers > 1) {
            recordViolation(RuleKept.ONE_ANSWER, "answered twice", now);
        } else if (now > entry.deadline + ANSWER_TOLERANCE && !entry.excused) {
            recordViolation(
                    RuleKept.ONE_ANSWER,
                    "answered " + Math.round(1000 * (now - entry.deadline)) + " ms after its time",
                    now);
        }
    }

    /**
     * Excuses the missing answer of a request whose router was killed or stopped while it held the request. Its
     * executions still count.
     */
    public void excuse(Object request) {
        Entry entry = entries.get(request);
        if (entry != null) {
            entry.excused = true;
        }
    }

    /** Records that a router rejected a request, which promises the client that it has not run and will not run. */
    public void rejected(Object request, double now) {
        Entry entry = entries.get(request);
        if (entry != null
                && entry.ranAtNode != null
                && entry.requestClass.idempotency() == Idempotency.NON_IDEMPOTENT) {
            recordViolation(RuleKept.NO_DOUBLE_EFFECT, "throttled, but it ran at " + entry.ranAtNode.id(), now);
        }
    }

    /**
     * Records that a node ran a request.
     *
     * @param position applied position of the node
     * @param requiredPosition position that a read must cover
     */
    public void executed(Object request, Node node, double position, double requiredPosition, double now) {
        Entry entry = entries.get(request);
        if (entry == null) {
            return;
        }
        boolean writes = entry.requestClass.consistency() == ConsistencyLevel.WRITE;
        if (!writes && position < requiredPosition - 1e-6) {
            recordViolation(
                    RuleKept.NO_STALE_READ,
                    entry.requestClass.name() + " at " + node.id() + " was "
                            + Math.round(1000 * (requiredPosition - position)) + " ms behind",
                    now);
        }
        if (entry.ranAtNode != null
                && entry.requestClass.idempotency() != Idempotency.IDEMPOTENT
                && !deduplicated(entry, node, now)) {
            recordViolation(
                    RuleKept.NO_DOUBLE_EFFECT,
                    entry.requestClass.name() + " ran at " + entry.ranAtNode.id() + " and at " + node.id(),
                    now);
        }
        entry.ranAtNode = entry.ranAtNode == null ? node : entry.ranAtNode;
        entry.ranAtTime = entry.ranAtTime == 0 ? now : entry.ranAtTime;
    }

    /** Returns whether the node drops a repeat of a request with key, within its deduplication scope and window. */
    private static boolean deduplicated(Entry entry, Node node, double now) {
        DeduplicationScope scope = entry.requestClass.deduplicationScope();
        boolean inScope = scope == DeduplicationScope.ALL
                || (scope == DeduplicationScope.REPLICA_SET
                        ? entry.ranAtNode.replicaSetId() == node.replicaSetId()
                        : entry.ranAtNode.zone().equals(node.zone()));
        return entry.requestClass.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY
                && inScope
                && now <= entry.ranAtTime + entry.requestClass.deduplicationWindowSeconds();
    }

    /**
     * Records that a router sent a request to a draining node.
     *
     * @param notifiedAt time since which the router knows that the node is draining
     */
    public void sentToDraining(Node node, double notifiedAt, double now) {
        if (now > notifiedAt + drainGrace) {
            recordViolation(
                    RuleKept.DRAINS,
                    "sent to " + node.id() + " " + Math.round(1000 * (now - notifiedAt)) + " ms after it was told",
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
        ColdWindow window = coldWindows.computeIfAbsent(node, any -> new ColdWindow());
        if (now > window.since + overloadFor) {
            window.since = now;
            window.work = 0;
        }
        window.work += work;
        if (window.work > overloadFactor * capacity * overloadFor) {
            recordViolation(RuleKept.COLD_NODES, node.id() + " was pushed over", now);
            window.work = 0;
        }
    }

    /**
     * Removes requests that can violate no rule any more, at most once per second. A request without a final answer
     * violates {@link RuleKept#ONE_ANSWER}.
     */
    public void evictFinished(double now) {
        if (now < lastEvictionAt + 1) {
            return;
        }
        lastEvictionAt = now;
        entries.values().removeIf(entry -> {
            boolean finished = now
                    > entry.deadline
                            + entry.requestClass.clientTimeoutSeconds()
                            + entry.requestClass.deduplicationWindowSeconds();
            if (finished && entry.answers == 0 && !entry.excused) {
                recordViolation(RuleKept.ONE_ANSWER, entry.requestClass.name() + " was never answered", now);
            }
            return finished;
        });
    }

    /** Ends the audit: requests past their deadline without a final answer violate {@link RuleKept#ONE_ANSWER}. */
    public void end(double now) {
        entries.values().stream()
                .filter(entry -> entry.answers == 0 && !entry.excused && now > entry.deadline + ANSWER_TOLERANCE)
                .forEach(entry ->
                        recordViolation(RuleKept.ONE_ANSWER, entry.requestClass.name() + " was never answered", now));
    }
}
