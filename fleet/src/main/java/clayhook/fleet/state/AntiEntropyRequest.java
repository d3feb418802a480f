package clayhook.fleet.state;

import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
import java.util.Arrays;
import java.util.List;

/**
 * A request of an anti-entropy session. The responder keeps no session state: a request contains all parameters of its
 * response and can be retransmitted safely.
 */
sealed interface AntiEntropyRequest extends StateMessage {
    /** The identifier of the session; chosen at random by the requester, never 0. */
    long sessionId();

    /** The identifier of the request within its session. */
    int requestId();

    private static int readRequestId(FieldReader in) {
        return in.readIntBelow(Integer.MAX_VALUE);
    }

    /**
     * Requests the responder's version vector entries of the given origins.
     *
     * @param originIds origin ids, see {@link StableHash#ofMember}; at most {@link #MAX_REQUESTED_ORIGINS}
     */
    record VersionVectorRequest(long sessionId, int requestId, List<Long> originIds) implements AntiEntropyRequest {
        static final int TYPE_NUMBER = 22;
        /**
         * Maximum number of origins in a request; limits the response to one packet even if each of its numbers has the
         * maximum encoded size.
         */
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
     * Requests the responder's root digests.
     *
     * @param roots the requester's root digests; the responder adopts their cut-offs and eviction floors if higher and
     *     plausible
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
     * Requests the digests of the children of one node of a replicated type's hash tree.
     *
     * @param replicatedType number of the type
     * @param digestCutoff the requester's digest cut-off, which the responder adopts if it is later than its own and
     *     plausible
     * @param level level of the node; 0 is the root, and leaves are excluded since they have no children
     * @param index index of the node within its level
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
     * Requests the entries in a range of key hashes that the requester does not have.
     *
     * @param replicatedType number of the type
     * @param firstHash lowest key hash of the range, as an unsigned number
     * @param lastHash highest key hash of the range, as an unsigned number
     * @param fingerprints fingerprints of the entries that the requester has in the range, at most
     *     {@link #MAX_FINGERPRINTS}
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
        /**
         * Maximum number of fingerprints in a request; the response has one bit for each in a signed 64-bit integer.
         */
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
