package clayhook.fleet;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Compares the encoder and the decoder with recorded bytes: the encoding of each field, the packet format, and the
 * distribution of messages over packets. Routers of different releases run side by side, so none of these bytes may
 * change.
 */
class RecordedPacketsTest {
    private static final HexFormat HEX = HexFormat.of();
    private static final Member SENDER = new Member("router-1", 1_700_000_000_123L);
    private static final Address FIRST = new Address("10.0.0.1", 7400);
    private static final Address SECOND = new Address("10.0.0.2", 7400);
    /**
     * Resource with the packets in which the messages of {@link #addMessages} are sent, in order: one per line, the
     * address followed by the bytes in hexadecimal.
     */
    private static final String RECORDED_PACKETS_FILE = "recorded-packets.txt";

    /** A message with an integer field and a string field. */
    private record Sample(int typeNumber, long value, String text) implements Message {
        @Override
        public void write(FieldWriter out) {
            out.writeLong(value).writeNullableString(text);
        }

        static Function<FieldReader, Sample> reader(int typeNumber) {
            return in -> new Sample(typeNumber, in.readLong(), in.readNullableString());
        }
    }

    /** A received message and its sender. */
    private record Received(Peer from, Message message) {}

    /** Sends the given messages on each tick, and records the messages that it receives. */
    private static final class SampleHandler implements ProtocolHandler {
        private final List<Integer> typeNumbers;
        private final Consumer<Outbox> messages;
        private final List<Received> received = new ArrayList<>();

        private SampleHandler(List<Integer> typeNumbers, Consumer<Outbox> messages) {
            this.typeNumbers = typeNumbers;
            this.messages = messages;
        }

        @Override
        public Map<Integer, Function<FieldReader, ? extends Message>> messageReaders() {
            var readers = new HashMap<Integer, Function<FieldReader, ? extends Message>>();
            typeNumbers.forEach(typeNumber -> readers.put(typeNumber, Sample.reader(typeNumber)));
            return readers;
        }

        @Override
        public void onMessage(Peer from, Message message, double now, Outbox out) {
            received.add(new Received(from, message));
        }

        @Override
        public double tick(double now, Outbox out) {
            messages.accept(out);
            return Double.POSITIVE_INFINITY;
        }
    }

    // ---- fields ----

    /** A recorded list of fields: its bytes in hexadecimal, its value, and the functions that write and read it. */
    private record Field<T>(String hex, T value, BiConsumer<FieldWriter, T> write, Function<FieldReader, T> read) {
        @Override
        public String toString() {
            String name = value instanceof byte[] bytes ? HEX.formatHex(bytes) : String.valueOf(value);
            return (value == null ? "" : value.getClass().getSimpleName() + " ")
                    + name.substring(0, Math.min(30, name.length()));
        }
    }

    private static Field<String> stringField(String hex, String value) {
        return new Field<>(hex, value, FieldWriter::writeNullableString, FieldReader::readNullableString);
    }

    private static Field<Long> longField(String hex, long value) {
        return new Field<>(hex, value, FieldWriter::writeLong, FieldReader::readLong);
    }

    private static Field<Double> doubleField(String hex, double value) {
        return new Field<>(hex, value, FieldWriter::writeDouble, FieldReader::readDouble);
    }

    private static Field<Boolean> booleanField(String hex, boolean value) {
        return new Field<>(hex, value, FieldWriter::writeBoolean, FieldReader::readBoolean);
    }

    private static Field<byte[]> bytesField(String hex, byte[] value) {
        return new Field<>(hex, value, FieldWriter::writeBytes, FieldReader::readBytes);
    }

    private static Field<List<List<Long>>> listsField(String hex, List<List<Long>> value) {
        return new Field<>(
                hex,
                value,
                (out, lists) -> {
                    out.beginList();
                    lists.forEach(list -> {
                        out.beginList();
                        list.forEach(out::writeLong);
                        out.endList();
                    });
                    out.endList();
                },
                in -> in.readLists(10, each -> List.of(each.readLong(), each.readLong())));
    }

    private static Field<List<Long>> longsField(String hex, List<Long> value) {
        return new Field<>(
                hex,
                value,
                (out, list) -> {
                    out.beginList();
                    list.forEach(out::writeLong);
                    out.endList();
                },
                in -> Arrays.stream(in.readLongs(30)).boxed().toList());
    }

