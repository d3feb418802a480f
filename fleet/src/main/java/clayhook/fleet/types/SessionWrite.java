package clayhook.fleet.types;

import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
import clayhook.fleet.ReplicatedType;
import java.util.Comparator;

/**
 * The last write of a session; the key is the session. The furthest counts.
 *
 * @param position in the log of the node group, as its primary told the router that sent the write; seconds since 1970
 * @param group the node group
 */
public record SessionWrite(double position, int replicaSet) {
    /** Seconds. Longer than any replica's ordinary lag: one further behind than that serves no session. */
    static final double RETENTION_SECONDS = 120;
    /** Some 200 bytes each; at eight hundred sessions a second that write, all of those two minutes. */
    static final int MAX_ENTRIES = 100_000;

    private static final Comparator<SessionWrite> ORDER =
            Comparator.comparingDouble(SessionWrite::position).thenComparingInt(SessionWrite::replicaSet);

    public static final ReplicatedType<SessionWrite> TYPE = new ReplicatedType<>() {
        @Override
        public int typeNumber() {
            return 3;
        }

        @Override
        public String name() {
            return "marks";
        }

        @Override
        public SessionWrite merge(SessionWrite a, SessionWrite b) {
            return ORDER.compare(a, b) >= 0 ? a : b;
        }

        /** So that the floor is a position too. */
        @Override
        public double timestamp(SessionWrite value) {
            return value.position;
        }

        @Override
        public double retentionSeconds() {
            return RETENTION_SECONDS;
        }

        @Override
        public int maxEntries() {
            return MAX_ENTRIES;
        }

        /** Positions come from nodes, whatever the clock of the router that passes them on. */
        @Override
        public boolean clockDependent() {
            return false;
        }

        @Override
        public void write(SessionWrite value, FieldWriter out) {
            out.writeDouble(value.position).writeLong(value.replicaSet);
        }

        @Override
        public SessionWrite read(FieldReader in) {
            return new SessionWrite(in.readDouble(), in.readIntBelow(FieldValidation.MAX_REPLICA_SETS));
        }
    };

    public SessionWrite {
        position = FieldValidation.requireTime(position);
        FieldValidation.require(replicaSet >= 0 && replicaSet < FieldValidation.MAX_REPLICA_SETS, "group");
    }

    /** The key of a session of any name. */
    public static String key(String session) {
        return ReplicatedKeys.truncateKeyText(session);
    }
}
