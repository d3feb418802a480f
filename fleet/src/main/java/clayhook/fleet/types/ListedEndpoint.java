package clayhook.fleet.types;

import clayhook.fleet.ReplicatedType;
import java.util.Comparator;
import java.util.List;

/**
 * The entry of a node in the list of a discovery source; the key is the source and the node's id, see {@link #key}. The
 * newest revision wins, so that an outdated update never reverts a drain. The value under an empty id is no entry of a
 * node: it carries a revision that a router has received.
 *
 * @param revision the source's revision of the list; revisions of two sources cannot be compared
 * @param incarnationStartedAt the time at which the node's process last started, in seconds since 1970; 0 for a start
 *     that is long past
 * @param primary whether the list has the node as primary; ignored once the node itself has reported its role
 * @param zone the node's zone; shared, like the replica set, host and port, for routers that have not received the list
 * @param lastReceivedAt the time at which a router last received the entry from the source itself, in seconds since
 *     1970
 */
public record ListedEndpoint(
        long revision,
        EndpointState state,
        double incarnationStartedAt,
        boolean primary,
        String zone,
        int replicaSet,
        String host,
        int port,
        double lastReceivedAt) {
    /**
     * The state of a node in the endpoint list. Within a revision the later constant wins, so the order must not
     * change.
     */
    public enum EndpointState {
        READY(0),
        DRAINING(1),
        GONE(2);

        private final int code;

        EndpointState(int code) {
            this.code = code;
        }

        /** Returns the number that encodes this state in replicated values. */
        int code() {
            return code;
        }

        /** @throws IllegalArgumentException for a number that encodes no state */
        static EndpointState ofCode(long code) {
            for (EndpointState state : values()) {
                if (state.code == code) {
                    return state;
                }
            }
            throw new IllegalArgumentException("unknown endpoint state code " + code);
        }
    }

    /** Longest host name, in bytes of UTF-8. */
    private static final int MAX_HOST_BYTES = 255;
    /** Longest source (host and port) in a key, in bytes of UTF-8; longer ones are truncated. */
    private static final int MAX_SOURCE_BYTES = 100;

    /** Orders entries by precedence. The time of receipt is not compared. */
    static final Comparator<ListedEndpoint> ORDER = Comparator.comparingLong(ListedEndpoint::revision)
            .thenComparing(ListedEndpoint::state)
            .thenComparingDouble(ListedEndpoint::incarnationStartedAt)
            .thenComparing(ListedEndpoint::primary)
            .thenComparing(ListedEndpoint::zone)
            .thenComparingInt(ListedEndpoint::replicaSet)
            .thenComparing(ListedEndpoint::host)
            .thenComparingInt(ListedEndpoint::port);

    /** The replicated type of these values. */
    public static final ReplicatedType<ListedEndpoint> TYPE = new ListedEndpointType();

    /** @throws IllegalArgumentException for fields out of range */
    public ListedEndpoint {
        FieldValidation.require(revision >= 0 && state != null, "negative revision or missing state");
        incarnationStartedAt = FieldValidation.requireTime(incarnationStartedAt);
        FieldValidation.requireText(zone, ReplicatedKeys.MAX_NAME_BYTES, "zone");
        FieldValidation.requireReplicaSet(replicaSet);
        FieldValidation.require(port >= 0 && port < FieldValidation.PORT_LIMIT, "port");
        FieldValidation.requireText(host, MAX_HOST_BYTES, "host");
        lastReceivedAt = FieldValidation.requireTime(lastReceivedAt);
    }

    /** Returns the value that carries a received revision, independent of any node. */
    static ListedEndpoint ofRevision(long revision, double now) {
        return new ListedEndpoint(revision, EndpointState.READY, 0, false, "", 0, "", 0, now);
    }

    /** Returns the key of a node; with an empty id, the key of the source's revision. */
    static String key(String source, String id) {
        return ReplicatedKeys.join(
                ReplicatedKeys.truncate(source, MAX_SOURCE_BYTES), ReplicatedKeys.truncateKeyText(id));
    }

    /**
     * Returns the parts of a key, source and id. A key in the format of another release may have another number of
     * parts.
     */
    static List<String> parseKey(String key) {
        return ReplicatedKeys.split(key);
    }

    ListedEndpoint withLastReceivedAt(double time) {
        return new ListedEndpoint(revision, state, incarnationStartedAt, primary, zone, replicaSet, host, port, time);
    }

    /** Returns the entry of this node for a later revision whose list no longer contains it. */
    ListedEndpoint asRemoved(long laterRevision, double now) {
        return new ListedEndpoint(
                laterRevision, EndpointState.GONE, incarnationStartedAt, false, zone, replicaSet, host, port, now);
    }

    /** Returns whether the node accepts no new requests, as it is draining or gone. */
    public boolean isClosed() {
        return state != EndpointState.READY;
    }

    /** Returns whether another entry is equal except for its revision and the time of receipt. */
    boolean equalsIgnoringRevision(ListedEndpoint other) {
        return other != null && equals(other.withRevision(revision).withLastReceivedAt(lastReceivedAt));
    }

    private ListedEndpoint withRevision(long otherRevision) {
        return new ListedEndpoint(
                otherRevision, state, incarnationStartedAt, primary, zone, replicaSet, host, port, lastReceivedAt);
    }
}
