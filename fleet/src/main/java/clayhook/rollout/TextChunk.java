package clayhook.rollout;

import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
import clayhook.fleet.ReplicatedStore;
import clayhook.fleet.ReplicatedType;
import com.dynatrace.hash4j.hashing.HashValue128;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Arrays;

/**
 * A replicated chunk of content that is too long for one message, such as a rule set or encoded terms. Chunks are keyed
 * by the hash of the whole content, so that the same content is replicated only once. Immutable.
 */
final class TextChunk {
    /** Maximum length of a chunk in bytes. A chunk of this length and its key fit in a message. */
    private static final int MAX_BYTES = 900;
    /** Enough for nine rule sets of the maximum length; older chunks are evicted. */
    private static final int MAX_ENTRIES = 3072;

    /**
     * The replicated type of chunks. Chunks with the same key differ only in their retention, unless a router is
     * faulty.
     */
    static final ReplicatedType<TextChunk> TYPE = new Type();

    private final byte[] bytes;
    private final double retainedFrom;

    /**
     * Creates a chunk.
     *
     * @param bytes the bytes of the chunk; not copied, so the caller must not change them afterwards
     * @param retainedFrom start of the retention time, in seconds since 1970
     */
    TextChunk(byte[] bytes, double retainedFrom) {
        this.bytes = bytes;
        this.retainedFrom = retainedFrom;
    }

    /** The bytes of the chunk. The array is not a copy and must not be changed. */
    byte[] bytes() {
        return bytes;
    }

    /** The 128-bit hash of the content in hexadecimal digits. The hash of a rule set's text identifies the rule set. */
    static String contentHash(byte[] content) {
        HashValue128 hash = Hashing.murmur3_128().hashBytesTo128Bits(content);
        return String.format("%016x%016x", hash.getMostSignificantBits(), hash.getLeastSignificantBits());
    }

    /** Replicates the content in chunks. */
    static void publish(ReplicatedStore store, byte[] content, double retainedFrom, double now) {
        String hash = contentHash(content);
        for (int offset = 0; offset < content.length; offset += MAX_BYTES) {
            byte[] bytes = Arrays.copyOfRange(content, offset, Math.min(content.length, offset + MAX_BYTES));
            store.merge(TYPE, key(hash, offset), new TextChunk(bytes, retainedFrom), now);
        }
    }

    /** The whole content; null while chunks are missing or their bytes do not match the hash. */
    static byte[] assemble(ReplicatedStore store, String hash, int length) {
        byte[] content = new byte[length];
        for (int offset = 0; offset < length; offset += MAX_BYTES) {
            TextChunk chunk = store.get(TYPE, key(hash, offset));
            if (chunk == null || chunk.bytes.length != Math.min(MAX_BYTES, length - offset)) {
                return null;
            }
            System.arraycopy(chunk.bytes, 0, content, offset, chunk.bytes.length);
        }
        return contentHash(content).equals(hash) ? content : null;
    }

    private static String key(String hash, int offset) {
        return hash + '/' + offset / MAX_BYTES;
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
                throw new IllegalArgumentException("chunk too long: " + bytes.length + " bytes");
            }
            return new TextChunk(bytes, in.readDouble());
        }
    }
}
