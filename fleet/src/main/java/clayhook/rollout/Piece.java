package clayhook.rollout;

import clayhook.fleet.ReplicatedType;
import clayhook.fleet.FieldReader;
import clayhook.fleet.ReplicatedStore;
import clayhook.fleet.FieldWriter;
import com.dynatrace.hash4j.hashing.HashValue128;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Arrays;

/** A part of a text too long for one packet, kept under the hash of the whole, so that the same text is spread once. */
record Piece(byte[] bytes, double at) {
    /** Bytes; with the key it fits a part. */
    private static final int LONGEST = 900;

    /** Texts go as they get old, or as others come: nine of the longest fit. */
    static final ReplicatedType<Piece> KIND = new ReplicatedType<>() {
        @Override
        public int typeNumber() {
            return 11;
        }

        @Override
        public String name() {
            return "rules in pieces";
        }

        @Override
        public Piece merge(Piece a, Piece b) {
            return new Piece(Arrays.compare(a.bytes, b.bytes) <= 0 ? a.bytes : b.bytes, Math.max(a.at, b.at));
        }

        @Override
        public double timestamp(Piece piece) {
            return piece.at;
        }

        @Override
        public double retentionSeconds() {
            return Round.KEEP;
        }

        @Override
        public int maxEntries() {
            return 3072;
        }

        @Override
        public boolean clockDependent() {
            return false;
        }

        @Override
        public void write(Piece piece, FieldWriter out) {
            out.writeBytes(piece.bytes).writeDouble(piece.at);
        }

        @Override
        public Piece read(FieldReader in) {
            byte[] bytes = in.readBytes();
            if (bytes.length > LONGEST) {
                throw new IllegalArgumentException("a piece of " + bytes.length + " bytes");
            }
            return new Piece(bytes, in.readDouble());
        }
    };

    /** The name of bytes, as that of a set of rules. */
    static String hash(byte[] whole) {
        HashValue128 hash = Hashing.murmur3_128().hashBytesTo128Bits(whole);
        return String.format("%016x%016x", hash.getMostSignificantBits(), hash.getLeastSignificantBits());
    }

    /** Spreads bytes. */
    static void put(ReplicatedStore shared, byte[] whole, double at, double now) {
        String hash = hash(whole);
        for (int from = 0; from < whole.length; from += LONGEST) {
            byte[] bytes = Arrays.copyOfRange(whole, from, Math.min(whole.length, from + LONGEST));
            shared.merge(KIND, hash + '/' + from / LONGEST, new Piece(bytes, at), now);
        }
    }

    /** The whole, or null while pieces are missing or do not make what the hash names. */
    static byte[] whole(ReplicatedStore shared, String hash, int length) {
        byte[] whole = new byte[length];
        for (int from = 0; from < length; from += LONGEST) {
            Piece piece = shared.get(KIND, hash + '/' + from / LONGEST);
            if (piece == null || piece.bytes.length != Math.min(LONGEST, length - from)) {
                return null;
            }
            System.arraycopy(piece.bytes, 0, whole, from, piece.bytes.length);
        }
        return hash(whole).equals(hash) ? whole : null;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Piece piece && at == piece.at && Arrays.equals(bytes, piece.bytes);
    }

    @Override
    public int hashCode() {
        return 31 * Arrays.hashCode(bytes) + Double.hashCode(at);
    }
}
