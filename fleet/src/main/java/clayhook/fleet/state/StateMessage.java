package clayhook.fleet.state;

import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
import clayhook.fleet.Message;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * What copies tell and ask each other: parts 20 to 28. A question carries the number of its walk and its own; the
 * answer repeats both, and makes sense by itself whenever it comes.
 */
sealed interface StateMessage extends Message {
    /** Marks on an entry told as news; with more the oldest are dropped. */
    int MAX_UPDATES_PER_DELTA = 8;
    /** Bytes that an entry takes in a part beside key, value and tags, at most. */
    int ENTRY_OVERHEAD_BYTES = 13;
    /** Bytes that a tag or a pair of numbers takes at most. */
    int NUMBER_PAIR_BYTES = 18;
    /** Bytes that the root of a kind takes. */
    int ROOT_DIGEST_BYTES = 31;
    /** Bytes of a part beside its entries, at most. */
    int HEADER_BYTES = 72;
    /** Entries in a part; more than fit. */
    int MAX_ENTRIES = 256;
    /** Members asked about in one question; the answer fits whatever their numbers are. */
    int MAX_REQUESTED_ORIGINS = 40;
    /** Entries told in brief in one question, a bit of the answer for each. */
    int MAX_FINGERPRINTS = 62;
    /** Kinds of values, on the wire a number below that. */
    int REPLICATED_TYPE_LIMIT = 256;

    /** @param tags for each member whose putting-in this value holds: its id, and its number of that */
    record DeltaEntry(int replicatedType, String key, byte[] value, long[] updateIds) {
        int maxEncodedBytes() {
            return ENTRY_OVERHEAD_BYTES
                    + StableHash.utf8Length(key)
                    + value.length
                    + NUMBER_PAIR_BYTES / 2 * updateIds.length;
        }

        private void write(FieldWriter out) {
            out.beginList().writeLong(replicatedType).writeNullableString(key).writeBytes(value);
            writeLongs(updateIds, out);
            out.endList();
        }

        private static DeltaEntry read(FieldReader in) {
            return new DeltaEntry(
                    in.readIntBelow(REPLICATED_TYPE_LIMIT),
                    in.readNonEmptyString(),
                    in.readBytes(),
                    in.readLongs(2 * MAX_UPDATES_PER_DELTA));
        }
    }

    /** An entry in a comparison, of a kind named beside it. */
    record RangeEntry(String key, byte[] value) {
        int maxEncodedBytes() {
            return ENTRY_OVERHEAD_BYTES + StableHash.utf8Length(key) + value.length;
        }
    }

    /** A member, how many times it had put something in, and when that was so there. */
    record OriginVersion(long originId, long sequence, double asOf) {}

    /** Where one kind stands: what is left out for its age, the floor, and the sum of the rest. */
    record RootDigest(int replicatedType, double cutoff, double evictionFloor, long hashSum) {}

    /**
     * What has changed.
     *
     * @param count of the sender
     * @param asOf its clock as it wrote this
     */
    record DeltaBroadcast(long sequence, double asOf, List<DeltaEntry> entries) implements StateMessage {
        static final int TYPE_NUMBER = 20;

        @Override
        public int typeNumber() {
            return TYPE_NUMBER;
        }

        @Override
        public void write(FieldWriter out) {
            out.writeLong(sequence).writeDouble(asOf).beginList();
            entries.forEach(told -> told.write(out));
            out.endList();
        }

        private static DeltaBroadcast read(FieldReader in) {
            return new DeltaBroadcast(in.readLong(), in.readDouble(), in.readLists(MAX_ENTRIES, DeltaEntry::read));
        }
    }

    /** How far the sender has all that each of those members put in. Walk 0: unasked. */
    record VersionVectorUpdate(long sessionId, int requestId, double now, List<OriginVersion> versions)
            implements StateMessage {
        static final int TYPE_NUMBER = 21;
        private static final double MILLIS_PER_SECOND = 1000;

        @Override
        public int typeNumber() {
            return TYPE_NUMBER;
        }

        /** Times are written as whole milliseconds before {@code now}, rounded to the older side. */
        @Override
        public void write(FieldWriter out) {
            out.writeLong(sessionId).writeLong(requestId).writeDouble(now).beginList();
            for (OriginVersion pair : versions) {
                out.beginList()
                        .writeLong(pair.originId)
                        .writeLong(pair.sequence)
                        .writeLong(ageMillis(pair))
                        .endList();
            }
            out.endList();
        }

        private long ageMillis(OriginVersion pair) {
            return (long) Math.ceil((now - pair.asOf) * MILLIS_PER_SECOND);
        }

        private static VersionVectorUpdate read(FieldReader in) {
            long walk = in.readLong();
            int ask = in.readIntBelow(Integer.MAX_VALUE);
            double now = in.readDouble();
            return new VersionVectorUpdate(
                    walk,
                    ask,
                    now,
                    in.readLists(
                            MAX_ENTRIES,
                            each -> new OriginVersion(
                                    each.readLong(), each.readLong(), now - each.readLong() / MILLIS_PER_SECOND)));
        }
    }

