package clayhook;

import java.util.HashMap;
import java.util.Map;

/**
 * A small model of what a router knows about the nodes of one replica set, which records only what was reported to the
 * router and decides whether an attempt is allowed. It holds no state that an absence from the list could lose.
 */
final class NodeFactsModel {
    /** How long after a confirmation the list is valid, and how long a passed health check confirms without it. */
    private static final double LIST_SECONDS = 5.9;

    private static final double POLLED_CONFIRMATION_SECONDS = 4;
    private static final double NEVER = Double.NEGATIVE_INFINITY;

    /** What was reported to the router about one node. */
    private static final class Facts {
        private boolean ready;
        private double startedAt;
        private Role reportedRole = Role.UNKNOWN;
        private double drainingReportedAt = NEVER;
        private double confirmedAt = NEVER;
        private double refusedAt = NEVER;
        private double position;
    }

    private final Map<Node, Facts> nodes = new HashMap<>();
    private final boolean healthChecksAllowed;
    private final double confirmationSeconds;
    private final double unwatchedSeconds;
    private double listValidUntil;

    NodeFactsModel(EndpointListDelivery delivery, boolean healthChecksAllowed, double startedAt) {
        this.healthChecksAllowed = healthChecksAllowed;
        boolean strict = delivery.pushed() && healthChecksAllowed;
        double reactionSeconds = delivery.drainGraceSeconds() * 2 / 3;
        confirmationSeconds = strict ? reactionSeconds : POLLED_CONFIRMATION_SECONDS;
        unwatchedSeconds = strict ? reactionSeconds : LIST_SECONDS;
        listValidUntil = delivery.pushed() ? NEVER : startedAt + LIST_SECONDS;
    }

    private Facts facts(Node node) {
        return nodes.computeIfAbsent(node, any -> new Facts());
    }

    // ---- what is reported to the router ----

    void onListed(Node node, Endpoint.State state, double startedAt, double now) {
        Facts facts = facts(node);
        boolean newProcess = startedAt > facts.startedAt;
        if (newProcess && facts.drainingReportedAt < startedAt) {
            facts.drainingReportedAt = NEVER;
        }
        if (newProcess || !facts.ready) {
            facts.refusedAt = now;
        }
        facts.startedAt = Math.max(facts.startedAt, startedAt);
        facts.ready = state == Endpoint.State.READY;
    }

    void onGone(Node node) {
        facts(node).ready = false;
    }

    void onListConfirmed(double now) {
        listValidUntil = Math.max(listValidUntil, now + LIST_SECONDS);
    }

    void onWatchLost(double now) {
        listValidUntil = Math.min(listValidUntil, now + unwatchedSeconds);
    }

    /** Records the role and the position that an answer of any kind reports. */
    void onReport(Node node, Role role, double position) {
        Facts facts = facts(node);
        facts.reportedRole = role == Role.UNKNOWN ? facts.reportedRole : role;
        facts.position = Math.max(facts.position, position);
    }

    void onHealthCheck(Node node, AttemptOutcome outcome, double sentAt, double now) {
        Facts facts = facts(node);
        if (outcome != AttemptOutcome.ANSWERED) {
            facts.refusedAt = now;
            facts.drainingReportedAt = outcome == AttemptOutcome.DRAINING ? now : facts.drainingReportedAt;
            return;
        }
        // A tick applies results before it sends checks, so that a check of the same time was sent after the report.
        facts.drainingReportedAt = sentAt >= facts.drainingReportedAt ? NEVER : facts.drainingReportedAt;
        if (healthChecksAllowed) {
            facts.confirmedAt = Math.max(facts.confirmedAt, sentAt);
        }
    }

    void onAttempt(Node node, AttemptOutcome outcome, double sentAt, double now) {
        Facts facts = facts(node);
        if (outcome == AttemptOutcome.CONNECT_FAILED || outcome == AttemptOutcome.OVERLOADED) {
            facts.refusedAt = now;
        } else if (outcome == AttemptOutcome.ANSWERED && !healthChecksAllowed) {
            facts.confirmedAt = Math.max(facts.confirmedAt, sentAt);
        }
    }

    // ---- what it may do ----

    /** Returns why a request must not be written to the node now, or null if it may be. */
    String violation(Request request, Node node, double now) {
        Facts facts = facts(node);
        boolean confirmed = facts.confirmedAt > Math.max(facts.refusedAt, now - confirmationSeconds);
        if (!facts.ready) {
            return "the node drains or is gone";
        } else if (healthChecksAllowed && facts.drainingReportedAt > NEVER) {
            return "the node has reported that it is draining";
        } else if (now >= listValidUntil && !confirmed) {
            return "the list is out of date and the node is not confirmed";
        } else if (facts.reportedRole != Role.REPLICA) {
            return null; // a send to a node that may still be primary cannot be known to be stale
        }
        return switch (request.consistency()) {
            case STRONG -> "a strong read at a node that reported that it is a replica";
            case BOUNDED_STALENESS ->
                facts.position >= now - request.maxStalenessSeconds()
                        ? null
                        : "a bounded read at a replica that reported no position within the bound";
            default -> null;
        };
    }
}