    static List<Field<?>> fields() {
        return List.of(
                stringField("9ff6ff", null),
                stringField("9f60ff", ""),
                stringField("9f6161ff", "a"),
                stringField("9f77" + "78".repeat(23) + "ff", "x".repeat(23)),
                stringField("9f7818" + "78".repeat(24) + "ff", "x".repeat(24)),
                stringField("9f78ff" + "78".repeat(255) + "ff", "x".repeat(255)),
                stringField("9f790100" + "78".repeat(256) + "ff", "x".repeat(256)),
                stringField("9f7904b0" + "78".repeat(1200) + "ff", "x".repeat(1200)),
                stringField("9f69c3a9e6bca2f09f9880ff", "\u00e9\u6f22\ud83d\ude00"),
                stringField("9f790190" + "c3a9".repeat(200) + "ff", "\u00e9".repeat(200)),
                longField("9f00ff", 0),
                longField("9f17ff", 23),
                longField("9f1818ff", 24),
                longField("9f18ffff", 255),
                longField("9f190100ff", 256),
                longField("9f19ffffff", 65_535),
                longField("9f1a00010000ff", 65_536),
                longField("9f1a7fffffffff", Integer.MAX_VALUE),
                longField("9f1a80000000ff", 1L << 31),
                longField("9f1affffffffff", (1L << 32) - 1),
                longField("9f1b0000000100000000ff", 1L << 32),
                longField("9f1b0000018bcfe5687bff", 1_700_000_000_123L),
                longField("9f1b7fffffffffffffffff", Long.MAX_VALUE),
                longField("9f20ff", -1),
                longField("9f37ff", -24),
                longField("9f3818ff", -25),
                longField("9f3b7fffffffffffffffff", Long.MIN_VALUE),
                doubleField("9ffb0000000000000000ff", 0),
                doubleField("9ffb8000000000000000ff", -0.0),
                doubleField("9ffb3ff0000000000000ff", 1),
                doubleField("9ffb3fb999999999999aff", 0.1),
                doubleField("9ffb41d954fc40000000ff", 1.7e9),
                doubleField("9ffb7ff0000000000000ff", Double.POSITIVE_INFINITY),
                doubleField("9ffbfff0000000000000ff", Double.NEGATIVE_INFINITY),
                booleanField("9ff5ff", true),
                booleanField("9ff4ff", false),
                bytesField("9f40ff", new byte[0]),
                bytesField("9f4300ff80ff", new byte[] {0, -1, -128}),
                bytesField("9f59012c" + "07".repeat(300) + "ff", filled(300)),
                listsField("9f9fffff", List.of()),
                listsField("9f9f9f0102ff9f0304ffffff", List.of(List.of(1L, 2L), List.of(3L, 4L))),
                longsField("9f9fffff", List.of()),
                longsField("9f9f" + "1903e8".repeat(20) + "ffff", List.copyOf(Collections.nCopies(20, 1000L))));
    }

    private static byte[] filled(int length) {
        var bytes = new byte[length];
        Arrays.fill(bytes, (byte) 7);
        return bytes;
    }

    @ParameterizedTest
    @MethodSource("fields")
    <T> void encodesEachFieldAsRecorded(Field<T> field) {
        var out = new FieldWriter();
        field.write().accept(out, field.value());
        assertEquals(field.hex(), HEX.formatHex(out.toByteArray()));
    }

    @ParameterizedTest
    @MethodSource("fields")
    <T> void decodesEachFieldAsRecorded(Field<T> field) {
        T read = field.read().apply(new FieldReader(HEX.parseHex(field.hex())));
        if (field.value() instanceof byte[] bytes) {
            assertArrayEquals(bytes, (byte[]) read);
        } else {
            assertEquals(field.value(), read);
        }
    }

    @Test
    void readsWholeNumberWhereFractionIsAllowed() {
        assertEquals(7.0, new FieldReader(HEX.parseHex("9f07ff")).readDouble());
    }

    @Test
    void leavesFieldsOfLaterReleaseUnread() {
        // The fields are 1, a list [2, [3], {"a": 4}] of which only the first field is read, and the string "b".
        var in = new FieldReader(HEX.parseHex("9f019f029f03ffbf616104ffff6162ff"));
        assertEquals(1, in.readLong());
        in.beginList();
        assertEquals(2, in.readLong());
        in.endList();
        assertEquals("b", in.readNullableString());
    }

    @Test
    void rejectsBytesThatAreNotTheExpectedField() {
        Map<String, Consumer<FieldReader>> readersByHex = Map.of(
                "9f01ff", FieldReader::readNullableString,
                "9f6161ff", FieldReader::readLong,
                "9f60ff", FieldReader::readNonEmptyString,
                "9ffb7ff8000000000000ff", FieldReader::readDouble,
                "9f04ff", in -> in.readIntBelow(4),
                "9ff6ff", FieldReader::readBoolean,
                "9f6162ff", FieldReader::readBytes,
                "9f0000ff", FieldReader::beginList,
                "9f9f00ffff", in -> in.readLists(1, each -> 0),
                "9f9f0000ffff", in -> in.readLongs(1));
        readersByHex.forEach((hex, read) -> {
            var in = new FieldReader(HEX.parseHex(hex));
            assertThrows(IllegalArgumentException.class, () -> read.accept(in), hex);
        });
        assertThrows(IllegalArgumentException.class, () -> new FieldReader(HEX.parseHex("00")));
        assertThrows(IllegalArgumentException.class, () -> new FieldReader(HEX.parseHex("9f")).readLong());
    }

