package clayhook.fleet.state;

import clayhook.fleet.Member;
import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;

/** Hashes that are the same at all routers, and what a key may be. */
final class StableHash {
    private static final Hasher64 HASHER = Hashing.komihash5_0();

    private StableHash() {}

    static long ofKey(String key) {
        return HASHER.hashCharsToLong(key);
    }

    /** Of one entry; what digests are made of. */
    static long ofEntry(long key, byte[] value) {
        return HASHER.hashLongLongToLong(key, HASHER.hashBytesToLong(value));
    }

    /** Of a mark, for one walk; what two marks have in common by chance they don't have in common in the next walk. */
    static int fingerprint(long mark, long walk) {
        return (int) HASHER.hashLongLongToLong(mark, walk);
    }

    /** Stands for a life of a router on the wire. */
    static long ofMember(Member member) {
        return HASHER.hashLongLongToLong(HASHER.hashCharsToLong(member.name()), member.incarnation());
    }

    /** Bytes of the key in UTF-8; negative for an empty key and for what is no text. */
    static int utf8Length(String key) {
        int bytes = key.isEmpty() ? -1 : 0;
        for (int i = 0; i < key.length(); i++) {
            char c = key.charAt(i);
            if (!Character.isSurrogate(c)) {
                bytes += c < 0x80 ? 1 : c < 0x800 ? 2 : 3;
            } else if (Character.isHighSurrogate(c)
                    && i + 1 < key.length()
                    && Character.isLowSurrogate(key.charAt(i + 1))) {
                bytes += 4;
                i++;
            } else {
                return -1;
            }
        }
        return bytes;
    }
}
