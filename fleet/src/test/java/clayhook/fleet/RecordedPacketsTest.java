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
 * Compares encoder and decoder with recorded bytes, in both directions: the form of each field, the frame of a packet,
 * and how messages are spread over packets. Routers of different releases run side by side, so none of these bytes may
 * change.
 */
class RecordedPacketsTest {
    private static final HexFormat HEX = HexFormat.of();
    private static final Member SENDER = new Member("router-1", 1_700_000_000_123L);
    private static final Address FIRST = new Address("10.0.0.1", 7400);
    private static final Address SECOND = new Address("10.0.0.2", 7400);
    /** Each packet that {@link #messagesToSend} leaves as, in order: the address, then the bytes in hex. */
    private static final String PACKETS = "recorded-packets.txt";

    /** A message of one number and one text. */
    private record Sample(int typeNumber, long value, String text) implements Message {
        @Override
        public void write(FieldWriter out) {
            out.writeLong(value).writeNullableString(text);
        }

        static Function<FieldReader, Sample> reader(int number) {
            return in -> new Sample(number, in.readLong(), in.readNullableString());
        }
    }

    /** A message as it came, and from whom. */
    private record Received(Peer from, Message message) {}

    /** Sends given messages on its first tick, and keeps those that it receives. */
    private static final class SampleHandler implements ProtocolHandler {
        private final List<Integer> numbers;
        private final Consumer<Outbox> messages;
        private final List<Received> received = new ArrayList<>();

        private SampleHandler(List<Integer> numbers, Consumer<Outbox> messages) {
            this.numbers = numbers;
            this.messages = messages;
        }

