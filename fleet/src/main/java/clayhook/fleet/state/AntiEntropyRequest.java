package clayhook.fleet.state;

import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
import java.util.Arrays;
import java.util.List;

/**
 * A request of an anti-entropy session. The responder keeps nothing of a session, so a request says all that its
 * response depends on, and may be repeated.
 */
sealed interface AntiEntropyRequest extends StateMessage {
    /** Identifies the session; chosen at random by the requester, never 0. */
    long sessionId();

    /** Identifies the request within its session. */
    int requestId();

    private static int readRequestId(FieldReader in) {
        return in.readIntBelow(Integer.MAX_VALUE);
    }

    /**
     * Asks up to which update the responder has those members' updates.
     *
     * @param originIds of the members, at most {@link #MAX_REQUESTED_ORIGINS}
     */
    record VersionVectorRequest(long sessionId, int requestId, List<Long> originIds) implements AntiEntropyRequest {
        static final int TYPE_NUMBER = 22;
        /** The response fits into a packet whatever its numbers are. */
        static final int MAX_REQUESTED_ORIGINS = 40;

        @Override
        public int typeNumber() {
            return TYPE_NUMBER;
        }

        @Override
        public int maxEncodedBytes() {
            return EncodedSizes.HEADER_BYTES + EncodedSizes.NUMBER_BYTES * originIds.size();
        }

        @Override
        public void write(FieldWriter out) {
            out.writeLong(sessionId).writeLong(requestId);
            StateMessage.writeLongs(originIds.stream().mapToLong(Long::longValue), out);
        }

        static VersionVectorRequest read(FieldReader in) {
            return new VersionVectorRequest(
                    in.readLong(),
                    readRequestId(in),
                    Arrays.stream(in.readLongs(MAX_REQUESTED_ORIGINS)).boxed().toList());
        }
    }

    /**
     * Asks for the responder's root digests.
     *
     * @param roots the requester's own, whose cut-offs and floors the responder adopts
     */
    record RootDigestsRequest(long sessionId, int requestId, List<RootDigest> roots) implements AntiEntropyRequest {
        static final int TYPE_NUMBER = 23;

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
            out.writeLong(sessionId).writeLong(requestId);
            RootDigest.writeList(roots, out);
        }

        static RootDigestsRequest read(FieldReader in) {
            return new RootDigestsRequest(in.readLong(), readRequestId(in), RootDigest.readList(in));
        }
    }

    /**
     * Asks for the digests of the children of one node of a type's hash tree.
     *
     * @param replicatedType number of the type
     * @param digestCutoff the requester's cut-off, which the responder adopts if it is the later one
     * @param level of the node; 0 is the root, and leaves have no children
     * @param index of the node within its level
     */
    record TreeNodeRequest(long sessionId, int requestId, int replicatedType, double digestCutoff, int level, int index)
            implements AntiEntropyRequest {
        static final int TYPE_NUMBER = 25;

        @Override
        public int typeNumber() {
            return TYPE_NUMBER;
        }

        @Override
        public int maxEncodedBytes() {
            return EncodedSizes.HEADER_BYTES;
        }

        @Override
        public void write(FieldWriter out) {
            out.writeLong(sessionId)
                    .writeLong(requestId)
                    .writeLong(replicatedType)
                    .writeDouble(digestCutoff)
                    .writeLong(level)
                    .writeLong(index);
        }

        static TreeNodeRequest read(FieldReader in) {
            long sessionId = in.readLong();
            int requestId = readRequestId(in);
            int replicatedType = in.readIntBelow(REPLICATED_TYPE_LIMIT);
            double digestCutoff = in.readDouble();
            int level = in.readIntBelow(HashTree.LEAF_LEVEL);
            int index = in.readIntBelow(HashTree.nodeCount(level));
            return new TreeNodeRequest(sessionId, requestId, replicatedType, digestCutoff, level, index);
        }
    }

    /**
     * Asks for the entries of a range of key hashes that the requester lacks.
     *
     * @param replicatedType number of the type
     * @param firstHash lowest key hash of the range, as an unsigned number
     * @param lastHash highest key hash of the range, as an unsigned number
     * @param fingerprints of the entries that the requester has in the range, at most {@link #MAX_FINGERPRINTS}
     */
    record RangeRequest(
            long sessionId,
            int requestId,
            int replicatedType,
            long firstHash,
            long lastHash,
            List<Integer> fingerprints)
            implements AntiEntropyRequest {
        static final int TYPE_NUMBER = 27;
        /** The response has a bit for each of them in one signed 64-bit integer. */
        static final int MAX_FINGERPRINTS = 62;

        @Override
        public int typeNumber() {
            return TYPE_NUMBER;
        }

        @Override
        public int maxEncodedBytes() {
            return EncodedSizes.HEADER_BYTES + EncodedSizes.FINGERPRINT_BYTES * fingerprints.size();
        }

        @Override
        public void write(FieldWriter out) {
            out.writeLong(sessionId)
                    .writeLong(requestId)
                    .writeLong(replicatedType)
                    .writeLong(firstHash)
                    .writeLong(lastHash);
            StateMessage.writeLongs(fingerprints.stream().mapToLong(Integer::longValue), out);
        }

        static RangeRequest read(FieldReader in) {
            return new RangeRequest(
                    in.readLong(),
                    readRequestId(in),
                    in.readIntBelow(REPLICATED_TYPE_LIMIT),
                    in.readLong(),
                    in.readLong(),
                    Arrays.stream(in.readLongs(MAX_FINGERPRINTS))
                            .mapToObj(fingerprint -> (int) fingerprint)
                            .toList());
        }
    }
}
