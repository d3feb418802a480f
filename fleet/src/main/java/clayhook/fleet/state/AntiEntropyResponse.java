package clayhook.fleet.state;

import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
import java.util.List;
import java.util.stream.IntStream;

/**
 * A response to an {@link AntiEntropyRequest}. It repeats the identifiers of its request and can be applied
 * independently of the session and at any later time. {@link VersionVectorUpdate} and {@link RangeEntries} are also
 * sent without a request, with the session id {@link #NO_SESSION}.
 */
sealed interface AntiEntropyResponse extends StateMessage {
    /** The session id of a message that does not answer a request. */
    long NO_SESSION = 0;

    /** The session id of the request, or {@link #NO_SESSION}. */
    long sessionId();

    /** The identifier of the request within its session. */
    int requestId();

    private static int readRequestId(FieldReader in) {
        return in.readIntBelow(Integer.MAX_VALUE);
    }

    /**
     * Entries of the sender's version vector. Sent without a request, it gossips a part of the version vector.
     *
     * @param now seconds since 1970 on the sender's clock; the times of the versions are written relative to it
     */
    record VersionVectorUpdate(long sessionId, int requestId, double now, List<OriginVersion> versions)
            implements AntiEntropyResponse {
        static final int TYPE_NUMBER = 21;

        /** Creates an update that does not answer a request. */
        static VersionVectorUpdate unsolicited(double now, List<OriginVersion> versions) {
            return new VersionVectorUpdate(NO_SESSION, 0, now, versions);
        }

        @Override
        public int typeNumber() {
            return TYPE_NUMBER;
        }

        @Override
        public int maxEncodedBytes() {
            return EncodedSizes.HEADER_BYTES + EncodedSizes.NUMBER_PAIR_BYTES * versions.size();
        }

        @Override
        public void write(FieldWriter out) {
            out.writeLong(sessionId).writeLong(requestId).writeDouble(now).beginList();
            versions.forEach(version -> version.write(now, out));
            out.endList();
        }

        static VersionVectorUpdate read(FieldReader in) {
            long sessionId = in.readLong();
            int requestId = readRequestId(in);
            double now = in.readDouble();
            List<OriginVersion> versions = in.readLists(MAX_ENTRIES, each -> OriginVersion.read(now, each));
            return new VersionVectorUpdate(sessionId, requestId, now, versions);
        }
    }

    /**
     * The responder's root digests of the replicated types that both replicas have.
     *
     * @param bootstrapped whether the responder's replica is bootstrapped
     */
    record RootDigestsResponse(long sessionId, int requestId, boolean bootstrapped, List<RootDigest> roots)
            implements AntiEntropyResponse {
        static final int TYPE_NUMBER = 24;

        @Override
        public int typeNumber() {
            return TYPE_NUMBER;
        }

        @Override
        public int maxEncodedBytes() {
            return EncodedSizes.HEADER_BYTES + EncodedSizes.ROOT_DIGEST_BYTES * roots.size();
        }

        @Override
        public void write(FieldWriter out) {
            out.writeLong(sessionId).writeLong(requestId).writeBoolean(bootstrapped);
            RootDigest.writeList(roots, out);
        }

        static RootDigestsResponse read(FieldReader in) {
            return new RootDigestsResponse(in.readLong(), readRequestId(in), in.readBoolean(), RootDigest.readList(in));
        }
    }

