package clayhook.fleet.types;

import clayhook.fleet.ReplicatedType;
import java.util.Comparator;
import java.util.List;

/**
 * What a discovery source says about a node; the key is the source and the node's id, see {@link #key}. The newest
 * revision wins, so that an outdated update never undoes a drain. The value with an empty id only says which revision a
 * router has received.
 *
 * @param revision of the source, by its own count; revisions of two sources cannot be compared
 * @param incarnationStartedAt when the node's process last started, in seconds since 1970; 0 for long ago
 * @param primary whether the list has the node as primary; counts only until the node itself has reported its role
 * @param zone of the node, for a router that has not received the list, as with the replica set, host and port
 * @param lastHeardAt when a router last received this from the source itself, in seconds since 1970
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
        double lastHeardAt) {
    /**
     * The state of a node in the endpoint list. Within a revision the state declared later wins: the order must not
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

        /** Returns the number that stands for this state in replicated values. */
        int code() {
            return code;
        }

        /** @throws IllegalArgumentException for a number that stands for no state */
        static EndpointState ofCode(long code) {
            for (EndpointState state : values()) {
                if (state.code == code) {
                    return state;
                }
            }
            throw new IllegalArgumentException("an endpoint state of " + code);
        }
    }

    /** The longest name a host may have. */
    private static final int MAX_HOST_BYTES = 255;
    /** Of a source within a key: host and port. */
    private static final int MAX_SOURCE_BYTES = 100;

    /** By precedence; the time at which a value was received does not count. */
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
        FieldValidation.require(revision >= 0 && state != null, "revision or state");
        incarnationStartedAt = FieldValidation.requireTime(incarnationStartedAt);
        FieldValidation.requireText(zone, ReplicatedKeys.MAX_NAME_BYTES, "zone");
        FieldValidation.requireReplicaSet(replicaSet);
        FieldValidation.require(port >= 0 && port < FieldValidation.PORT_LIMIT, "port");
        FieldValidation.requireText(host, MAX_HOST_BYTES, "host");
        lastHeardAt = FieldValidation.requireTime(lastHeardAt);
    }

    /** Returns the value that says that a revision was received, whatever it says about nodes. */
    static ListedEndpoint ofRevision(long revision, double now) {
        return new ListedEndpoint(revision, EndpointState.READY, 0, false, "", 0, "", 0, now);
    }

    /** Returns the key of a node, or with an empty id the key of the revision. */
    static String key(String source, String id) {
        return ReplicatedKeys.join(
                ReplicatedKeys.truncate(source, MAX_SOURCE_BYTES), ReplicatedKeys.truncateKeyText(id));
    }

    /** Returns the source and the id; any other number of parts for a key in the format of another release. */
    static List<String> parseKey(String key) {
        return ReplicatedKeys.split(key);
    }

    ListedEndpoint withLastHeardAt(double time) {
        return new ListedEndpoint(revision, state, incarnationStartedAt, primary, zone, replicaSet, host, port, time);
    }

    /** Returns the value for a node that the list of a later revision no longer contains. */
    ListedEndpoint asRemoved(long laterRevision, double now) {
        return new ListedEndpoint(
                laterRevision, EndpointState.GONE, incarnationStartedAt, false, zone, replicaSet, host, port, now);
    }

    /** Whether the node accepts no new requests. */
    public boolean isClosed() {
        return state != EndpointState.READY;
    }

    /** Whether another value says the same about the node, in whichever revision. */
    boolean describesSameAs(ListedEndpoint other) {
        return other != null && equals(other.withRevision(revision).withLastHeardAt(lastHeardAt));
    }

    private ListedEndpoint withRevision(long otherRevision) {
        return new ListedEndpoint(
                otherRevision, state, incarnationStartedAt, primary, zone, replicaSet, host, port, lastHeardAt);
    }
}
