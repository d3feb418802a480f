package clayhook.rollout;

import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
import clayhook.fleet.ReplicatedStore;
import clayhook.fleet.ReplicatedType;
import com.dynatrace.hash4j.hashing.HashValue128;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Arrays;

/** A part of a text too long for one packet, kept under the hash of the whole, so that the same text is spread once. */
record TextChunk(byte[] bytes, double retainedFrom) {
    /** Bytes; with the key it fits a part. */
    private static final int MAX_BYTES = 900;

    /** Texts go as they get old, or as others come: nine of the longest fit. */
    static final ReplicatedType<TextChunk> TYPE = new ReplicatedType<>() {
        @Override
        public int typeNumber() {
            return 11;
        }

        @Override
        public String name() {
            return "rules in pieces";
        }

        @Override
        public TextChunk merge(TextChunk a, TextChunk b) {
            return new TextChunk(
                    Arrays.compare(a.bytes, b.bytes) <= 0 ? a.bytes : b.bytes,
                    Math.max(a.retainedFrom, b.retainedFrom));
        }

        @Override
        public double timestamp(TextChunk piece) {
            return piece.retainedFrom;
        }

        @Override
        public double retentionSeconds() {
            return RolloutProgress.RETENTION_SECONDS;
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
        public void write(TextChunk piece, FieldWriter out) {
            out.writeBytes(piece.bytes).writeDouble(piece.retainedFrom);
        }

        @Override
        public TextChunk read(FieldReader in) {
            byte[] bytes = in.readBytes();
            if (bytes.length > MAX_BYTES) {
                throw new IllegalArgumentException("a piece of " + bytes.length + " bytes");
            }
            return new TextChunk(bytes, in.readDouble());
        }
    };

    /** The name of bytes, as that of a set of rules. */
    static String contentHash(byte[] whole) {
        HashValue128 hash = Hashing.murmur3_128().hashBytesTo128Bits(whole);
        return String.format("%016x%016x", hash.getMostSignificantBits(), hash.getLeastSignificantBits());
    }

    /** Spreads bytes. */
    static void publish(ReplicatedStore shared, byte[] whole, double at, double now) {
        String hash = contentHash(whole);
        for (int from = 0; from < whole.length; from += MAX_BYTES) {
            byte[] bytes = Arrays.copyOfRange(whole, from, Math.min(whole.length, from + MAX_BYTES));
            shared.merge(TYPE, hash + '/' + from / MAX_BYTES, new TextChunk(bytes, at), now);
        }
    }

    /** The whole, or null while pieces are missing or do not make what the hash names. */
    static byte[] assemble(ReplicatedStore shared, String hash, int length) {
        byte[] whole = new byte[length];
        for (int from = 0; from < length; from += MAX_BYTES) {
            TextChunk piece = shared.get(TYPE, hash + '/' + from / MAX_BYTES);
            if (piece == null || piece.bytes.length != Math.min(MAX_BYTES, length - from)) {
                return null;
            }
            System.arraycopy(piece.bytes, 0, whole, from, piece.bytes.length);
        }
        return contentHash(whole).equals(hash) ? whole : null;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof TextChunk piece
                && retainedFrom == piece.retainedFrom
                && Arrays.equals(bytes, piece.bytes);
    }

    @Override
    public int hashCode() {
        return 31 * Arrays.hashCode(bytes) + Double.hashCode(retainedFrom);
    }
}
