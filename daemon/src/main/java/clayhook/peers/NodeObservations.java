package clayhook.peers;

import clayhook.AttemptOutcome;
import clayhook.AttemptResult;
import clayhook.Role;
import clayhook.fleet.MembershipView;
import clayhook.fleet.ReplicatedStore;
import clayhook.fleet.types.NodeObservation;
import clayhook.fleet.types.ObservationSource;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.ToDoubleFunction;

/**
 * What this router has seen of nodes, thinned to what the others do not know yet. Guards against traffic that grows
 * with commands, and against a hundred routers that all tell the same at once.
 */
final class NodeObservations {
    /** Seconds; readers ask for a word of the last second, and a word is some tenths on its way. */
    static final double FRESHNESS = 0.5;
    /** Seconds between two turns, and about the time in which one router's word reaches the rest. */
    static final double PUBLISH_INTERVAL = 0.1;
    /** Routers that tell at once what cannot wait: one is likely lost or late, ten are not. */
    private static final int URGENT_PUBLISHERS = 10;
    /** Seconds; a shorter wait for an answer says more of the client than of the node. */
    private static final double MIN_SIGNIFICANT_TIMEOUT = 0.2;
    /** Failures known of several routers; more prove no more. */
    private static final int ENOUGH_WITNESSES = 3;
    /** Seconds; a report arrives at most so old, and is made anew so often. */
    private static final double MAX_REPORT_AGE = 5, TYPICAL_REPORT_AGE = 0.25;

    private static final double NEVER = Double.NEGATIVE_INFINITY;

    /** Of one node since it was last told; times are those of what was seen. */
    private static final class PendingObservation {
        double heardAt = NEVER,
                positionAt = NEVER,
                primaryAt = NEVER,
                replicaAt = NEVER,
                loadAt = NEVER,
                failedAt = NEVER;
        double position, lag, load;
        int consecutiveFailures;
        boolean unpublished;
    }

    private final String selfName;
    private final MembershipView membership;
    private final SplittableRandom random;
    /** By key; one a node that answers, emptied with the list of nodes. */
    private final Map<String, PendingObservation> pendingByKey = new HashMap<>();

    private double nextPublishAt = NEVER;

    NodeObservations(MembershipView roster, SplittableRandom chance) {
        this.membership = roster;
        this.random = chance;
        selfName = roster.self().member().name();
    }

    /** That came back from a node. */
    void recordResult(String key, AttemptResult reply, double now) {
        PendingObservation look = pendingByKey.computeIfAbsent(key, any -> new PendingObservation());
        look.unpublished = true;
        double then = now - reply.elapsedSeconds() / 2;
        AttemptOutcome outcome = reply.outcome();
        if (outcome == AttemptOutcome.ANSWERED || outcome == AttemptOutcome.REJECTED || reply.role() != Role.UNKNOWN) {
            look.heardAt = Math.max(look.heardAt, then);
            look.consecutiveFailures = 0;
        } else if (outcome == AttemptOutcome.CONNECT_FAILED
                || outcome == AttemptOutcome.TIMED_OUT && reply.elapsedSeconds() >= MIN_SIGNIFICANT_TIMEOUT) {
            look.consecutiveFailures++;
            look.failedAt = now;
        }
        recordPosition(look, reply, then);
        recordRole(look, reply, then);
        if (reply.reportedLoad() >= 0) {
            look.load = reply.reportedLoad();
            look.loadAt = then;
        }
    }

    /** As a router reckons it itself: the log goes on, whether or not its primary was heard. */
    private static void recordPosition(PendingObservation look, AttemptResult reply, double then) {
        double position = Math.max(reply.appliedPosition(), reply.reportedPosition());
        if (position > 0) {
            look.position = position;
            look.lag = Math.max(0, (reply.appliedPosition() > 0 ? then : then - TYPICAL_REPORT_AGE) - position);
            look.positionAt = then;
        }
    }