        @Override
        public Map<Integer, Function<FieldReader, ? extends Message>> messageReaders() {
            var readers = new HashMap<Integer, Function<FieldReader, ? extends Message>>();
            numbers.forEach(number -> readers.put(number, Sample.reader(number)));
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

    /** One recorded list of fields: its bytes, what it holds, and the calls that write and read it. */
    private record Field<T>(String hex, T value, BiConsumer<FieldWriter, T> write, Function<FieldReader, T> read) {
        @Override
        public String toString() {
            String name = value instanceof byte[] bytes ? HEX.formatHex(bytes) : String.valueOf(value);
            return (value == null ? "" : value.getClass().getSimpleName() + " ")
                    + name.substring(0, Math.min(30, name.length()));
        }
    }

    private static Field<String> text(String hex, String value) {
        return new Field<>(hex, value, FieldWriter::writeNullableString, FieldReader::readNullableString);
    }

    private static Field<Long> whole(String hex, long value) {
        return new Field<>(hex, value, FieldWriter::writeLong, FieldReader::readLong);
    }

    private static Field<Double> number(String hex, double value) {
        return new Field<>(hex, value, FieldWriter::writeDouble, FieldReader::readDouble);
    }

    private static Field<Boolean> flag(String hex, boolean value) {
        return new Field<>(hex, value, FieldWriter::writeBoolean, FieldReader::readBoolean);
    }

    private static Field<byte[]> bytes(String hex, byte[] value) {
        return new Field<>(hex, value, FieldWriter::writeBytes, FieldReader::readBytes);
    }

    private static Field<List<List<Long>>> lists(String hex, List<List<Long>> value) {
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

    private static Field<List<Long>> wholes(String hex, List<Long> value) {
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
                text("9ff6ff", null),
                text("9f60ff", ""),
                text("9f6161ff", "a"),
                text("9f77" + "78".repeat(23) + "ff", "x".repeat(23)),
                text("9f7818" + "78".repeat(24) + "ff", "x".repeat(24)),
                text("9f78ff" + "78".repeat(255) + "ff", "x".repeat(255)),
                text("9f790100" + "78".repeat(256) + "ff", "x".repeat(256)),
                text("9f7904b0" + "78".repeat(1200) + "ff", "x".repeat(1200)),
                text("9f69c3a9e6bca2f09f9880ff", "\u00e9\u6f22\ud83d\ude00"),
                text("9f790190" + "c3a9".repeat(200) + "ff", "\u00e9".repeat(200)),
                whole("9f00ff", 0),
                whole("9f17ff", 23),
                whole("9f1818ff", 24),
                whole("9f18ffff", 255),
                whole("9f190100ff", 256),
                whole("9f19ffffff", 65_535),
                whole("9f1a00010000ff", 65_536),
                whole("9f1a7fffffffff", Integer.MAX_VALUE),
                whole("9f1a80000000ff", 1L << 31),
                whole("9f1affffffffff", (1L << 32) - 1),
                whole("9f1b0000000100000000ff", 1L << 32),
                whole("9f1b0000018bcfe5687bff", 1_700_000_000_123L),
                whole("9f1b7fffffffffffffffff", Long.MAX_VALUE),
                whole("9f20ff", -1),
                whole("9f37ff", -24),
                whole("9f3818ff", -25),
                whole("9f3b7fffffffffffffffff", Long.MIN_VALUE),
                number("9ffb0000000000000000ff", 0),
                number("9ffb8000000000000000ff", -0.0),
                number("9ffb3ff0000000000000ff", 1),
                number("9ffb3fb999999999999aff", 0.1),
                number("9ffb41d954fc40000000ff", 1.7e9),
                number("9ffb7ff0000000000000ff", Double.POSITIVE_INFINITY),
                number("9ffbfff0000000000000ff", Double.NEGATIVE_INFINITY),
                flag("9ff5ff", true),
                flag("9ff4ff", false),
                bytes("9f40ff", new byte[0]),
                bytes("9f4300ff80ff", new byte[] {0, -1, -128}),
                bytes("9f59012c" + "07".repeat(300) + "ff", filled(300)),
                lists("9f9fffff", List.of()),
                lists("9f9f9f0102ff9f0304ffffff", List.of(List.of(1L, 2L), List.of(3L, 4L))),
                wholes("9f9fffff", List.of()),
                wholes("9f9f" + "1903e8".repeat(20) + "ffff", List.copyOf(Collections.nCopies(20, 1000L))));
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
        // 1, then a list [2, [3], {"a": 4}] of which only the first field is known, then the text "b".
        var in = new FieldReader(HEX.parseHex("9f019f029f03ffbf616104ffff6162ff"));
        assertEquals(1, in.readLong());
        in.beginList();
        assertEquals(2, in.readLong());
        in.endList();
        assertEquals("b", in.readNullableString());
    }

    @Test
    void rejectsBytesThatAreNotTheExpectedField() {
        Map<String, Consumer<FieldReader>> cases = Map.of(
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
        cases.forEach((hex, read) -> {
            var in = new FieldReader(HEX.parseHex(hex));
            assertThrows(IllegalArgumentException.class, () -> read.accept(in), hex);
        });
        assertThrows(IllegalArgumentException.class, () -> new FieldReader(HEX.parseHex("00")));
        assertThrows(IllegalArgumentException.class, () -> new FieldReader(HEX.parseHex("9f")).readLong());
    }

    // ---- packets ----

    /** Two addresses, message numbers and fields of every width, and more than one packet for the first address. */
    private static void messagesToSend(Outbox out) {
        out.add(FIRST, new Sample(1, 0, null));
        out.add(SECOND, new Sample(23, 5, "b"));
        out.add(FIRST, new Sample(24, -1, "x".repeat(500)));
        out.add(FIRST, new Sample(300, Long.MAX_VALUE, "y".repeat(600)));
        out.add(FIRST, new Sample(70_000, 2, "z".repeat(700)));
        out.add(SECOND, new Sample(1, 24, "caf\u00e9"));
        out.add(FIRST, new Sample(23, 3, ""));
        out.add(new Address("::1", 1), new Sample(1, 1, "last"));
    }

    private static final List<Integer> NUMBERS = List.of(1, 23, 24, 300, 70_000);

    private static List<String> recorded() throws IOException {
        try (InputStream in = RecordedPacketsTest.class.getResourceAsStream(PACKETS)) {
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
        var handler = new SampleHandler(NUMBERS, RecordedPacketsTest::messagesToSend);
        new MessageDispatcher(SENDER, List.of(handler), (to, bytes) -> sent.add(to + " " + HEX.formatHex(bytes)))
                .tick(0);
        assertEquals(recorded(), sent);
    }

    @Test
    void unpacksRecordedPackets() throws IOException {
        var expected = new HashMap<Address, List<Message>>();
        messagesToSend((to, message) ->
                expected.computeIfAbsent(to, any -> new ArrayList<>()).add(message));
        var unpacked = new HashMap<Address, List<Message>>();
        var from = new Address("10.0.0.9", 9);
        for (String line : recorded()) {
            var handler = new SampleHandler(NUMBERS, out -> {});
            var fleet = new MessageDispatcher(new Member("other", 1), List.of(handler), (to, bytes) -> {});
            fleet.onDatagram(from, packet(line), 0);
            assertEquals(
                    List.of(1L, 0L, Map.of()),
                    List.of(
                            fleet.counters().receivedPackets,
                            fleet.counters().skippedMessages,
                            fleet.counters().droppedByReason));
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
        var read = (Packet.DecodeResult.Decoded) Packet.decode(packet(recorded().get(0)), readers);
        assertEquals(List.of(new Sample(1, 0, null)), read.messages());
        assertEquals(List.of(SENDER, 2), List.of(read.from(), read.skippedMessages()));
    }

    @Test
    void dropsRecordedPacketWithAnyByteChanged() throws IOException {
        byte[] bytes = packet(recorded().get(0));
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

    /** A packet without messages, as recorded. */
    private static final String EMPTY = "df24f7f0709a29179f0168726f757465722d311b0000018bcfe5687b9fffff";
    /** The same with version 2 in place of 1. */
    private static final String VERSION_2 = "e255644893f126b89f0268726f757465722d311b0000018bcfe5687b9fffff";
    /** A sender's name of 101 characters, one too many. */
    private static final String LONG_NAME = "fe59adc8fb152b5f9f017865" + "6e".repeat(101) + "1b0000018bcfe5687b9fffff";
    /**
     * Fields that a later release might add: 2 at the end of a message of number 1, and 9 after the list of messages.
     */
    private static final String LATER =
            "8ee9c4ffdacee67f9f0168726f757465722d311b0000018bcfe5687b9f9f01469f07616102ffffff09ff";

    @Test
    void encodesPacketWithoutMessagesAsRecorded() {
        assertEquals(EMPTY, HEX.formatHex(Packet.encode(SENDER, List.of(), List.of())));
    }

    @Test
    void decodesPacketWithoutMessagesAsRecorded() {
        assertEquals(
                new Packet.DecodeResult.Decoded(SENDER, List.of(), 0), Packet.decode(HEX.parseHex(EMPTY), Map.of()));
    }

    @Test
    void dropsRecordedPacketOfAnotherVersion() {
        assertEquals(
                new Packet.DecodeResult.Dropped(Packet.DecodeResult.DropReason.UNSUPPORTED_VERSION),
                Packet.decode(HEX.parseHex(VERSION_2), Map.of()));
    }

    @Test
    void dropsRecordedPacketWithTooLongName() {
        assertEquals(
                new Packet.DecodeResult.Dropped(Packet.DecodeResult.DropReason.MALFORMED),
                Packet.decode(HEX.parseHex(LONG_NAME), Map.of()));
    }

    @Test
    void decodesRecordedPacketWithAdditionalFields() {
        Packet.DecodeResult read = Packet.decode(HEX.parseHex(LATER), Map.of(1, Sample.reader(1)));
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

    /** Characters of a second text that still goes into the packet of a first one of 600. */
    private static final int LONGEST_SECOND_TEXT = 703;

    @Test
    void rejectsMessageLongerThanTheRecordedLimit() {
        var sizes = new ArrayList<Integer>();
        // 1,194 characters make a message of 1,200 bytes: two for the list, one for the number, three before the text.
        var fits = new SampleHandler(List.of(1), out -> out.add(FIRST, new Sample(1, 0, "x".repeat(1194))));
        new MessageDispatcher(SENDER, List.of(fits), (to, bytes) -> sizes.add(bytes.length)).tick(0);
        assertEquals(List.of(1237), sizes);
        var tooLong = new SampleHandler(List.of(1), out -> out.add(FIRST, new Sample(1, 0, "x".repeat(1195))));
        var fleet = new MessageDispatcher(SENDER, List.of(tooLong), (to, bytes) -> {});
        assertThrows(IllegalArgumentException.class, () -> fleet.tick(0));
        assertEquals(0, fleet.counters().sentPackets);
    }
}
