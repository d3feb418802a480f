package clayhook.rollout;

import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
import clayhook.fleet.ReplicatedStore;
import clayhook.fleet.ReplicatedType;
import com.dynatrace.hash4j.hashing.HashValue128;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Arrays;

/**
 * A part of a text that is too long for one message. Chunks are keyed by the hash of the whole text, so that the same
 * text is replicated once. Immutable.
 */
final class TextChunk {
    /** Bytes of a chunk; together with its key it fits in a message. */
    private static final int MAX_BYTES = 900;
    /** Room for nine texts of the longest kind; older ones are evicted. */
    private static final int MAX_ENTRIES = 3072;

    /** Merge and encoding. Chunks under one key are equal but for their retention time, unless a router is at fault. */
    static final ReplicatedType<TextChunk> TYPE = new Type();

    private final byte[] bytes;
    private final double retainedFrom;

    /**
     * Creates a chunk.
     *
     * @param bytes the chunk's part of the text; not copied, so they must not be changed any more
     * @param retainedFrom from when the retention time is counted, in seconds since 1970
     */
    TextChunk(byte[] bytes, double retainedFrom) {
        this.bytes = bytes;
        this.retainedFrom = retainedFrom;
    }

    /** The chunk's part of the text; not a copy, so they must not be changed. */
    byte[] bytes() {
        return bytes;
    }

    /** 128 bits of the content in hexadecimal digits; also the name of a rule set. */
    static String contentHash(byte[] content) {
        HashValue128 hash = Hashing.murmur3_128().hashBytesTo128Bits(content);
        return String.format("%016x%016x", hash.getMostSignificantBits(), hash.getLeastSignificantBits());
    }

    /** Replicates a text in chunks. */
    static void publish(ReplicatedStore store, byte[] content, double retainedFrom, double now) {
        String hash = contentHash(content);
        for (int from = 0; from < content.length; from += MAX_BYTES) {
            byte[] bytes = Arrays.copyOfRange(content, from, Math.min(content.length, from + MAX_BYTES));
            store.merge(TYPE, key(hash, from), new TextChunk(bytes, retainedFrom), now);
        }
    }

    /** The whole text, or null while chunks are missing or do not have the content that the hash names. */
    static byte[] assemble(ReplicatedStore store, String hash, int length) {
        byte[] content = new byte[length];
        for (int from = 0; from < length; from += MAX_BYTES) {
            TextChunk chunk = store.get(TYPE, key(hash, from));
            if (chunk == null || chunk.bytes.length != Math.min(MAX_BYTES, length - from)) {
                return null;
            }
            System.arraycopy(chunk.bytes, 0, content, from, chunk.bytes.length);
        }
        return contentHash(content).equals(hash) ? content : null;
    }

    private static String key(String hash, int from) {
        return hash + '/' + from / MAX_BYTES;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof TextChunk chunk
                && retainedFrom == chunk.retainedFrom
                && Arrays.equals(bytes, chunk.bytes);
    }

    @Override
    public int hashCode() {
        return 31 * Arrays.hashCode(bytes) + Double.hashCode(retainedFrom);
    }

    private static final class Type implements ReplicatedType<TextChunk> {
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
            byte[] bytes = Arrays.compare(a.bytes, b.bytes) <= 0 ? a.bytes : b.bytes;
            return new TextChunk(bytes, Math.max(a.retainedFrom, b.retainedFrom));
        }

        @Override
        public double timestamp(TextChunk chunk) {
            return chunk.retainedFrom;
        }

        @Override
        public double retentionSeconds() {
            return RolloutProgress.RETENTION_SECONDS;
        }

        @Override
        public int maxEntries() {
            return MAX_ENTRIES;
        }

        @Override
        public boolean clockDependent() {
            return false;
        }

        @Override
        public void write(TextChunk chunk, FieldWriter out) {
            out.writeBytes(chunk.bytes).writeDouble(chunk.retainedFrom);
        }

        @Override
        public TextChunk read(FieldReader in) {
            byte[] bytes = in.readBytes();
            if (bytes.length > MAX_BYTES) {
                throw new IllegalArgumentException("a piece of " + bytes.length + " bytes");
            }
            return new TextChunk(bytes, in.readDouble());
        }
    }
}
