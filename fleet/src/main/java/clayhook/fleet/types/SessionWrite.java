package clayhook.fleet.types;

import clayhook.fleet.ReplicatedType;
import java.util.Comparator;

/**
 * The last write of a session; the key is the session. The furthest position wins.
 *
 * @param position in the log of the replica set, as its primary reported it to the router that sent the write; in
 *     seconds since 1970
 * @param replicaSet that took the write
 */
public record SessionWrite(double position, int replicaSet) {
    static final Comparator<SessionWrite> ORDER =
            Comparator.comparingDouble(SessionWrite::position).thenComparingInt(SessionWrite::replicaSet);

    /** Longer than the ordinary lag of any replica; a replica that lags further serves no session. */
    static final double RETENTION_SECONDS = 120;

    /** The replicated type of these values. */
    public static final ReplicatedType<SessionWrite> TYPE = new SessionWriteType();

    /** @throws IllegalArgumentException for fields out of range */
    public SessionWrite {
        position = FieldValidation.requireTime(position);
        FieldValidation.requireReplicaSet(replicaSet);
    }

    /** Returns the key of a session with a name of any length. */
    public static String key(String session) {
        return ReplicatedKeys.truncateKeyText(session);
    }
}
