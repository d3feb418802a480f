package clayhook.fleet.kinds;

import clayhook.fleet.ReplicatedType;
import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
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
public record Evidence(
        double nodeStart,
        double newest,
        Seen position,
        Seen lag,
        Seen slowness,
        Seen load,
        Sight primary,
        Sight replica,
        Sight heard,
        List<Strike> strikes) {
    /** Two make a state; some more show that it is no router's own trouble. */
    static final int MOST_STRIKES = 4;
    /** Sights in one value: eleven now, with room for later releases. */
    private static final int MOST_SIGHTS = 64;
    /** Of what is told of nodes: ten days of lag, a thousand targets, a million commands. */
    private static final double MOST_LAG = 1e6, MOST_SLOWNESS = 1000, MOST_LOAD = 1e6;

    /** A router's failures with a node without an answer between; {@code count} from 1 on. */
    public record Strike(Sight sight, int count) {
        private static final int MOST = 1000;
        private static final Comparator<Strike> NEWEST_FIRST = Comparator.comparing(Strike::sight)
                .thenComparingInt(Strike::count)
                .reversed();

        public Strike {
            Check.that(count > 0 && count <= MOST, "number of strikes");
        }
    }

    public static final ReplicatedType<Evidence> KIND = new ReplicatedType<>() {
        @Override
        public int typeNumber() {
            return 1;
        }

        @Override
        public String name() {
            return "evidence";
        }

        @Override
        public Evidence merge(Evidence a, Evidence b) {
            return a.join(b);
        }

        @Override
        public double timestamp(Evidence value) {
            return value.newest;
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
        public void write(Evidence value, FieldWriter out) {
            value.write(out);
        }

        @Override
        public Evidence read(FieldReader in) {
            return Evidence.read(in);
        }
    };

    public Evidence {
        nodeStart = Check.time(nodeStart);
        newest = Check.time(newest);
        most(lag, MOST_LAG, "lag");
        most(slowness, MOST_SLOWNESS, "slowness");
        most(load, MOST_LOAD, "load");
        Check.that(
                position == null || position.value() <= position.sight().at() + Check.CLOCKS, "position of the future");
        strikes = since(heard, strikes);
        newest = Math.max(
                newest,
                Stream.concat(sights(position, lag, slowness, load), sightsOf(primary, replica, heard, strikes))
                        .mapToDouble(Sight::at)
                        .max()
                        .orElse(0));
        Check.that(nodeStart <= newest + Check.CLOCKS, "start in the future");
    }

    private static void most(Seen seen, double most, String what) {
        Check.that(seen == null || seen.value() <= most, what);
    }

    /** Those that count, in their order: older ones than the last answer never come to count again. */
    private static List<Strike> since(Sight heard, List<Strike> strikes) {
        var routers = new HashSet<String>();
        return strikes.stream()
                .sorted(Strike.NEWEST_FIRST)
                .filter(strike -> (heard == null || strike.sight.at() > heard.at()) && routers.add(strike.sight.by()))
                .limit(MOST_STRIKES)
                .toList();
    }

    /** Nothing yet of that life of a node. */
    public static Evidence none(double nodeStart) {
        return new Evidence(nodeStart, nodeStart, null, null, null, null, null, null, null, List.of());
    }

    /** It told its position; both in seconds. A position of the future or a senseless lag costs only itself. */
    public Evidence told(double told, double behind, Sight sight) {
        Seen at = sane(told, sight.at() + Check.CLOCKS) && told > 0 ? new Seen(told, sight) : null;
        Seen by = sane(Math.max(0, behind), MOST_LAG) ? new Seen(Math.max(0, behind), sight) : null;
        return join(with(at, at == null ? null : by, null, null, null, null, null, List.of()));
    }

    /** It said whether it is primary. The sight's time is when it was so: a report may be older than its arrival. */
    public Evidence role(boolean isPrimary, Sight sight) {
        return join(with(null, null, null, null, isPrimary ? sight : null, isPrimary ? null : sight, null, List.of()));
    }

    /** It answered. */
    public Evidence heard(Sight sight) {
        return join(with(null, null, null, null, null, null, sight, List.of()));
    }

    /** It failed that router, {@code count} times in a row. */
    public Evidence failed(int count, Sight sight) {
        var strike = new Strike(sight, Math.max(1, Math.min(Strike.MOST, count)));
        return join(with(null, null, null, null, null, null, null, List.of(strike)));
    }

    /** Time of its answers over the response target. */
    public Evidence pace(double part, Sight sight) {
        return !sane(part, MOST_SLOWNESS)
                ? this
                : join(with(null, null, new Seen(part, sight), null, null, null, null, List.of()));
    }

    /** Commands that it reported to hold. */
    public Evidence load(double commands, Sight sight) {
        return !sane(commands, MOST_LOAD)
                ? this
                : join(with(null, null, null, new Seen(commands, sight), null, null, null, List.of()));
    }

    private static boolean sane(double value, double most) {
        return value >= 0 && value <= most;
    }

    private Evidence with(
            Seen position,
            Seen lag,
            Seen slowness,
            Seen load,
            Sight primary,
            Sight replica,
            Sight heard,
            List<Strike> strikes) {
        return new Evidence(nodeStart, newest, position, lag, slowness, load, primary, replica, heard, strikes);
    }

    private Evidence join(Evidence other) {
        if (nodeStart != other.nodeStart) {
            Evidence life = nodeStart > other.nodeStart ? this : other;
            return new Evidence(
                    life.nodeStart,
                    Math.max(newest, other.newest),
                    life.position,
                    life.lag,
                    life.slowness,
                    life.load,
                    life.primary,
                    life.replica,
                    life.heard,
                    life.strikes);
        }
        return new Evidence(
                nodeStart,
                Math.max(newest, other.newest),
                Sight.later(position, other.position),
                Sight.later(lag, other.lag),
                Sight.later(slowness, other.slowness),
                Sight.later(load, other.load),
                Sight.later(primary, other.primary),
                Sight.later(replica, other.replica),
                Sight.later(heard, other.heard),
                Stream.concat(strikes.stream(), other.strikes.stream()).toList());
    }

    private static Stream<Sight> sights(Seen... figures) {
        return Stream.of(figures).filter(Objects::nonNull).map(Seen::sight);
    }

    private static Stream<Sight> sightsOf(Sight primary, Sight replica, Sight heard, List<Strike> strikes) {
        return Stream.concat(
                Stream.of(primary, replica, heard).filter(Objects::nonNull),
                strikes.stream().map(Strike::sight));
    }

    /** One answer tells most fields at once: each sight stands once, fields name its place. */
    private void write(FieldWriter out) {
        var sights = new ArrayList<>(new LinkedHashSet<>(
                Stream.concat(sights(position, lag, slowness, load), sightsOf(primary, replica, heard, strikes))
                        .toList()));
        out.writeDouble(nodeStart).writeDouble(newest).beginList();
        sights.forEach(sight -> out.beginList().writeDouble(sight.at()).writeNullableString(sight.by()).endList());
        out.endList();
        for (Seen figure : new Seen[] {position, lag, slowness, load}) {
            out.writeLong(figure == null ? 0 : 1 + sights.indexOf(figure.sight()))
                    .writeDouble(figure == null ? 0 : figure.value());
        }
        for (Sight sight : new Sight[] {primary, replica, heard}) {
            out.writeLong(1 + sights.indexOf(sight));
        }
        out.beginList();
        strikes.forEach(strike -> out.beginList()
                .writeLong(1 + sights.indexOf(strike.sight))
                .writeLong(strike.count)
                .endList());
        out.endList();
    }

    private static Evidence read(FieldReader in) {
        double nodeStart = in.readDouble();
        double newest = in.readDouble();
        List<Sight> sights = in.readLists(MOST_SIGHTS, each -> new Sight(each.readDouble(), each.readNonEmptyString()));
        return new Evidence(
                nodeStart,
                newest,
                seen(in, sights),
                seen(in, sights),
                seen(in, sights),
                seen(in, sights),
                sight(in, sights),
                sight(in, sights),
                sight(in, sights),
                in.readLists(MOST_SIGHTS, each -> strike(each, sights)));
    }

    private static Seen seen(FieldReader in, List<Sight> sights) {
        Sight sight = sight(in, sights);
        double value = in.readDouble();
        return sight == null ? null : new Seen(value, sight);
    }

    private static Sight sight(FieldReader in, List<Sight> sights) {
        int place = in.readIntBelow(1 + sights.size());
        return place == 0 ? null : sights.get(place - 1);
    }

    private static Strike strike(FieldReader in, List<Sight> sights) {
        Sight sight = sight(in, sights);
        Check.that(sight != null, "strike by nobody");
        return new Strike(sight, in.readIntBelow(1 + Strike.MOST));
    }

    /** The key of a node of any id. */
    public static String key(String node) {
        return Keys.whole(node);
    }
}