    /** A report is as old as its position, though a replica's may be older than the report. */
    private static void recordRole(PendingObservation look, AttemptResult reply, double then) {
        if (reply.role() == Role.PRIMARY) {
            look.primaryAt = Math.max(look.primaryAt, then);
        } else if (reply.role() == Role.REPLICA) {
            look.replicaAt = Math.max(look.replicaAt, then);
        }
        double reported = reply.reportedPosition();
        if (reply.reportedRole() == Role.PRIMARY && reported > 0) {
            look.primaryAt = Math.max(look.primaryAt, Math.min(reported, then));
        } else if (reply.reportedRole() == Role.REPLICA) {
            look.replicaAt = Math.max(look.replicaAt, Math.min(then, Math.max(reported, then - MAX_REPORT_AGE)));
        }
    }

    /** Only nodes of those keys go on. */
    void retainNodes(Set<String> keys) {
        pendingByKey.keySet().retainAll(keys);
    }

    /** Puts in what others do not know; {@code starts} tells when the life of a node began, 0 for long ago. */
    double publish(ReplicatedStore shared, ToDoubleFunction<String> starts, double now) {
        if (now < nextPublishAt) {
            return nextPublishAt;
        }
        nextPublishAt = now + PUBLISH_INTERVAL;
        double others = 1 + membership.livePeers().size();
        pendingByKey.forEach((key, look) -> {
            if (look.unpublished) {
                double start = starts.applyAsDouble(key);
                NodeObservation known = shared.get(NodeObservation.TYPE, key);
                boolean urgent = known == null || known.incarnationStartedAt() < start || contradicts(look, known);
                if ((urgent || look.heardAt > timeOf(known.lastSeen()) + FRESHNESS)
                        && random.nextDouble() < (urgent ? URGENT_PUBLISHERS : 1) / others) {
                    look.unpublished = false;
                    shared.merge(NodeObservation.TYPE, key, toObservation(look, start), now);
                }
            }
        });
        return nextPublishAt;
    }

    private static double timeOf(ObservationSource sight) {
        return sight == null ? NEVER : sight.observedAt();
    }

    /** Another role, or a failure that has not been told by enough. */
    private boolean contradicts(PendingObservation look, NodeObservation known) {
        boolean primary = look.primaryAt > look.replicaAt;
        double roleAt = Math.max(look.primaryAt, look.replicaAt);
        boolean role = primary != timeOf(known.primaryClaim()) > timeOf(known.replicaClaim())
                && roleAt > Math.max(timeOf(known.primaryClaim()), timeOf(known.replicaClaim()));
        boolean said = known.failureStreaks().stream()
                .anyMatch(strike -> strike.count() >= look.consecutiveFailures
                        && strike.source().router().equals(selfName));
        return role
                || look.consecutiveFailures > 0
                        && look.failedAt > timeOf(known.lastSeen())
                        && known.failureStreaks().size() < ENOUGH_WITNESSES
                        && !said;
    }

    private NodeObservation toObservation(PendingObservation look, double start) {
        NodeObservation evidence = NodeObservation.empty(start);
        if (look.positionAt > NEVER) {
            evidence = evidence.withPosition(look.position, look.lag, sourceAt(look.positionAt));
        }
        if (look.primaryAt > NEVER) {
            evidence = evidence.withRole(true, sourceAt(look.primaryAt));
        }
        if (look.replicaAt > NEVER) {
            evidence = evidence.withRole(false, sourceAt(look.replicaAt));
        }
        if (look.loadAt > NEVER) {
            evidence = evidence.withLoad(look.load, sourceAt(look.loadAt));
        }
        if (look.heardAt > NEVER) {
            evidence = evidence.withResponse(sourceAt(look.heardAt));
        }
        return look.consecutiveFailures == 0
                ? evidence
                : evidence.withFailures(look.consecutiveFailures, sourceAt(look.failedAt));
    }

    private ObservationSource sourceAt(double at) {
        return ObservationSource.of(at, selfName);
    }
}
