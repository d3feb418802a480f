package clayhook.fleet.types;

import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
import clayhook.fleet.ReplicatedType;
import java.util.Comparator;
import java.util.List;

/**
 * What a source of discovery says of a node; the key is the source and the node's id, see {@link #key}. The newest
 * revision counts, so that an older word never undoes a drain. With an empty id it only says which revision a router
 * has heard.
 *
 * @param revision in which the source said so, its own count; those of two sources are not compared
 * @param nodeStart when the node's process last started, seconds since 1970; 0 for long ago
 * @param primary the list's late word; counts only until the node itself has spoken
 * @param zone of the node, and its group, host and port: for a peer that has not heard the list
 * @param at when a router last had it so from the source itself, seconds since 1970
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
    /** In order of how closed the node is. */
    public enum EndpointState {
        READY,
        DRAINING,
        GONE
    }

    /** Bytes; the longest name that hosts may have. */
    private static final int MAX_HOST_BYTES = 255;
    /** Bytes of a source within a key; host and port. */
    private static final int MAX_SOURCE_BYTES = 100;

    /** Where all that is said is the same, by when it was heard. */
    private static final Comparator<ListedEndpoint> ORDER = Comparator.comparingLong(ListedEndpoint::revision)
            .thenComparing(ListedEndpoint::state)
            .thenComparingDouble(ListedEndpoint::incarnationStartedAt)
            .thenComparing(ListedEndpoint::primary)
            .thenComparing(ListedEndpoint::zone)
            .thenComparingInt(ListedEndpoint::replicaSet)
            .thenComparing(ListedEndpoint::host)
            .thenComparingInt(ListedEndpoint::port);

    public static final ReplicatedType<ListedEndpoint> TYPE = new ReplicatedType<>() {
        @Override
        public int typeNumber() {
            return 2;
        }

        @Override
        public String name() {
            return "listed";
        }

        /**
         * The newest revision; within one the more closed state, then the later start, then the larger of each other
         * field.
         */
        @Override
        public ListedEndpoint merge(ListedEndpoint a, ListedEndpoint b) {
            return (ORDER.compare(a, b) >= 0 ? a : b).withLastHeardAt(Math.max(a.lastHeardAt, b.lastHeardAt));
        }

        @Override
        public double timestamp(ListedEndpoint value) {
            return value.lastHeardAt;
        }

        /**
         * Seconds; whoever hears the list puts it again before, so it outlasts the longest stay of a service that is
         * down.
         */
        @Override
        public double retentionSeconds() {
            return 3600;
        }

        /** As many nodes as a list may have, of the source and of the one before it. */
        @Override
        public int maxEntries() {
            return 20_000;
        }

        @Override
        public boolean urgent() {
            return true;
        }

        /** It goes by revisions; a router with a wrong clock may well hear of a drain first. */
        @Override
        public boolean clockDependent() {
            return false;
        }

        @Override
        public void write(ListedEndpoint value, FieldWriter out) {
            out.writeLong(value.revision)
                    .writeLong(value.state.ordinal())
                    .writeDouble(value.incarnationStartedAt)
                    .writeBoolean(value.primary)
                    .writeNullableString(value.zone)
                    .writeLong(value.replicaSet)
                    .writeNullableString(value.host)
                    .writeLong(value.port)
                    .writeDouble(value.lastHeardAt);
        }

        @Override
        public ListedEndpoint read(FieldReader in) {
            return new ListedEndpoint(
                    in.readLong(),
                    EndpointState.values()[in.readIntBelow(EndpointState.values().length)],
                    in.readDouble(),
                    in.readBoolean(),
                    in.readNullableString(),
                    in.readIntBelow(FieldValidation.MAX_REPLICA_SETS),
                    in.readNullableString(),
                    in.readIntBelow(1 << 16),
                    in.readDouble());
        }
    };

    public ListedEndpoint {
        FieldValidation.require(revision >= 0 && state != null, "revision or state");
        incarnationStartedAt = FieldValidation.requireTime(incarnationStartedAt);
        FieldValidation.requireText(zone, ReplicatedKeys.MAX_NAME_BYTES, "zone");
        FieldValidation.require(
                replicaSet >= 0 && replicaSet < FieldValidation.MAX_REPLICA_SETS && port >= 0 && port < 1 << 16,
                "group or port");
        FieldValidation.requireText(host, MAX_HOST_BYTES, "host");
        lastHeardAt = FieldValidation.requireTime(lastHeardAt);
    }

    /** That revision was heard, whatever it says of nodes. */
    static ListedEndpoint ofRevision(long revision, double at) {
        return new ListedEndpoint(revision, EndpointState.READY, 0, false, "", 0, "", 0, at);
    }

    /** Of a node, or with an empty id of the revision. */
    static String key(String source, String id) {
        return ReplicatedKeys.join(
                ReplicatedKeys.truncate(source, MAX_SOURCE_BYTES), ReplicatedKeys.truncateKeyText(id));
    }

    /** The source and the id, or any other number of texts where another release made the key. */
    static List<String> parseKey(String key) {
        return ReplicatedKeys.split(key);
    }

    ListedEndpoint withLastHeardAt(double time) {
        return new ListedEndpoint(revision, state, incarnationStartedAt, primary, zone, replicaSet, host, port, time);
    }

    /** The list of that revision does not have it any more. */
    ListedEndpoint asRemoved(long later, double now) {
        return new ListedEndpoint(
                later, EndpointState.GONE, incarnationStartedAt, false, zone, replicaSet, host, port, now);
    }

    /** It gets nothing new. */
    public boolean isClosed() {
        return state != EndpointState.READY;
    }

    /** Whether it says the same of the node, in whichever revision. */
    boolean describesSameAs(ListedEndpoint other) {
        return other != null
                && equals(new ListedEndpoint(
                        revision,
                        other.state,
                        other.incarnationStartedAt,
                        other.primary,
                        other.zone,
                        other.replicaSet,
                        other.host,
                        other.port,
                        lastHeardAt));
    }
}
