package clayhook.fleet.kinds;

import clayhook.fleet.ReplicatedType;
import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
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
public record Listed(
        long revision,
        State state,
        double nodeStart,
        boolean primary,
        String zone,
        int group,
        String host,
        int port,
        double at) {
    /** In order of how closed the node is. */
    public enum State {
        READY,
        DRAINING,
        GONE
    }

    /** Bytes; the longest name that hosts may have. */
    private static final int LONGEST_HOST = 255;
    /** Bytes of a source within a key; host and port. */
    private static final int LONGEST_SOURCE = 100;

    /** Where all that is said is the same, by when it was heard. */
    private static final Comparator<Listed> ORDER = Comparator.comparingLong(Listed::revision)
            .thenComparing(Listed::state)
            .thenComparingDouble(Listed::nodeStart)
            .thenComparing(Listed::primary)
            .thenComparing(Listed::zone)
            .thenComparingInt(Listed::group)
            .thenComparing(Listed::host)
            .thenComparingInt(Listed::port);

    public static final ReplicatedType<Listed> KIND = new ReplicatedType<>() {
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
        public Listed merge(Listed a, Listed b) {
            return (ORDER.compare(a, b) >= 0 ? a : b).heardAt(Math.max(a.at, b.at));
        }

        @Override
        public double timestamp(Listed value) {
            return value.at;
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
        public void write(Listed value, FieldWriter out) {
            out.writeLong(value.revision)
                    .writeLong(value.state.ordinal())
                    .writeDouble(value.nodeStart)
                    .writeBoolean(value.primary)
                    .writeNullableString(value.zone)
                    .writeLong(value.group)
                    .writeNullableString(value.host)
                    .writeLong(value.port)
                    .writeDouble(value.at);
        }

        @Override
        public Listed read(FieldReader in) {
            return new Listed(
                    in.readLong(),
                    State.values()[in.readIntBelow(State.values().length)],
                    in.readDouble(),
                    in.readBoolean(),
                    in.readNullableString(),
                    in.readIntBelow(Check.MOST_GROUPS),
                    in.readNullableString(),
                    in.readIntBelow(1 << 16),
                    in.readDouble());
        }
    };

    public Listed {
        Check.that(revision >= 0 && state != null, "revision or state");
        nodeStart = Check.time(nodeStart);
        Check.text(zone, Keys.LONGEST_NAME, "zone");
        Check.that(group >= 0 && group < Check.MOST_GROUPS && port >= 0 && port < 1 << 16, "group or port");
        Check.text(host, LONGEST_HOST, "host");
        at = Check.time(at);
    }

    /** That revision was heard, whatever it says of nodes. */
    static Listed ofRevision(long revision, double at) {
        return new Listed(revision, State.READY, 0, false, "", 0, "", 0, at);
    }

    /** Of a node, or with an empty id of the revision. */
    static String key(String source, String id) {
        return Keys.of(Keys.cut(source, LONGEST_SOURCE), Keys.whole(id));
    }

    /** The source and the id, or any other number of texts where another release made the key. */
    static List<String> parts(String key) {
        return Keys.parts(key);
    }

    Listed heardAt(double time) {
        return new Listed(revision, state, nodeStart, primary, zone, group, host, port, time);
    }

    /** The list of that revision does not have it any more. */
    Listed gone(long later, double now) {
        return new Listed(later, State.GONE, nodeStart, false, zone, group, host, port, now);
    }

    /** It gets nothing new. */
    public boolean closed() {
        return state != State.READY;
    }

    /** Whether it says the same of the node, in whichever revision. */
    boolean saysAs(Listed other) {
        return other != null
                && equals(new Listed(
                        revision,
                        other.state,
                        other.nodeStart,
                        other.primary,
                        other.zone,
                        other.group,
                        other.host,
                        other.port,
                        at));
    }
}
