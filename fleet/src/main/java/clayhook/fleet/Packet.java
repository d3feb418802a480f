package clayhook.fleet;

import com.dynatrace.hash4j.hashing.Hashing;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

/**
 * The form of a datagram: a hash of all that follows it, then as CBOR the version, the sender, and the messages, each
 * as its type number and its encoded fields. A corrupted packet or one of another version is dropped whole; a message
 * of an unknown type or with malformed fields is skipped alone.
 */
public final class Packet {
    /** Raised when the form of packets changes. Message types and fields may be added without. */
    static final int VERSION = 1;

    private static final int HASH_BYTES = Long.BYTES;
    /** Bytes of the largest packet, which networks carry without fragmentation; leaves room for their headers. */
    public static final int MAX_BYTES = 1400;
    /** Bytes of the largest encoded message, so that it fits a packet beside the sender's name. */
    public static final int MAX_MESSAGE_BYTES = 1200;
    /** Characters of the longest name of a router. */
    public static final int MAX_NAME_LENGTH = 100;
    /** Messages in a packet; more than fit into it. */
    private static final int MAX_MESSAGES = MAX_BYTES;
    /** Bytes of a packet for begin and end of lists, version, and length of the name, rounded up. */
    private static final int MAX_MARKER_BYTES = 16;

    private static final int MAX_UTF8_BYTES_PER_CHAR = 4;
    /** Bytes of a long in CBOR: a type byte and the value. */
    private static final int MAX_LONG_BYTES = 1 + Long.BYTES;
    /** Bytes of a message beside its fields: begin and end of a list, the type number, and the length of the fields. */
    private static final int MAX_FRAME_BYTES = 2 + 5 + 3;

    /** The result of decoding a datagram. */
    public sealed interface DecodeResult {
        /**
         * A packet that was decoded.
         *
         * @param messages those that could be read, in the order sent
         * @param skippedMessages those of an unknown type or with malformed fields
         */
        record Decoded(Member from, List<Message> messages, int skippedMessages) implements DecodeResult {}

        /** A datagram that was dropped whole. */
        record Dropped(DropReason reason) implements DecodeResult {}

        /** Why a datagram was dropped. */
        enum DropReason {
            /** The hash differs: the datagram is truncated, garbled, or no packet at all. */
            CORRUPTED,
            /** A release with another form of packets sent it. */
            UNSUPPORTED_VERSION,
            /** The hash is right, yet the fields cannot be read. */
            MALFORMED
        }
    }

    private Packet() {}

    /** Encodes the fields of a message. */
    static byte[] encode(Message message) {
        var fields = new FieldWriter();
        message.write(fields);
        return fields.toByteArray();
    }

    /** The most bytes that a packet of that sender takes without its messages. */
    static int maxHeaderBytes(Member from) {
        return HASH_BYTES
                + MAX_MARKER_BYTES
                + MAX_UTF8_BYTES_PER_CHAR * from.name().length()
                + MAX_LONG_BYTES;
    }

    /** The most bytes that an encoded message takes in a packet. */
    static int maxFramedBytes(byte[] encodedMessage) {
        return encodedMessage.length + MAX_FRAME_BYTES;
    }

    /** Encodes a packet; message {@code i} has the type number {@code i} and the encoded fields {@code i}. */
    static byte[] encode(Member from, List<Integer> typeNumbers, List<byte[]> encodedMessages) {
        var out = new FieldWriter()
                .writeLong(VERSION)
                .writeNullableString(from.name())
                .writeLong(from.incarnation())
                .beginList();
        for (int i = 0; i < encodedMessages.size(); i++) {
            out.beginList()
                    .writeLong(typeNumbers.get(i))
                    .writeBytes(encodedMessages.get(i))
                    .endList();
        }
        byte[] body = out.endList().toByteArray();
        return ByteBuffer.allocate(HASH_BYTES + body.length)
                .putLong(Hashing.komihash5_0().hashBytesToLong(body))
                .put(body)
                .array();
    }

    /**
     * Decodes a datagram from the network.
     *
     * @param messageReaders the decoders of message fields, by type number
     */
    public static DecodeResult decode(
            byte[] bytes, Map<Integer, Function<FieldReader, ? extends Message>> messageReaders) {
        if (!hasValidHash(bytes)) {
            return new DecodeResult.Dropped(DecodeResult.DropReason.CORRUPTED);
        }
        try {
            return decodeBody(new FieldReader(bytes, HASH_BYTES, bytes.length - HASH_BYTES), messageReaders);
        } catch (IllegalArgumentException e) {
            return new DecodeResult.Dropped(DecodeResult.DropReason.MALFORMED);
        }
    }

    private static boolean hasValidHash(byte[] bytes) {
        return bytes.length > HASH_BYTES
                && ByteBuffer.wrap(bytes).getLong()
                        == Hashing.komihash5_0().hashBytesToLong(bytes, HASH_BYTES, bytes.length - HASH_BYTES);
    }

    private static DecodeResult decodeBody(
            FieldReader in, Map<Integer, Function<FieldReader, ? extends Message>> messageReaders) {
        if (in.readLong() != VERSION) {
            return new DecodeResult.Dropped(DecodeResult.DropReason.UNSUPPORTED_VERSION);
        }
        String name = in.readNonEmptyString();
        if (name.length() > MAX_NAME_LENGTH) {
            return new DecodeResult.Dropped(DecodeResult.DropReason.MALFORMED);
        }
        var from = new Member(name, in.readLong());
        List<Optional<Message>> decoded = in.readLists(MAX_MESSAGES, each -> decodeMessage(each, messageReaders));
        List<Message> messages = decoded.stream().flatMap(Optional::stream).toList();
        return new DecodeResult.Decoded(from, messages, decoded.size() - messages.size());
    }

    /** Empty for a message of an unknown type or with malformed fields. */
    private static Optional<Message> decodeMessage(
            FieldReader in, Map<Integer, Function<FieldReader, ? extends Message>> messageReaders) {
        long typeNumber = in.readLong();
        byte[] fields = in.readBytes();
        Function<FieldReader, ? extends Message> reader =
                typeNumber == (int) typeNumber ? messageReaders.get((int) typeNumber) : null;
        if (reader == null) {
            return Optional.empty();
        }
        try {
            return Optional.of(reader.apply(new FieldReader(fields)));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