    /** How far do you have what those put in? */
    record VersionVectorRequest(long sessionId, int requestId, long[] originIds) implements StateMessage {
        static final int TYPE_NUMBER = 22;

        @Override
        public int typeNumber() {
            return TYPE_NUMBER;
        }

        @Override
        public void write(FieldWriter out) {
            out.writeLong(sessionId).writeLong(requestId);
            writeLongs(originIds, out);
        }

        private static VersionVectorRequest read(FieldReader in) {
            return new VersionVectorRequest(
                    in.readLong(), in.readIntBelow(Integer.MAX_VALUE), in.readLongs(MAX_REQUESTED_ORIGINS));
        }
    }

    /** Are we alike? */
    record RootDigestsRequest(long sessionId, int requestId, List<RootDigest> roots) implements StateMessage {
        static final int TYPE_NUMBER = 23;

        @Override
        public int typeNumber() {
            return TYPE_NUMBER;
        }

        @Override
        public void write(FieldWriter out) {
            out.writeLong(sessionId).writeLong(requestId);
            writeRootDigests(roots, out);
        }

        private static RootDigestsRequest read(FieldReader in) {
            return new RootDigestsRequest(
                    in.readLong(),
                    in.readIntBelow(Integer.MAX_VALUE),
                    in.readLists(REPLICATED_TYPE_LIMIT, StateMessage::readRootDigest));
        }
    }

    /** @param whole the sender was brought up itself */
    record RootDigestsResponse(long sessionId, int requestId, boolean bootstrapped, List<RootDigest> roots)
            implements StateMessage {
        static final int TYPE_NUMBER = 24;

        @Override
        public int typeNumber() {
            return TYPE_NUMBER;
        }

        @Override
        public void write(FieldWriter out) {
            out.writeLong(sessionId).writeLong(requestId).writeBoolean(bootstrapped);
            writeRootDigests(roots, out);
        }

        private static RootDigestsResponse read(FieldReader in) {
            return new RootDigestsResponse(
                    in.readLong(),
                    in.readIntBelow(Integer.MAX_VALUE),
                    in.readBoolean(),
                    in.readLists(REPLICATED_TYPE_LIMIT, StateMessage::readRootDigest));
        }
    }

    /** What are the ranges within that range? */
    record TreeNodeRequest(long sessionId, int requestId, int replicatedType, double cutoff, int level, int index)
            implements StateMessage {
        static final int TYPE_NUMBER = 25;

        @Override
        public int typeNumber() {
            return TYPE_NUMBER;
        }

        @Override
        public void write(FieldWriter out) {
            out.writeLong(sessionId)
                    .writeLong(requestId)
                    .writeLong(replicatedType)
                    .writeDouble(cutoff)
                    .writeLong(level)
                    .writeLong(index);
        }

        private static TreeNodeRequest read(FieldReader in) {
            long walk = in.readLong();
            int ask = in.readIntBelow(Integer.MAX_VALUE);
            int kind = in.readIntBelow(REPLICATED_TYPE_LIMIT);
            double cutoff = in.readDouble();
            int level = in.readIntBelow(HashTree.LEAF_LEVEL);
            return new TreeNodeRequest(walk, ask, kind, cutoff, level, in.readIntBelow(HashTree.nodeCount(level)));
        }
    }

    /** @param floor as of now: what is not among the entries any more is at or below it */
    record TreeNodeResponse(
            long sessionId, int requestId, double cutoff, double evictionFloor, long[] hashSums, long[] entryCounts)
            implements StateMessage {
        static final int TYPE_NUMBER = 26;

        @Override
        public int typeNumber() {
            return TYPE_NUMBER;
        }

        @Override
        public void write(FieldWriter out) {
            out.writeLong(sessionId).writeLong(requestId).writeDouble(cutoff).writeDouble(evictionFloor);
            writeLongs(hashSums, out);
            writeLongs(entryCounts, out);
        }

        private static TreeNodeResponse read(FieldReader in) {
            var node = new TreeNodeResponse(
                    in.readLong(),
                    in.readIntBelow(Integer.MAX_VALUE),
                    in.readDouble(),
                    in.readDouble(),
                    in.readLongs(HashTree.FANOUT),
                    in.readLongs(HashTree.FANOUT));
            if (node.hashSums.length != HashTree.FANOUT || node.entryCounts.length != HashTree.FANOUT) {
                throw new IllegalArgumentException("a node of " + node.hashSums.length + " ranges");
            }
            return node;
        }
    }

