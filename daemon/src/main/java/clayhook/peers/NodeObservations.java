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
 * Collects what this router observes of nodes and publishes what peers do not know yet. Publishing every observation
 * would make traffic grow with the request rate, and many routers would publish the same at once. Confined to the
 * gossip thread.
 */
final class NodeObservations {
    /** Seconds. Readers want an observation of the last second, and it takes some tenths of a second to spread. */
    static final double FRESHNESS = 0.5;
    /** Seconds between two publications; about the time in which an observation reaches the other routers. */
    static final double PUBLISH_INTERVAL = 0.1;
    /**
     * Expected number of routers that publish an urgent change: the message of one may get lost, those of ten do not.
     */
    private static final int URGENT_PUBLISHERS = 10;
    /** Seconds; a shorter timeout says more of the client than of the node. */
    private static final double MIN_SIGNIFICANT_TIMEOUT = 0.2;
    /** Number of routers whose failures are published; more of them prove no more. */
    private static final int ENOUGH_WITNESSES = 3;
    /** Seconds; a load report is no older than that when it arrives. */
    private static final double MAX_REPORT_AGE = 5;
    /** Seconds between two load reports of a node. */
    private static final double TYPICAL_REPORT_AGE = 0.25;

    private static final double NEVER = Double.NEGATIVE_INFINITY;

    /** What was observed of one node; times are those of the observation. */
    private static final class PendingObservation {
        double heardAt = NEVER;
        double positionAt = NEVER;
        double primaryAt = NEVER;
        double replicaAt = NEVER;
        double loadAt = NEVER;
        double failedAt = NEVER;
        double position;
        double lag;
        double load;
        int consecutiveFailures;
        boolean unpublished;
    }

    private final String selfName;
    private final MembershipView membership;
    private final SplittableRandom random;
    /** By node key; bounded by the endpoint list. */
    private final Map<String, PendingObservation> pendingByKey = new HashMap<>();

    private double nextPublishAt = NEVER;

    NodeObservations(MembershipView membership, SplittableRandom random) {
        this.membership = membership;
        this.random = random;
        selfName = membership.self().member().name();
    }

    /**
     * Records the result of an attempt or a health check; what a node reported is dated half way between send and
     * result.
     */
    void recordResult(String key, AttemptResult result, double now) {
        PendingObservation pending = pendingByKey.computeIfAbsent(key, any -> new PendingObservation());
        pending.unpublished = true;
        double observedAt = now - result.elapsedSeconds() / 2;
        AttemptOutcome outcome = result.outcome();
        if (outcome == AttemptOutcome.ANSWERED || outcome == AttemptOutcome.REJECTED || result.role() != Role.UNKNOWN) {
            pending.heardAt = Math.max(pending.heardAt, observedAt);
            pending.consecutiveFailures = 0;
        } else if (outcome == AttemptOutcome.CONNECT_FAILED
                || (outcome == AttemptOutcome.TIMED_OUT && result.elapsedSeconds() >= MIN_SIGNIFICANT_TIMEOUT)) {
            pending.consecutiveFailures++;
            pending.failedAt = now;
        }
        recordPosition(pending, result, observedAt);
        recordRole(pending, result, observedAt);
        if (result.reportedLoad() >= 0) {
            pending.load = result.reportedLoad();
            pending.loadAt = observedAt;
        }
    }

    /**
     * Computes the lag as routing does: positions are clock times, as the log goes on whether or not the primary was
     * heard.
     */
    private static void recordPosition(PendingObservation pending, AttemptResult result, double observedAt) {
        double position = Math.max(result.appliedPosition(), result.reportedPosition());
        if (position > 0) {
            pending.position = position;
            pending.lag = Math.max(
                    0, (result.appliedPosition() > 0 ? observedAt : observedAt - TYPICAL_REPORT_AGE) - position);
            pending.positionAt = observedAt;
        }
    }

    /**
     * A reported role is as old as the position in the report, but a replica's position may be older than its report.
     */
    private static void recordRole(PendingObservation pending, AttemptResult result, double observedAt) {
        if (result.role() == Role.PRIMARY) {
            pending.primaryAt = Math.max(pending.primaryAt, observedAt);
        } else if (result.role() == Role.REPLICA) {
            pending.replicaAt = Math.max(pending.replicaAt, observedAt);
        }
        double reported = result.reportedPosition();
        if (result.reportedRole() == Role.PRIMARY && reported > 0) {
            pending.primaryAt = Math.max(pending.primaryAt, Math.min(reported, observedAt));
        } else if (result.reportedRole() == Role.REPLICA) {
            pending.replicaAt =
                    Math.max(pending.replicaAt, Math.min(observedAt, Math.max(reported, observedAt - MAX_REPORT_AGE)));
        }
    }

