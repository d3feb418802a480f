package clayhook.fleet.types;

import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
import clayhook.fleet.ReplicatedType;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.stream.Stream;

/**
 * What routers have seen of a node in one life of it; the key is the node's id. Of two lives the later one counts
 * whole; within a life each field goes by the later sight. All times are of whoever saw it, so passing a word on never
 * makes it young.
 *
 * @param nodeStart when that life began, as the list told it, seconds since 1970; 0 for long ago
 * @param newest of all sights, of earlier lives too, seconds since 1970
 * @param position the log position that it told, seconds since 1970; null for never told, as with all that follow
 * @param lag seconds that it was behind its primary when it told a position
 * @param slowness time of its answers over the response target, smoothed by whoever saw it
 * @param load commands that it reported to hold
 * @param primary the newest word of its own that it is primary
 * @param replica the newest word of its own that it is not
 * @param heard when it last answered anything
 * @param strikes who failed to get an answer since then; newest first, one for each router, at most
 *     {@value #MOST_STRIKES}
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
    /** Two make a state; some more show that it is no router's own trouble. */
    static final int MAX_FAILURE_STREAKS = 4;
    /** Sights in one value: eleven now, with room for later releases. */
    private static final int MAX_SOURCES = 64;
    /** Of what is told of nodes: ten days of lag, a thousand targets, a million commands. */
    private static final double MAX_LAG_SECONDS = 1e6, MAX_LATENCY_RATIO = 1000, MAX_LOAD = 1e6;

    /** A router's failures with a node without an answer between; {@code count} from 1 on. */
    public record FailureStreak(ObservationSource source, int count) {
        private static final int MAX_COUNT = 1000;
        private static final Comparator<FailureStreak> NEWEST_FIRST = Comparator.comparing(FailureStreak::source)
                .thenComparingInt(FailureStreak::count)
                .reversed();

        public FailureStreak {
            FieldValidation.require(count > 0 && count <= MAX_COUNT, "number of strikes");
        }
    }

    public static final ReplicatedType<NodeObservation> TYPE = new ReplicatedType<>() {
        @Override
        public int typeNumber() {
            return 1;
        }

        @Override
        public String name() {
            return "evidence";
        }

        @Override
        public NodeObservation merge(NodeObservation a, NodeObservation b) {
            return a.merge(b);
        }

        @Override
        public double timestamp(NodeObservation value) {
            return value.newestAt;
        }

        /**
         * Seconds: some times as long as a reader believes any of it; what nobody has seen for longer is no evidence.
         */
        @Override
        public double retentionSeconds() {
            return 30;
        }

        /** As many nodes as a list may have; some 400 bytes each. */
        @Override
        public int maxEntries() {
            return 10_000;
        }

        @Override
        public void write(NodeObservation value, FieldWriter out) {
            value.write(out);
        }

        @Override
        public NodeObservation read(FieldReader in) {
            return NodeObservation.read(in);
        }
    };

    public NodeObservation {
        incarnationStartedAt = FieldValidation.requireTime(incarnationStartedAt);
        newestAt = FieldValidation.requireTime(newestAt);
        requireAtMost(lag, MAX_LAG_SECONDS, "lag");
        requireAtMost(latencyRatio, MAX_LATENCY_RATIO, "slowness");
        requireAtMost(reportedLoad, MAX_LOAD, "load");
        FieldValidation.require(
                appliedPosition == null
                        || appliedPosition.value()
                                <= appliedPosition.source().observedAt() + FieldValidation.MAX_CLOCK_DIFFERENCE,
                "position of the future");
        failureStreaks = streaksSince(lastSeen, failureStreaks);
        newestAt = Math.max(
                newestAt,
                Stream.concat(
                                sourcesOf(appliedPosition, lag, latencyRatio, reportedLoad),
                                sourcesOfClaims(primaryClaim, replicaClaim, lastSeen, failureStreaks))
                        .mapToDouble(ObservationSource::observedAt)
                        .max()
                        .orElse(0));
        FieldValidation.require(
                incarnationStartedAt <= newestAt + FieldValidation.MAX_CLOCK_DIFFERENCE, "start in the future");
    }

    private static void requireAtMost(TimedValue seen, double most, String what) {
        FieldValidation.require(seen == null || seen.value() <= most, what);
    }

    /** Those that count, in their order: older ones than the last answer never come to count again. */
    private static List<FailureStreak> streaksSince(ObservationSource heard, List<FailureStreak> strikes) {
        var routers = new HashSet<String>();
        return strikes.stream()
                .sorted(FailureStreak.NEWEST_FIRST)
                .filter(strike -> (heard == null || strike.source.observedAt() > heard.observedAt())
                        && routers.add(strike.source.router()))
                .limit(MAX_FAILURE_STREAKS)
                .toList();
    }

    /** Nothing yet of that life of a node. */
    public static NodeObservation empty(double nodeStart) {
        return new NodeObservation(nodeStart, nodeStart, null, null, null, null, null, null, null, List.of());
    }

    /** It told its position; both in seconds. A position of the future or a senseless lag costs only itself. */
    public NodeObservation withPosition(double told, double behind, ObservationSource sight) {
        TimedValue at = isWithin(told, sight.observedAt() + FieldValidation.MAX_CLOCK_DIFFERENCE) && told > 0
                ? new TimedValue(told, sight)
                : null;
        TimedValue by =
                isWithin(Math.max(0, behind), MAX_LAG_SECONDS) ? new TimedValue(Math.max(0, behind), sight) : null;
        return merge(withFields(at, at == null ? null : by, null, null, null, null, null, List.of()));
    }

    /** It said whether it is primary. The sight's time is when it was so: a report may be older than its arrival. */
    public NodeObservation withRole(boolean isPrimary, ObservationSource sight) {
        return merge(withFields(
                null, null, null, null, isPrimary ? sight : null, isPrimary ? null : sight, null, List.of()));
    }

    /** It answered. */
    public NodeObservation withResponse(ObservationSource sight) {
        return merge(withFields(null, null, null, null, null, null, sight, List.of()));
    }

    /** It failed that router, {@code count} times in a row. */
    public NodeObservation withFailures(int count, ObservationSource sight) {
        var strike = new FailureStreak(sight, Math.max(1, Math.min(FailureStreak.MAX_COUNT, count)));
        return merge(withFields(null, null, null, null, null, null, null, List.of(strike)));
    }

    /** Time of its answers over the response target. */
    public NodeObservation withLatencyRatio(double part, ObservationSource sight) {
        return !isWithin(part, MAX_LATENCY_RATIO)
                ? this
                : merge(withFields(null, null, new TimedValue(part, sight), null, null, null, null, List.of()));
    }

    /** Commands that it reported to hold. */
    public NodeObservation withLoad(double commands, ObservationSource sight) {
        return !isWithin(commands, MAX_LOAD)
                ? this
                : merge(withFields(null, null, null, new TimedValue(commands, sight), null, null, null, List.of()));
    }

    private static boolean isWithin(double value, double most) {
        return value >= 0 && value <= most;
    }

    private NodeObservation withFields(
            TimedValue position,
            TimedValue lag,
            TimedValue slowness,
            TimedValue load,
            ObservationSource primary,
            ObservationSource replica,
            ObservationSource heard,
            List<FailureStreak> strikes) {
        return new NodeObservation(
                incarnationStartedAt, newestAt, position, lag, slowness, load, primary, replica, heard, strikes);
    }

    private NodeObservation merge(NodeObservation other) {
        if (incarnationStartedAt != other.incarnationStartedAt) {
            NodeObservation life = incarnationStartedAt > other.incarnationStartedAt ? this : other;
            return new NodeObservation(
                    life.incarnationStartedAt,
                    Math.max(newestAt, other.newestAt),
                    life.appliedPosition,
                    life.lag,
                    life.latencyRatio,
                    life.reportedLoad,
                    life.primaryClaim,
                    life.replicaClaim,
                    life.lastSeen,
                    life.failureStreaks);
        }
        return new NodeObservation(
                incarnationStartedAt,
                Math.max(newestAt, other.newestAt),
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

    private static Stream<ObservationSource> sourcesOf(TimedValue... figures) {
        return Stream.of(figures).filter(Objects::nonNull).map(TimedValue::source);
    }

    private static Stream<ObservationSource> sourcesOfClaims(
            ObservationSource primary,
            ObservationSource replica,
            ObservationSource heard,
            List<FailureStreak> strikes) {
        return Stream.concat(
                Stream.of(primary, replica, heard).filter(Objects::nonNull),
                strikes.stream().map(FailureStreak::source));
    }

    /** One answer tells most fields at once: each sight stands once, fields name its place. */
    private void write(FieldWriter out) {
        var sights = new ArrayList<>(new LinkedHashSet<>(Stream.concat(
                        sourcesOf(appliedPosition, lag, latencyRatio, reportedLoad),
                        sourcesOfClaims(primaryClaim, replicaClaim, lastSeen, failureStreaks))
                .toList()));
        out.writeDouble(incarnationStartedAt).writeDouble(newestAt).beginList();
        sights.forEach(sight -> out.beginList()
                .writeDouble(sight.observedAt())
                .writeNullableString(sight.router())
                .endList());
        out.endList();
        for (TimedValue figure : new TimedValue[] {appliedPosition, lag, latencyRatio, reportedLoad}) {
            out.writeLong(figure == null ? 0 : 1 + sights.indexOf(figure.source()))
                    .writeDouble(figure == null ? 0 : figure.value());
        }
        for (ObservationSource sight : new ObservationSource[] {primaryClaim, replicaClaim, lastSeen}) {
            out.writeLong(1 + sights.indexOf(sight));
        }
        out.beginList();
        failureStreaks.forEach(strike -> out.beginList()
                .writeLong(1 + sights.indexOf(strike.source))
                .writeLong(strike.count)
                .endList());
        out.endList();
    }

    private static NodeObservation read(FieldReader in) {
        double nodeStart = in.readDouble();
        double newest = in.readDouble();
        List<ObservationSource> sights =
                in.readLists(MAX_SOURCES, each -> new ObservationSource(each.readDouble(), each.readNonEmptyString()));
        return new NodeObservation(
                nodeStart,
                newest,
                readTimedValue(in, sights),
                readTimedValue(in, sights),
                readTimedValue(in, sights),
                readTimedValue(in, sights),
                readSource(in, sights),
                readSource(in, sights),
                readSource(in, sights),
                in.readLists(MAX_SOURCES, each -> readStreak(each, sights)));
    }

    private static TimedValue readTimedValue(FieldReader in, List<ObservationSource> sights) {
        ObservationSource sight = readSource(in, sights);
        double value = in.readDouble();
        return sight == null ? null : new TimedValue(value, sight);
    }

    private static ObservationSource readSource(FieldReader in, List<ObservationSource> sights) {
        int place = in.readIntBelow(1 + sights.size());
        return place == 0 ? null : sights.get(place - 1);
    }

    private static FailureStreak readStreak(FieldReader in, List<ObservationSource> sights) {
        ObservationSource sight = readSource(in, sights);
        FieldValidation.require(sight != null, "strike by nobody");
        return new FailureStreak(sight, in.readIntBelow(1 + FailureStreak.MAX_COUNT));
    }

    /** The key of a node of any id. */
    public static String key(String node) {
        return ReplicatedKeys.truncateKeyText(node);
    }
}
