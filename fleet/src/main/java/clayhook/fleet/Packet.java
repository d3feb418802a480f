package clayhook.fleet;

import com.dynatrace.hash4j.hashing.Hashing;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * What one datagram holds: a hash of all that follows it, then as CBOR the version, the sender, and the parts, each as
 * its number and its bytes. Whatever is spoilt on the way, is of another version or holds kinds that are not known
 * costs only itself.
 */
public final class Packet {
    /** Raised when what a packet is made of changes; parts and fields may be added without. */
    static final int VERSION = 1;
    /** Bytes of the hash. */
    private static final int HASH_BYTES = Long.BYTES;
    /** Bytes; fits a datagram that networks carry whole, and leaves room for their headers. */
    public static final int MAX_BYTES = 1400;
    /** Bytes that a part may take, beside the sender's name. */
    public static final int MAX_MESSAGE_BYTES = 1200;
    /** Of a name of a router. */
    public static final int MAX_NAME_LENGTH = 100;
    /** Parts in a packet; more than fit. */
    private static final int MAX_MESSAGES = MAX_BYTES;

    /** What came of taking bytes apart. */
    public sealed interface DecodeResult {
        /** @param unknown parts of kinds that this release does not know, or that could not be read */
        record Decoded(Member from, List<Message> messages, int skippedMessages) implements DecodeResult {}

        /** Nothing of it counts. */
        record Dropped(DropReason reason) implements DecodeResult {}

        /** Why nothing counts: it was cut or garbled, another release wrote it, or it makes no sense. */
        enum DropReason {
            CORRUPTED,
            UNSUPPORTED_VERSION,
            MALFORMED
        }
    }

    private Packet() {}

    /** A part as it stands in a packet. */
    static byte[] encode(Message part) {
        var fields = new FieldWriter();
        part.write(fields);
        return fields.toByteArray();
    }

    /** Bytes that a packet from that sender takes beside its parts, at most. */
    static int maxHeaderBytes(Member from) {
        return HASH_BYTES + 16 + 4 * from.name().length() + Long.BYTES + 1;
    }

    /** Bytes that an encoded part takes in a packet, at most. */
    static int maxFramedBytes(byte[] part) {
        return part.length + 2 + 5 + 3;
    }

    static byte[] encode(Member from, List<Integer> numbers, List<byte[]> parts) {
        var out = new FieldWriter()
                .writeLong(VERSION)
                .writeNullableString(from.name())
                .writeLong(from.incarnation())
                .beginList();
        for (int i = 0; i < parts.size(); i++) {
            out.beginList().writeLong(numbers.get(i)).writeBytes(parts.get(i)).endList();
        }
        byte[] body = out.endList().toByteArray();
        return ByteBuffer.allocate(HASH_BYTES + body.length)
                .putLong(Hashing.komihash5_0().hashBytesToLong(body))
                .put(body)
                .array();
    }

    /** Takes bytes from outside apart. */
    public static DecodeResult decode(byte[] bytes, Map<Integer, Function<FieldReader, ? extends Message>> known) {
        if (bytes.length <= HASH_BYTES
                || ByteBuffer.wrap(bytes).getLong()
                        != Hashing.komihash5_0().hashBytesToLong(bytes, HASH_BYTES, bytes.length - HASH_BYTES)) {
            return new DecodeResult.Dropped(DecodeResult.DropReason.CORRUPTED);
        }
        try {
            var in = new FieldReader(bytes, HASH_BYTES, bytes.length - HASH_BYTES);
            if (in.readLong() != VERSION) {
                return new DecodeResult.Dropped(DecodeResult.DropReason.UNSUPPORTED_VERSION);
            }
            String name = in.readNonEmptyString();
            if (name.length() > MAX_NAME_LENGTH) {
                return new DecodeResult.Dropped(DecodeResult.DropReason.MALFORMED);
            }
            var from = new Member(name, in.readLong());
            var parts = new ArrayList<Message>();
            List<Message> read = in.readLists(MAX_MESSAGES, each -> decodeMessage(each, known));
            read.stream().filter(part -> part != null).forEach(parts::add);
            return new DecodeResult.Decoded(from, List.copyOf(parts), read.size() - parts.size());
        } catch (IllegalArgumentException e) {
            return new DecodeResult.Dropped(DecodeResult.DropReason.MALFORMED);
        }
    }

    /** Null for one that cannot be read. */
    private static Message decodeMessage(FieldReader in, Map<Integer, Function<FieldReader, ? extends Message>> known) {
        long number = in.readLong();
        byte[] fields = in.readBytes();
        Function<FieldReader, ? extends Message> reader = number == (int) number ? known.get((int) number) : null;
        try {
            return reader == null ? null : reader.apply(new FieldReader(fields));
        } catch (IllegalArgumentException e) {
            return null;
        }
    }
}
