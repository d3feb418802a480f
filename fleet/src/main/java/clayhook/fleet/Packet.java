package clayhook.fleet;

import com.dynatrace.hash4j.hashing.Hashing;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

/**
 * Encodes and decodes packets, each of which is sent as one datagram. A packet starts with a hash of all bytes that
 * follow it. The rest is CBOR: the format version, the sender, and the messages, each as a type number and its encoded
 * fields. A corrupted packet or one of another version is dropped as a whole; a single message of an unknown type or
 * with malformed fields is skipped.
 */
public final class Packet {
    /** Version of the packet format. Message types and message fields may be added without raising it. */
    static final int VERSION = 1;

    private static final int HASH_BYTES = Long.BYTES;
    /**
     * Maximum size of a packet in bytes. Networks carry packets of this size and the headers of lower layers without
     * fragmentation.
     */
    public static final int MAX_BYTES = 1400;
    /**
     * Maximum size of the encoded fields of a message in bytes, chosen so that the message and the sender's name fit
     * into one packet.
     */
    public static final int MAX_MESSAGE_BYTES = 1200;
    /** Maximum length of a router name in characters. */
    public static final int MAX_NAME_LENGTH = 100;
    /** Maximum number of messages in a packet; more than fit into {@link #MAX_BYTES}. */
    private static final int MAX_MESSAGES = MAX_BYTES;
    /**
     * Upper bound of the bytes of a packet for the start and end markers of lists, the version, and the length of the
     * name.
     */
    private static final int MAX_MARKER_BYTES = 16;

    private static final int MAX_UTF8_BYTES_PER_CHAR = 4;
    /** Maximum size of a long in CBOR, in bytes: a type byte and the value. */
    private static final int MAX_LONG_BYTES = 1 + Long.BYTES;
    /**
     * Maximum size of a message without its fields, in bytes: the start and end markers of a list, the type number, and
     * the length of the fields.
     */
    private static final int MAX_FRAME_BYTES = 2 + 5 + 3;

    /** The result of decoding a datagram. */
    public sealed interface DecodeResult {
        /**
         * A decoded packet.
         *
         * @param from the sender of the packet
         * @param messages the decoded messages, in the order in which they were sent
         * @param skippedMessages the number of messages of an unknown type or with malformed fields
         */
        record Decoded(Member from, List<Message> messages, int skippedMessages) implements DecodeResult {}

        /** A datagram that was dropped as a whole. */
        record Dropped(DropReason reason) implements DecodeResult {}

        /** The reason for which a datagram was dropped. */
        enum DropReason {
            /** The hash does not match: the datagram is truncated, corrupted, or not a packet. */
            CORRUPTED,
            /** The packet was sent by a release with another version of the packet format. */
            UNSUPPORTED_VERSION,
            /** The hash matches, but the fields cannot be decoded. */
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

    /** Returns the maximum size in bytes of a packet of this sender without its messages. */
    static int maxHeaderBytes(Member from) {
        return HASH_BYTES
                + MAX_MARKER_BYTES
                + MAX_UTF8_BYTES_PER_CHAR * from.name().length()
                + MAX_LONG_BYTES;
    }

    /** Returns the maximum number of bytes that a message with these encoded fields takes up in a packet. */
    static int maxFramedBytes(byte[] encodedMessage) {
        return encodedMessage.length + MAX_FRAME_BYTES;
    }

    /** Encodes a packet. Element {@code i} of each of the two lists belongs to message {@code i}. */
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
     * Decodes a datagram that was received from the network.
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
        List<Optional<Message>> decoded = in.readLists(MAX_MESSAGES, message -> decodeMessage(message, messageReaders));
        List<Message> messages = decoded.stream().flatMap(Optional::stream).toList();
        return new DecodeResult.Decoded(from, messages, decoded.size() - messages.size());
    }

    /** Decodes a message. Returns an empty result if its type is unknown or its fields are malformed. */
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