    /** Forgets all nodes but those of the given keys. */
    void retainNodes(Set<String> keys) {
        pendingByKey.keySet().retainAll(keys);
    }

    /**
     * Publishes what peers do not know, if it is due. Each router publishes with a probability that makes the expected
     * number of publishers one, or {@link #URGENT_PUBLISHERS} for an urgent change.
     *
     * @param startedAt when the incarnation of the node of that key began, in seconds since 1970; 0 for long ago
     * @return when to call it next, in seconds since 1970
     */
    double publish(ReplicatedStore store, ToDoubleFunction<String> startedAt, double now) {
        if (now < nextPublishAt) {
            return nextPublishAt;
        }
        nextPublishAt = now + PUBLISH_INTERVAL;
        double routers = 1 + membership.livePeers().size();
        pendingByKey.forEach((key, pending) -> {
            if (pending.unpublished) {
                publish(store, key, pending, startedAt.applyAsDouble(key), routers, now);
            }
        });
        return nextPublishAt;
    }

    private void publish(
            ReplicatedStore store, String key, PendingObservation pending, double start, double routers, double now) {
        NodeObservation published = store.get(NodeObservation.TYPE, key);
        boolean urgent =
                published == null || published.incarnationStartedAt() < start || contradicts(pending, published);
        boolean due = urgent || pending.heardAt > timeOf(published.lastSeen()) + FRESHNESS;
        if (due && random.nextDouble() < (urgent ? URGENT_PUBLISHERS : 1) / routers) {
            pending.unpublished = false;
            store.merge(NodeObservation.TYPE, key, toObservation(pending, start), now);
        }
    }

    private static double timeOf(ObservationSource source) {
        return source == null ? NEVER : source.observedAt();
    }

    /**
     * Whether the node has another role than published, or a failure of it has not been published by enough routers.
     */
    private boolean contradicts(PendingObservation pending, NodeObservation published) {
        return hasOtherRole(pending, published) || hasUnpublishedFailure(pending, published);
    }

    private static boolean hasOtherRole(PendingObservation pending, NodeObservation published) {
        double publishedPrimaryAt = timeOf(published.primaryClaim());
        double publishedReplicaAt = timeOf(published.replicaClaim());
        boolean isPrimary = pending.primaryAt > pending.replicaAt;
        boolean wasPrimary = publishedPrimaryAt > publishedReplicaAt;
        double roleAt = Math.max(pending.primaryAt, pending.replicaAt);
        return isPrimary != wasPrimary && roleAt > Math.max(publishedPrimaryAt, publishedReplicaAt);
    }

    private boolean hasUnpublishedFailure(PendingObservation pending, NodeObservation published) {
        return pending.consecutiveFailures > 0
                && pending.failedAt > timeOf(published.lastSeen())
                && published.failureStreaks().size() < ENOUGH_WITNESSES
                && published.failureStreaks().stream()
                        .noneMatch(streak -> streak.count() >= pending.consecutiveFailures
                                && streak.source().router().equals(selfName));
    }

    private NodeObservation toObservation(PendingObservation pending, double start) {
        NodeObservation observation = NodeObservation.empty(start);
        if (pending.positionAt > NEVER) {
            observation = observation.withPosition(pending.position, pending.lag, sourceAt(pending.positionAt));
        }
        if (pending.primaryAt > NEVER) {
            observation = observation.withRole(true, sourceAt(pending.primaryAt));
        }
        if (pending.replicaAt > NEVER) {
            observation = observation.withRole(false, sourceAt(pending.replicaAt));
        }
        if (pending.loadAt > NEVER) {
            observation = observation.withLoad(pending.load, sourceAt(pending.loadAt));
        }
        if (pending.heardAt > NEVER) {
            observation = observation.withResponse(sourceAt(pending.heardAt));
        }
        return pending.consecutiveFailures == 0
                ? observation
                : observation.withFailures(pending.consecutiveFailures, sourceAt(pending.failedAt));
    }

    private ObservationSource sourceAt(double observedAt) {
        return ObservationSource.of(observedAt, selfName);
    }
}
