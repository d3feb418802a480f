package clayhook.fleet.kinds;

import clayhook.fleet.ReplicatedType;
import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
import java.util.Comparator;

/**
 * The last write of a session; the key is the session. The furthest counts.
 *
 * @param position in the log of the node group, as its primary told the router that sent the write; seconds since 1970
 * @param group the node group
 */
public record Mark(double position, int group) {
    /** Seconds. Longer than any replica's ordinary lag: one further behind than that serves no session. */
    static final double KEEP = 120;
    /** Some 200 bytes each; at eight hundred sessions a second that write, all of those two minutes. */
    static final int MOST = 100_000;

    private static final Comparator<Mark> ORDER =
            Comparator.comparingDouble(Mark::position).thenComparingInt(Mark::group);

    public static final ReplicatedType<Mark> KIND = new ReplicatedType<>() {
        @Override
        public int typeNumber() {
            return 3;
        }

        @Override
        public String name() {
            return "marks";
        }

        @Override
        public Mark merge(Mark a, Mark b) {
            return ORDER.compare(a, b) >= 0 ? a : b;
        }

        /** So that the floor is a position too. */
        @Override
        public double timestamp(Mark value) {
            return value.position;
        }

        @Override
        public double retentionSeconds() {
            return KEEP;
        }

        @Override
        public int maxEntries() {
            return MOST;
        }

        /** Positions come from nodes, whatever the clock of the router that passes them on. */
        @Override
        public boolean clockDependent() {
            return false;
        }

        @Override
        public void write(Mark value, FieldWriter out) {
            out.writeDouble(value.position).writeLong(value.group);
        }

        @Override
        public Mark read(FieldReader in) {
            return new Mark(in.readDouble(), in.readIntBelow(Check.MOST_GROUPS));
        }
    };

    public Mark {
        position = Check.time(position);
        Check.that(group >= 0 && group < Check.MOST_GROUPS, "group");
    }

    /** The key of a session of any name. */
    public static String key(String session) {
        return Keys.whole(session);
    }
}