    // ---- packets ----

    /**
     * Adds messages to several addresses, with type numbers and fields of every width, and with more than one packet
     * for the first address.
     */
    private static void addMessages(Outbox out) {
        out.add(FIRST, new Sample(1, 0, null));
        out.add(SECOND, new Sample(23, 5, "b"));
        out.add(FIRST, new Sample(24, -1, "x".repeat(500)));
        out.add(FIRST, new Sample(300, Long.MAX_VALUE, "y".repeat(600)));
        out.add(FIRST, new Sample(70_000, 2, "z".repeat(700)));
        out.add(SECOND, new Sample(1, 24, "caf\u00e9"));
        out.add(FIRST, new Sample(23, 3, ""));
        out.add(new Address("::1", 1), new Sample(1, 1, "last"));
    }

    private static final List<Integer> TYPE_NUMBERS = List.of(1, 23, 24, 300, 70_000);

    private static List<String> recordedLines() throws IOException {
        try (InputStream in = RecordedPacketsTest.class.getResourceAsStream(RECORDED_PACKETS_FILE)) {
            return new String(in.readAllBytes(), StandardCharsets.US_ASCII)
                    .lines()
                    .toList();
        }
    }

    private static byte[] packet(String line) {
        return HEX.parseHex(line.substring(line.indexOf(' ') + 1));
    }

    @Test
    void packsMessagesIntoPacketsAsRecorded() throws IOException {
        var sent = new ArrayList<String>();
        var handler = new SampleHandler(TYPE_NUMBERS, RecordedPacketsTest::addMessages);
        new MessageDispatcher(SENDER, List.of(handler), (to, bytes) -> sent.add(to + " " + HEX.formatHex(bytes)))
                .tick(0);
        assertEquals(recordedLines(), sent);
    }

    @Test
    void unpacksRecordedPackets() throws IOException {
        var expected = new HashMap<Address, List<Message>>();
        addMessages((to, message) ->
                expected.computeIfAbsent(to, any -> new ArrayList<>()).add(message));
        var unpacked = new HashMap<Address, List<Message>>();
        var from = new Address("10.0.0.9", 9);
        for (String line : recordedLines()) {
            var handler = new SampleHandler(TYPE_NUMBERS, out -> {});
            var dispatcher = new MessageDispatcher(new Member("other", 1), List.of(handler), (to, bytes) -> {});
            dispatcher.onDatagram(from, packet(line), 0);
            assertEquals(
                    List.of(1L, 0L, Map.of()),
                    List.of(
                            dispatcher.counters().receivedPackets,
                            dispatcher.counters().skippedMessages,
                            dispatcher.counters().droppedByReason));
            Address to = address(line);
            handler.received.forEach(received -> {
                assertEquals(new Peer(SENDER, from), received.from());
                unpacked.computeIfAbsent(to, any -> new ArrayList<>()).add(received.message());
            });
        }
        assertEquals(expected, unpacked);
    }

