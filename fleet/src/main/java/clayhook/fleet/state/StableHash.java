package clayhook.fleet.state;

import clayhook.fleet.Member;
import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;

/** Hashes that travel in messages, so they must be the same in all routers and releases. */
final class StableHash {
    private static final Hasher64 HASHER = Hashing.komihash5_0();

    private StableHash() {}

    /** The hash by which an entry is placed in the hash tree. */
    static long ofKey(String key) {
        return HASHER.hashCharsToLong(key);
    }

    /** The hash of an entry, of which digests are sums. */
    static long ofEntry(long keyHash, byte[] encodedValue) {
        return HASHER.hashLongLongToLong(keyHash, HASHER.hashBytesToLong(encodedValue));
    }

    /**
     * A short form of an entry's hash, salted by the session: two entries whose fingerprints collide in one session
     * differ in the next.
     */
    static int fingerprint(long entryHash, long sessionId) {
        return (int) HASHER.hashLongLongToLong(entryHash, sessionId);
    }

    /** The hash that stands for one incarnation of a member. */
    static long ofMember(Member member) {
        return HASHER.hashLongLongToLong(HASHER.hashCharsToLong(member.name()), member.incarnation());
    }
}
