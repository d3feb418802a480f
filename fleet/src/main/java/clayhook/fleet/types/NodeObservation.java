package clayhook.fleet.types;

import clayhook.fleet.ReplicatedType;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.stream.Stream;

/**
 * What routers have observed of one incarnation of a node; the key is the node's id, see {@link #key}. Of two
 * incarnations the later one replaces the other; within one, each field is merged by the later observation. All times
 * are those of the observing router, so passing an observation on does not make it more recent.
 *
 * @param incarnationStartedAt when the incarnation started by the endpoint list, in seconds since 1970; 0 for long ago
 * @param newestAt the time of the newest observation, of earlier incarnations too, in seconds since 1970
 * @param appliedPosition the reported log position in seconds since 1970; null for never, as with all that follow
 * @param lag seconds by which the node was behind its primary when it reported a position
 * @param latencyRatio its response time divided by the latency objective, smoothed by the observing router
 * @param reportedLoad the number of requests that it reported to hold
 * @param primaryClaim when it last reported to be the primary
 * @param replicaClaim when it last reported to be a replica
 * @param lastSeen when it last answered anything
 * @param failureStreaks of the routers it has failed since then; newest first, one a router, at most
 *     {@value #MAX_FAILURE_STREAKS}
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
    /** Two show a fault of the node; some more show that it is no fault of a single router. */
    static final int MAX_FAILURE_STREAKS = 4;
    /** Ten days. */
    private static final double MAX_LAG_SECONDS = 1e6;

    private static final double MAX_LATENCY_RATIO = 1000;
    private static final double MAX_LOAD = 1e6;

    /** The replicated type of these values. */
    public static final ReplicatedType<NodeObservation> TYPE = new NodeObservationType();

    /**
     * The failures of a node towards one router without an answer in between.
     *
     * @param source the router, and the time of its last failure
     * @param count from 1 to 1000
     */
    public record FailureStreak(ObservationSource source, int count) {
        static final int MAX_COUNT = 1000;
        private static final Comparator<FailureStreak> NEWEST_FIRST = Comparator.comparing(FailureStreak::source)
                .thenComparingInt(FailureStreak::count)
                .reversed();

        /** @throws IllegalArgumentException for a count out of range */
        public FailureStreak {
            FieldValidation.require(count > 0 && count <= MAX_COUNT, "number of failures");
        }
    }

    /** @throws IllegalArgumentException for fields out of range */
    public NodeObservation {
        incarnationStartedAt = FieldValidation.requireTime(incarnationStartedAt);
        newestAt = FieldValidation.requireTime(newestAt);
        requireAtMost(lag, MAX_LAG_SECONDS, "lag");
        requireAtMost(latencyRatio, MAX_LATENCY_RATIO, "latency ratio");
        requireAtMost(reportedLoad, MAX_LOAD, "load");
        FieldValidation.require(
                appliedPosition == null
                        || appliedPosition.value()
                                <= appliedPosition.source().observedAt() + FieldValidation.MAX_CLOCK_DIFFERENCE,
                "position in the future");
        failureStreaks = streaksSince(lastSeen, failureStreaks);
        double newestSource = Stream.concat(
                        sourcesOf(appliedPosition, lag, latencyRatio, reportedLoad),
                        sourcesOfClaims(primaryClaim, replicaClaim, lastSeen, failureStreaks))
                .mapToDouble(ObservationSource::observedAt)
                .max()
                .orElse(0);
        newestAt = Math.max(newestAt, newestSource);
        FieldValidation.require(
                incarnationStartedAt <= newestAt + FieldValidation.MAX_CLOCK_DIFFERENCE, "start in the future");
    }

    private static void requireAtMost(TimedValue observed, double max, String what) {
        FieldValidation.require(observed == null || observed.value() <= max, what);
    }

    /** Returns the streaks that count, newest first. Those before the last answer are dropped for good. */
    private static List<FailureStreak> streaksSince(ObservationSource lastSeen, List<FailureStreak> streaks) {
        var routers = new HashSet<String>();
        return streaks.stream()
                .sorted(FailureStreak.NEWEST_FIRST)
                .filter(streak -> lastSeen == null || streak.source.observedAt() > lastSeen.observedAt())
                .filter(streak -> routers.add(streak.source.router()))
                .limit(MAX_FAILURE_STREAKS)
                .toList();
    }

    /** Returns a value without any observation of that incarnation, given by its start in seconds since 1970. */
    public static NodeObservation empty(double incarnationStartedAt) {
        return new NodeObservation(
                incarnationStartedAt, incarnationStartedAt, null, null, null, null, null, null, null, List.of());
    }

    /** Returns the key of a node with an id of any length. */
    public static String key(String nodeId) {
        return ReplicatedKeys.truncateKeyText(nodeId);
    }

    /**
     * Adds a reported position and the lag, both in seconds. A position in the future or an absurd lag is left out.
     *
     * @param position in seconds since 1970; none if it is not positive
     */
    public NodeObservation withPosition(double position, double lagSeconds, ObservationSource source) {
        double maxPosition = source.observedAt() + FieldValidation.MAX_CLOCK_DIFFERENCE;
        if (!isWithin(position, maxPosition) || position <= 0) {
            return this;
        }
        double lagFromZero = Math.max(0, lagSeconds);
        TimedValue newLag = isWithin(lagFromZero, MAX_LAG_SECONDS) ? new TimedValue(lagFromZero, source) : null;
        var newPosition = new TimedValue(position, source);
        return merge(withFields(newPosition, newLag, null, null, null, null, null, List.of()));
    }

    /**
     * Adds the role that the node has reported.
     *
     * @param source with the time at which it had the role, which may be before its report arrived
     */
    public NodeObservation withRole(boolean isPrimary, ObservationSource source) {
        ObservationSource primary = isPrimary ? source : null;
        ObservationSource replica = isPrimary ? null : source;
        return merge(withFields(null, null, null, null, primary, replica, null, List.of()));
    }

    /** Adds that the node has answered. */
    public NodeObservation withResponse(ObservationSource source) {
        return merge(withFields(null, null, null, null, null, null, source, List.of()));
    }

    /** Adds that the node has failed a router {@code count} times in a row. */
    public NodeObservation withFailures(int count, ObservationSource source) {
        int bounded = Math.max(1, Math.min(FailureStreak.MAX_COUNT, count));
        var streak = new FailureStreak(source, bounded);
        return merge(withFields(null, null, null, null, null, null, null, List.of(streak)));
    }

    /** Adds the response time divided by the latency objective. A ratio out of range is left out. */
    public NodeObservation withLatencyRatio(double ratio, ObservationSource source) {
        if (!isWithin(ratio, MAX_LATENCY_RATIO)) {
            return this;
        }
        return merge(withFields(null, null, new TimedValue(ratio, source), null, null, null, null, List.of()));
    }

    /** Adds the number of requests that the node reported to hold. A number out of range is left out. */
    public NodeObservation withLoad(double requests, ObservationSource source) {
        if (!isWithin(requests, MAX_LOAD)) {
            return this;
        }
        return merge(withFields(null, null, null, new TimedValue(requests, source), null, null, null, List.of()));
    }

    private static boolean isWithin(double value, double max) {
        return value >= 0 && value <= max;
    }

    /** Returns a value for the same incarnation with these fields instead. */
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
