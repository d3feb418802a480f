package clayhook.fleet.state;

import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
import java.util.List;
import java.util.stream.IntStream;

/**
 * The response to an {@link AntiEntropyRequest}. It repeats the identifiers of its request and can be applied by
 * itself, however late it arrives. Two of these messages are also sent unasked, with the session id
 * {@link #NO_SESSION}.
 */
sealed interface AntiEntropyResponse extends StateMessage {
    /** The session id of a message that answers no request. */
    long NO_SESSION = 0;

    /** The session that asked, or {@link #NO_SESSION}. */
    long sessionId();

    /** The request of that session. */
    int requestId();

    private static int readRequestId(FieldReader in) {
        return in.readIntBelow(Integer.MAX_VALUE);
    }

    /**
     * Up to which update the sender has the updates of each of those members. Unasked, it gossips a part of the
     * sender's version vector.
     *
     * @param now seconds since 1970 on the sender's clock; the times of the versions are written relative to it
     */
    record VersionVectorUpdate(long sessionId, int requestId, double now, List<OriginVersion> versions)
            implements AntiEntropyResponse {
        static final int TYPE_NUMBER = 21;

        /** A part of the sender's version vector that nobody asked for. */
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
     * The responder's root digests, of the types that both replicas hold.
     *
     * @param bootstrapped whether the responder's own replica is complete
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
     * @param digestCutoff of the responder, as of now
     * @param evictionFloor of the responder, as of now: entries evicted since the request are at or below it
     * @param children the {@link HashTree#FANOUT} children in order
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

        /** The children are written as one list of sums and one of counts. */
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
                throw new IllegalArgumentException("a tree node has " + HashTree.FANOUT + " children, not "
                        + hashSums.length + " sums and " + entryCounts.length + " counts");
            }
            return IntStream.range(0, HashTree.FANOUT)
                    .mapToObj(child -> new ChildDigest(hashSums[child], entryCounts[child]))
                    .toList();
        }
    }

    /** The sum of the hashes and the number of the entries in the range of a tree node. */
    record ChildDigest(long hashSum, long entryCount) {}

    /**
     * Entries of a range of key hashes. Unasked, it pushes entries that the receiver was seen to lack.
     *
     * @param replicatedType number of the type
     * @param evictionFloor as in {@link TreeNodeResponse}
     * @param coveredTo the entries are all that were asked for up to this key hash, as an unsigned number
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

        /** Entries that nobody asked for. */
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

    /** An entry of the type that its message names. */
    @SuppressWarnings("ArrayRecordComponent") // the encoded value is never changed, and entries are never compared
    record RangeEntry(String key, byte[] value) {
        /** Upper bound of the bytes that the entry takes in a message. */
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