    private static Address address(String line) {
        String address = line.substring(0, line.indexOf(' '));
        int colon = address.lastIndexOf(':');
        return new Address(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }

    @Test
    void skipsMessagesOfUnknownNumberAndOfUnreadableFields() throws IOException {
        Map<Integer, Function<FieldReader, ? extends Message>> readers = Map.of(1, Sample.reader(1), 24, in -> {
            throw new IllegalArgumentException("cannot be read");
        });
        var read = (Packet.DecodeResult.Decoded)
                Packet.decode(packet(recordedLines().get(0)), readers);
        assertEquals(List.of(new Sample(1, 0, null)), read.messages());
        assertEquals(List.of(SENDER, 2), List.of(read.from(), read.skippedMessages()));
    }

    @Test
    void dropsRecordedPacketWithAnyByteChanged() throws IOException {
        byte[] bytes = packet(recordedLines().get(0));
        for (int i = 0; i < bytes.length; i++) {
            byte[] changed = bytes.clone();
            changed[i] ^= 1;
            assertEquals(
                    new Packet.DecodeResult.Dropped(Packet.DecodeResult.DropReason.CORRUPTED),
                    Packet.decode(changed, Map.of()),
                    "byte " + i);
            byte[] cut = Arrays.copyOf(bytes, i);
            assertEquals(
                    new Packet.DecodeResult.Dropped(Packet.DecodeResult.DropReason.CORRUPTED),
                    Packet.decode(cut, Map.of()),
                    "cut at " + i);
        }
    }

    /** A recorded packet without messages. */
    private static final String EMPTY_PACKET = "df24f7f0709a29179f0168726f757465722d311b0000018bcfe5687b9fffff";
    /** The packet without messages, with version 2 instead of 1. */
    private static final String PACKET_OF_VERSION_2 = "e255644893f126b89f0268726f757465722d311b0000018bcfe5687b9fffff";
    /** A packet whose sender's name has 101 characters, one more than allowed. */
    private static final String PACKET_WITH_LONG_NAME =
            "fe59adc8fb152b5f9f017865" + "6e".repeat(101) + "1b0000018bcfe5687b9fffff";
    /**
     * A packet with fields that a later release might add: 2 at the end of a message of type 1, and 9 after the list of
     * messages.
     */
    private static final String PACKET_OF_LATER_RELEASE =
            "8ee9c4ffdacee67f9f0168726f757465722d311b0000018bcfe5687b9f9f01469f07616102ffffff09ff";

    @Test
    void encodesPacketWithoutMessagesAsRecorded() {
        assertEquals(EMPTY_PACKET, HEX.formatHex(Packet.encode(SENDER, List.of(), List.of())));
    }

    @Test
    void decodesPacketWithoutMessagesAsRecorded() {
        assertEquals(
                new Packet.DecodeResult.Decoded(SENDER, List.of(), 0),
                Packet.decode(HEX.parseHex(EMPTY_PACKET), Map.of()));
    }

    @Test
    void dropsRecordedPacketOfAnotherVersion() {
        assertEquals(
                new Packet.DecodeResult.Dropped(Packet.DecodeResult.DropReason.UNSUPPORTED_VERSION),
                Packet.decode(HEX.parseHex(PACKET_OF_VERSION_2), Map.of()));
    }

    @Test
    void dropsRecordedPacketWithTooLongName() {
        assertEquals(
                new Packet.DecodeResult.Dropped(Packet.DecodeResult.DropReason.MALFORMED),
                Packet.decode(HEX.parseHex(PACKET_WITH_LONG_NAME), Map.of()));
    }

    @Test
    void decodesRecordedPacketWithAdditionalFields() {
        Packet.DecodeResult read = Packet.decode(HEX.parseHex(PACKET_OF_LATER_RELEASE), Map.of(1, Sample.reader(1)));
        assertEquals(new Packet.DecodeResult.Decoded(SENDER, List.of(new Sample(1, 7, "a")), 0), read);
    }

    @Test
    void fillsPacketsUpToTheRecordedLength() {
        int longest = 0;
        for (int length = 0; length <= 1000; length++) {
            int last = length;
            var sizes = new ArrayList<Integer>();
            var handler = new SampleHandler(List.of(1), out -> {
                out.add(FIRST, new Sample(1, 0, "x".repeat(600)));
                out.add(FIRST, new Sample(1, 0, "x".repeat(last)));
            });
            new MessageDispatcher(SENDER, List.of(handler), (to, bytes) -> sizes.add(bytes.length)).tick(0);
            longest = sizes.size() == 1 ? length : longest;
            assertEquals(length <= LONGEST_SECOND_TEXT ? 1 : 2, sizes.size(), "length " + length);
        }
        assertEquals(LONGEST_SECOND_TEXT, longest);
    }

    /**
     * Maximum number of characters in the string of a second message that still fits into one packet with a first
     * message of 600 characters.
     */
    private static final int LONGEST_SECOND_TEXT = 703;

    @Test
    void rejectsMessageLongerThanTheRecordedLimit() {
        var sizes = new ArrayList<Integer>();
        // A string of 1,194 characters results in 1,200 bytes: two for the list, one for the integer, three for the
        // header
        // of the string.
        var fits = new SampleHandler(List.of(1), out -> out.add(FIRST, new Sample(1, 0, "x".repeat(1194))));
        new MessageDispatcher(SENDER, List.of(fits), (to, bytes) -> sizes.add(bytes.length)).tick(0);
        assertEquals(List.of(1237), sizes);
        var tooLong = new SampleHandler(List.of(1), out -> out.add(FIRST, new Sample(1, 0, "x".repeat(1195))));
        var dispatcher = new MessageDispatcher(SENDER, List.of(tooLong), (to, bytes) -> {});
        assertThrows(IllegalArgumentException.class, () -> dispatcher.tick(0));
        assertEquals(0, dispatcher.counters().sentPackets);
    }
}
