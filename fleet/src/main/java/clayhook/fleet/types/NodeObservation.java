package clayhook.fleet.types;

import clayhook.fleet.ReplicatedType;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.stream.Stream;

/**
 * The observations that routers have made of one incarnation of a node; the key is the node's id, see {@link #key}. Of
 * two incarnations the later one replaces the earlier one; within an incarnation, each field keeps its latest
 * observation. All times are those of the observing router, so forwarding an observation does not make it more recent.
 *
 * @param incarnationStartedAt the start of the incarnation according to the endpoint list, in seconds since 1970; 0 for
 *     a start that is long past
 * @param newestAt the time of the newest observation, of earlier incarnations too, in seconds since 1970
 * @param appliedPosition the log position that the node reported, in seconds since 1970; this and the following fields
 *     are null if never observed
 * @param lag the seconds by which the node was behind its primary when it reported a position
 * @param latencyRatio the node's response time divided by the latency objective, smoothed by the observing router
 * @param reportedLoad the number of requests that the node reported to hold
 * @param primaryClaim the last report of the node that it is the primary
 * @param replicaClaim the last report of the node that it is a replica
 * @param lastSeen the last response of the node
 * @param failureStreaks the routers that the node has failed since its last response; newest first, one per router, at
 *     most {@value #MAX_FAILURE_STREAKS}
 */