    /** What is there from hash to hash, but for what I have? */
    record RangeRequest(
            long sessionId, int requestId, int replicatedType, long firstHash, long lastHash, long[] fingerprints)
            implements StateMessage {
        static final int TYPE_NUMBER = 27;

        @Override
        public int typeNumber() {
            return TYPE_NUMBER;
        }

        @Override
        public void write(FieldWriter out) {
            out.writeLong(sessionId)
                    .writeLong(requestId)
                    .writeLong(replicatedType)
                    .writeLong(firstHash)
                    .writeLong(lastHash);
            writeLongs(fingerprints, out);
        }

        private static RangeRequest read(FieldReader in) {
            return new RangeRequest(
                    in.readLong(),
                    in.readIntBelow(Integer.MAX_VALUE),
                    in.readIntBelow(REPLICATED_TYPE_LIMIT),
                    in.readLong(),
                    in.readLong(),
                    in.readLongs(MAX_FINGERPRINTS));
        }
    }

    /**
     * Entries; walk 0: what the other was seen to lack.
     *
     * @param floor as in {@link TreeNodeResponse}
     * @param upTo hash up to which these are all that were asked for
     * @param had a bit for each entry told in brief that is here too
     */
    record RangeEntries(
            long sessionId,
            int requestId,
            int replicatedType,
            double evictionFloor,
            long coveredTo,
            long presentMask,
            List<RangeEntry> entries)
            implements StateMessage {
        static final int TYPE_NUMBER = 28;

        @Override
        public int typeNumber() {
            return TYPE_NUMBER;
        }

        @Override
        public void write(FieldWriter out) {
            out.writeLong(sessionId)
                    .writeLong(requestId)
                    .writeLong(replicatedType)
                    .writeDouble(evictionFloor)
                    .writeLong(coveredTo)
                    .writeLong(presentMask)
                    .beginList();
            entries.forEach(entry -> out.beginList()
                    .writeNullableString(entry.key)
                    .writeBytes(entry.value)
                    .endList());
            out.endList();
        }

        private static RangeEntries read(FieldReader in) {
            return new RangeEntries(
                    in.readLong(),
                    in.readIntBelow(Integer.MAX_VALUE),
                    in.readIntBelow(REPLICATED_TYPE_LIMIT),
                    in.readDouble(),
                    in.readLong(),
                    in.readLong(),
                    in.readLists(MAX_ENTRIES, each -> new RangeEntry(each.readNonEmptyString(), each.readBytes())));
        }
    }

    /** How each of them is read. */
    static Map<Integer, Function<FieldReader, ? extends Message>> messageReaders() {
        return Map.of(
                DeltaBroadcast.TYPE_NUMBER,
                DeltaBroadcast::read,
                VersionVectorUpdate.TYPE_NUMBER,
                VersionVectorUpdate::read,
                VersionVectorRequest.TYPE_NUMBER,
                VersionVectorRequest::read,
                RootDigestsRequest.TYPE_NUMBER,
                RootDigestsRequest::read,
                RootDigestsResponse.TYPE_NUMBER,
                RootDigestsResponse::read,
                TreeNodeRequest.TYPE_NUMBER,
                TreeNodeRequest::read,
                TreeNodeResponse.TYPE_NUMBER,
                TreeNodeResponse::read,
                RangeRequest.TYPE_NUMBER,
                RangeRequest::read,
                RangeEntries.TYPE_NUMBER,
                RangeEntries::read);
    }

    private static void writeLongs(long[] values, FieldWriter out) {
        out.beginList();
        for (long value : values) {
            out.writeLong(value);
        }
        out.endList();
    }

    private static void writeRootDigests(List<RootDigest> roots, FieldWriter out) {
        out.beginList();
        roots.forEach(root -> out.beginList()
                .writeLong(root.replicatedType)
                .writeDouble(root.cutoff)
                .writeDouble(root.evictionFloor)
                .writeLong(root.hashSum)
                .endList());
        out.endList();
    }

    private static RootDigest readRootDigest(FieldReader in) {
        return new RootDigest(in.readIntBelow(REPLICATED_TYPE_LIMIT), in.readDouble(), in.readDouble(), in.readLong());
    }
}
