package clayhook.fleet.types;

import clayhook.fleet.ReplicatedType;
import java.util.Comparator;

/**
 * The last write of a session; the key is the session. The highest position wins.
 *
 * @param position the write's position in the log of the replica set, in seconds since 1970, as the primary reported it
 *     to the router that sent the write
 * @param replicaSet the replica set that executed the write
 */
public record SessionWrite(double position, int replicaSet) {
    static final Comparator<SessionWrite> ORDER =
            Comparator.comparingDouble(SessionWrite::position).thenComparingInt(SessionWrite::replicaSet);

    /**
     * Retention in seconds; longer than the usual lag of any replica. A replica that lags further serves no session.
     */
    static final double RETENTION_SECONDS = 120;

    /** The replicated type of these values. */
    public static final ReplicatedType<SessionWrite> TYPE = new SessionWriteType();

    /** @throws IllegalArgumentException for fields out of range */
    public SessionWrite {
        position = FieldValidation.requireTime(position);
        FieldValidation.requireReplicaSet(replicaSet);
    }

    /** Returns the key of a session; the name may have any length. */
    public static String key(String session) {
        return ReplicatedKeys.truncateKeyText(session);
    }
}
