package clayhook.fleet.members;

import clayhook.fleet.Peer;
import com.dynatrace.hash4j.hashing.Hashing;

/**
 * Digests of a membership table, updated incrementally: one of the whole table and one of each bucket of names. Equal
 * sets of live members with equal refutation counts have equal digests, whatever the order of the updates. Not
 * thread-safe.
 */
final class TableDigest {
    private static final int BUCKET_BITS = 8;
    /** Buckets by hash of the name; their digests fill most of a packet. */
    static final int BUCKETS = 1 << BUCKET_BITS;

    private final int[] bucketDigests = new int[BUCKETS];
    private long total;

    /** Returns the hash that a live member adds to the digests. */
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

    /** Returns the bucket of a name by its position on the ring. */
    static int bucketOf(long ringPosition) {
        return (int) (ringPosition >>> (Long.SIZE - BUCKET_BITS));
    }

    /** Replaces what a name contributes; 0 stands for no contribution. */
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

    /** Whether a digest of that name's bucket differs from this one. */
    boolean differs(long ringPosition, int[] otherBucketDigests) {
        int bucket = bucketOf(ringPosition);
        return otherBucketDigests[bucket] != bucketDigests[bucket];
    }
}