    /**
     * The digests of the children of one node of the responder's hash tree.
     *
     * @param digestCutoff the responder's digest cut-off at the time of the response
     * @param evictionFloor the responder's eviction floor at the time of the response; entries evicted since the
     *     request are at or below it
     * @param children the {@link HashTree#FANOUT} children in the order of their indexes
     */
    record TreeNodeResponse(
            long sessionId, int requestId, double digestCutoff, double evictionFloor, List<ChildDigest> children)
            implements AntiEntropyResponse {
        static final int TYPE_NUMBER = 26;

        @Override
        public int typeNumber() {
            return TYPE_NUMBER;
        }

        @Override
        public int maxEncodedBytes() {
            return EncodedSizes.HEADER_BYTES + EncodedSizes.TREE_CHILD_BYTES * HashTree.FANOUT;
        }

        /** Writes the children as one list of hash sums and one list of entry counts. */
        @Override
        public void write(FieldWriter out) {
            out.writeLong(sessionId)
                    .writeLong(requestId)
                    .writeDouble(digestCutoff)
                    .writeDouble(evictionFloor);
            StateMessage.writeLongs(children.stream().mapToLong(ChildDigest::hashSum), out);
            StateMessage.writeLongs(children.stream().mapToLong(ChildDigest::entryCount), out);
        }

        static TreeNodeResponse read(FieldReader in) {
            return new TreeNodeResponse(
                    in.readLong(), readRequestId(in), in.readDouble(), in.readDouble(), readChildren(in));
        }

        private static List<ChildDigest> readChildren(FieldReader in) {
            long[] hashSums = in.readLongs(HashTree.FANOUT);
            long[] entryCounts = in.readLongs(HashTree.FANOUT);
            if (hashSums.length != HashTree.FANOUT || entryCounts.length != HashTree.FANOUT) {
                throw new IllegalArgumentException(
                        "expected " + HashTree.FANOUT + " hash sums and as many entry counts of a tree node, got "
                                + hashSums.length + " and " + entryCounts.length);
            }
            return IntStream.range(0, HashTree.FANOUT)
                    .mapToObj(child -> new ChildDigest(hashSums[child], entryCounts[child]))
                    .toList();
        }
    }

    /** The sum of the entry hashes and the number of entries in the range of a tree node. */
    record ChildDigest(long hashSum, long entryCount) {}

    /**
     * Entries in a range of key hashes. Sent without a request, it pushes entries that the receiver was found to lack.
     *
     * @param replicatedType number of the type
     * @param evictionFloor the responder's eviction floor at the time of the response
     * @param coveredTo key hash, as an unsigned number, up to which the response contains all requested entries
     * @param presentMask bit i is set if the responder has the entry of the request's fingerprint i
     */
    record RangeEntries(
            long sessionId,
            int requestId,
            int replicatedType,
            double evictionFloor,
            long coveredTo,
            long presentMask,
            List<RangeEntry> entries)
            implements AntiEntropyResponse {
        static final int TYPE_NUMBER = 28;

        /** Creates a message that pushes entries without a request. */
        static RangeEntries unsolicited(int replicatedType, double evictionFloor, List<RangeEntry> entries) {
            return new RangeEntries(NO_SESSION, 0, replicatedType, evictionFloor, 0, 0, entries);
        }

        @Override
        public int typeNumber() {
            return TYPE_NUMBER;
        }

        @Override
        public int maxEncodedBytes() {
            return EncodedSizes.HEADER_BYTES
                    + entries.stream().mapToInt(RangeEntry::maxEncodedBytes).sum();
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
            entries.forEach(entry -> entry.write(out));
            out.endList();
        }

        static RangeEntries read(FieldReader in) {
            return new RangeEntries(
                    in.readLong(),
                    readRequestId(in),
                    in.readIntBelow(REPLICATED_TYPE_LIMIT),
                    in.readDouble(),
                    in.readLong(),
                    in.readLong(),
                    in.readLists(MAX_ENTRIES, RangeEntry::read));
        }
    }

    /** An entry of the replicated type that the enclosing message names. */
    @SuppressWarnings("ArrayRecordComponent") // the encoded value is never changed, and entries are never compared
    record RangeEntry(String key, byte[] value) {
        /** Returns an upper bound of the encoded size of the entry in a message. */
        int maxEncodedBytes() {
            return EncodedSizes.ENTRY_OVERHEAD_BYTES + EncodedSizes.utf8Length(key) + value.length;
        }

        private void write(FieldWriter out) {
            out.beginList().writeNullableString(key).writeBytes(value).endList();
        }

        private static RangeEntry read(FieldReader in) {
            return new RangeEntry(in.readNonEmptyString(), in.readBytes());
        }
    }
}
