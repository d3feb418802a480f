package clayhook.fleet.state;

import clayhook.fleet.Member;
import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;

/** Hashes that are sent in messages and therefore must be the same in all routers and releases. */
final class StableHash {
    private static final Hasher64 HASHER = Hashing.komihash5_0();

    private StableHash() {}

    /** Returns the hash of a key, which determines the position of its entry in the hash tree. */
    static long ofKey(String key) {
        return HASHER.hashCharsToLong(key);
    }

    /** Returns the hash of an entry; digests are sums of these hashes. */
    static long ofEntry(long keyHash, byte[] encodedValue) {
        return HASHER.hashLongLongToLong(keyHash, HASHER.hashBytesToLong(encodedValue));
    }

    /**
     * Returns a fingerprint of an entry: its hash, salted with the session id and shortened to 32 bits. Due to the
     * salt, entries whose fingerprints collide in one session most likely differ in the next one.
     */
    static int fingerprint(long entryHash, long sessionId) {
        return (int) HASHER.hashLongLongToLong(entryHash, sessionId);
    }

    /** Returns the hash that identifies one incarnation of a member, its origin id. */
    static long ofMember(Member member) {
        return HASHER.hashLongLongToLong(HASHER.hashCharsToLong(member.name()), member.incarnation());
    }
}