public record NodeObservation(
        double incarnationStartedAt,
        double newestAt,
        TimedValue appliedPosition,
        TimedValue lag,
        TimedValue latencyRatio,
        TimedValue reportedLoad,
        ObservationSource primaryClaim,
        ObservationSource replicaClaim,
        ObservationSource lastSeen,
        List<FailureStreak> failureStreaks) {
    /** Bound of the streaks. Two routers indicate a fault of the node; more show that no single router is the cause. */
    static final int MAX_FAILURE_STREAKS = 4;
    /** Largest lag that is accepted, in seconds: more than ten days. */
    private static final double MAX_LAG_SECONDS = 1e6;

    private static final double MAX_LATENCY_RATIO = 1000;
    private static final double MAX_LOAD = 1e6;

    /** The replicated type of these values. */
    public static final ReplicatedType<NodeObservation> TYPE = new NodeObservationType();

    /**
     * Consecutive failures of a node towards one router, without a response in between.
     *
     * @param source the router, and the time of its last failure
     * @param count the number of failures, from 1 to 1000
     */
    public record FailureStreak(ObservationSource source, int count) {
        static final int MAX_COUNT = 1000;
        private static final Comparator<FailureStreak> NEWEST_FIRST = Comparator.comparing(FailureStreak::source)
                .thenComparingInt(FailureStreak::count)
                .reversed();

        /** @throws IllegalArgumentException for a count out of range */
        public FailureStreak {
            FieldValidation.require(count > 0 && count <= MAX_COUNT, "failure count out of range");
        }
    }

    /** @throws IllegalArgumentException for fields out of range */
    public NodeObservation {
        incarnationStartedAt = FieldValidation.requireTime(incarnationStartedAt);
        newestAt = FieldValidation.requireTime(newestAt);
        requireAtMost(lag, MAX_LAG_SECONDS, "lag");
        requireAtMost(latencyRatio, MAX_LATENCY_RATIO, "latency ratio out of range");
        requireAtMost(reportedLoad, MAX_LOAD, "load");
        FieldValidation.require(
                appliedPosition == null
                        || appliedPosition.value()
                                <= appliedPosition.source().observedAt() + FieldValidation.MAX_CLOCK_DIFFERENCE,
                "position in the future");
        failureStreaks = currentStreaks(lastSeen, failureStreaks);
        double newestSource = Stream.concat(
                        sourcesOf(appliedPosition, lag, latencyRatio, reportedLoad),
                        sourcesOfClaims(primaryClaim, replicaClaim, lastSeen, failureStreaks))
                .mapToDouble(ObservationSource::observedAt)
                .max()
                .orElse(0);
        newestAt = Math.max(newestAt, newestSource);
        FieldValidation.require(
                incarnationStartedAt <= newestAt + FieldValidation.MAX_CLOCK_DIFFERENCE,
                "incarnation start in the future");
    }

    private static void requireAtMost(TimedValue observed, double max, String message) {
        FieldValidation.require(observed == null || observed.value() <= max, message);
    }

    /**
     * Returns the streaks after the last response, newest first, one per router. Streaks before the last response are
     * dropped permanently.
     */
    private static List<FailureStreak> currentStreaks(ObservationSource lastSeen, List<FailureStreak> streaks) {
        var routers = new HashSet<String>();
        return streaks.stream()
                .sorted(FailureStreak.NEWEST_FIRST)
                .filter(streak -> lastSeen == null || streak.source.observedAt() > lastSeen.observedAt())
                .filter(streak -> routers.add(streak.source.router()))
                .limit(MAX_FAILURE_STREAKS)
                .toList();
    }

    /**
     * Returns a value without observations.
     *
     * @param incarnationStartedAt the start of the node's incarnation, in seconds since 1970
     */
    public static NodeObservation empty(double incarnationStartedAt) {
        return new NodeObservation(
                incarnationStartedAt, incarnationStartedAt, null, null, null, null, null, null, null, List.of());
    }

    /** Returns the key of a node; the id may have any length. */
    public static String key(String nodeId) {
        return ReplicatedKeys.truncateKeyText(nodeId);
    }

    /**
     * Adds a reported log position and the lag. A position in the future, or a lag out of range, is omitted.
     *
     * @param position the applied position in seconds since 1970; not positive for none
     * @param lagSeconds the seconds by which the node is behind its primary
     */
    public NodeObservation withPosition(double position, double lagSeconds, ObservationSource source) {
        double maxPosition = source.observedAt() + FieldValidation.MAX_CLOCK_DIFFERENCE;
        if (!isInRange(position, maxPosition) || position <= 0) {
            return this;
        }
        double lagFromZero = Math.max(0, lagSeconds);
        TimedValue newLag = isInRange(lagFromZero, MAX_LAG_SECONDS) ? new TimedValue(lagFromZero, source) : null;
        var newPosition = new TimedValue(position, source);
        return merge(withFields(newPosition, newLag, null, null, null, null, null, List.of()));
    }

    /**
     * Adds the role that the node has reported.
     *
     * @param source the observing router, and the time at which the node had the role, which may be before its report
     *     arrived
     */
    public NodeObservation withRole(boolean isPrimary, ObservationSource source) {
        ObservationSource primary = isPrimary ? source : null;
        ObservationSource replica = isPrimary ? null : source;
        return merge(withFields(null, null, null, null, primary, replica, null, List.of()));
    }

    /** Adds a response of the node. */
    public NodeObservation withResponse(ObservationSource source) {
        return merge(withFields(null, null, null, null, null, null, source, List.of()));
    }

    /** Adds {@code count} consecutive failures of the node towards a router. */
    public NodeObservation withFailures(int count, ObservationSource source) {
        int bounded = Math.max(1, Math.min(FailureStreak.MAX_COUNT, count));
        var streak = new FailureStreak(source, bounded);
        return merge(withFields(null, null, null, null, null, null, null, List.of(streak)));
    }

    /** Adds the response time divided by the latency objective. A ratio out of range is omitted. */
    public NodeObservation withLatencyRatio(double ratio, ObservationSource source) {
        if (!isInRange(ratio, MAX_LATENCY_RATIO)) {
            return this;
        }
        return merge(withFields(null, null, new TimedValue(ratio, source), null, null, null, null, List.of()));
    }

    /** Adds the number of requests that the node reported to hold. A number out of range is omitted. */
    public NodeObservation withLoad(double requests, ObservationSource source) {
        if (!isInRange(requests, MAX_LOAD)) {
            return this;
        }
        return merge(withFields(null, null, null, new TimedValue(requests, source), null, null, null, List.of()));
    }

    private static boolean isInRange(double value, double max) {
        return value >= 0 && value <= max;
    }

    /** Returns a value for the same incarnation with only the given fields. */
    private NodeObservation withFields(
            TimedValue position,
            TimedValue newLag,
            TimedValue newLatencyRatio,
            TimedValue load,
            ObservationSource primary,
            ObservationSource replica,
            ObservationSource seen,
            List<FailureStreak> streaks) {
        return new NodeObservation(
                incarnationStartedAt,
                newestAt,
                position,
                newLag,
                newLatencyRatio,
                load,
                primary,
                replica,
                seen,
                streaks);
    }

    NodeObservation merge(NodeObservation other) {
        double newest = Math.max(newestAt, other.newestAt);
        if (incarnationStartedAt != other.incarnationStartedAt) {
            NodeObservation later = incarnationStartedAt > other.incarnationStartedAt ? this : other;
            return later.withNewestAt(newest);
        }
        return new NodeObservation(
                incarnationStartedAt,
                newest,
                ObservationSource.later(appliedPosition, other.appliedPosition),
                ObservationSource.later(lag, other.lag),
                ObservationSource.later(latencyRatio, other.latencyRatio),
                ObservationSource.later(reportedLoad, other.reportedLoad),
                ObservationSource.later(primaryClaim, other.primaryClaim),
                ObservationSource.later(replicaClaim, other.replicaClaim),
                ObservationSource.later(lastSeen, other.lastSeen),
                Stream.concat(failureStreaks.stream(), other.failureStreaks.stream())
                        .toList());
    }

    private NodeObservation withNewestAt(double newest) {
        return new NodeObservation(
                incarnationStartedAt,
                newest,
                appliedPosition,
                lag,
                latencyRatio,
                reportedLoad,
                primaryClaim,
                replicaClaim,
                lastSeen,
                failureStreaks);
    }

    /** Returns the sources of all observations in this value, which may contain duplicates. */
    Stream<ObservationSource> sources() {
        return Stream.concat(
                sourcesOf(appliedPosition, lag, latencyRatio, reportedLoad),
                sourcesOfClaims(primaryClaim, replicaClaim, lastSeen, failureStreaks));
    }

    private static Stream<ObservationSource> sourcesOf(TimedValue... observed) {
        return Stream.of(observed).filter(Objects::nonNull).map(TimedValue::source);
    }

    private static Stream<ObservationSource> sourcesOfClaims(
            ObservationSource primary,
            ObservationSource replica,
            ObservationSource lastSeen,
            List<FailureStreak> streaks) {
        return Stream.concat(
                Stream.of(primary, replica, lastSeen).filter(Objects::nonNull),
                streaks.stream().map(FailureStreak::source));
    }
}
