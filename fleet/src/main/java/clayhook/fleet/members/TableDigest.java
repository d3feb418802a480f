package clayhook.fleet.members;

import clayhook.fleet.Peer;
import com.dynatrace.hash4j.hashing.Hashing;

/**
 * Incrementally updated digests of a membership table: one of the whole table and one of each bucket of names. Equal
 * sets of live members with equal refutation counts have equal digests, regardless of the order of the updates. Not
 * thread-safe.
 */
final class TableDigest {
    private static final int BUCKET_BITS = 8;
    /** Number of buckets, to which names are assigned by hash. The digests of all buckets fill most of a packet. */
    static final int BUCKETS = 1 << BUCKET_BITS;

    private final int[] bucketDigests = new int[BUCKETS];
    private long total;

    /** Returns the contribution of a live member to the digests. */
    static long hash(MemberClaim claim) {
        Peer peer = claim.peer();
        return Hashing.komihash5_0()
                .hashStream()
                .putString(peer.member().name())
                .putLong(peer.member().incarnation())
                .putString(peer.address().host())
                .putInt(peer.address().port())
                .putLong(claim.refutationCount())
                .getAsLong();
    }

    /** Returns the bucket of a name with this position on the ring. */
    static int bucketOf(long ringPosition) {
        return (int) (ringPosition >>> (Long.SIZE - BUCKET_BITS));
    }

    /** Replaces the contribution of a name; 0 means no contribution. */
    void replace(long ringPosition, long oldHash, long newHash) {
        long difference = newHash - oldHash;
        bucketDigests[bucketOf(ringPosition)] += (int) difference;
        total += difference;
    }

    long total() {
        return total;
    }

    /** Returns a copy of the digests of all buckets. */
    int[] bucketDigests() {
        return bucketDigests.clone();
    }

    /**
     * Returns whether the digest of this name's bucket differs from the corresponding one in
     * {@code otherBucketDigests}.
     */
    boolean differs(long ringPosition, int[] otherBucketDigests) {
        int bucket = bucketOf(ringPosition);
        return otherBucketDigests[bucket] != bucketDigests[bucket];
    }
}
