package clayhook.fleet.state;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
import clayhook.fleet.Member;
import clayhook.fleet.Message;
import clayhook.fleet.state.AntiEntropyRequest.RangeRequest;
import clayhook.fleet.state.AntiEntropyRequest.RootDigestsRequest;
import clayhook.fleet.state.AntiEntropyRequest.TreeNodeRequest;
import clayhook.fleet.state.AntiEntropyRequest.VersionVectorRequest;
import clayhook.fleet.state.AntiEntropyResponse.ChildDigest;
import clayhook.fleet.state.AntiEntropyResponse.RangeEntries;
import clayhook.fleet.state.AntiEntropyResponse.RangeEntry;
import clayhook.fleet.state.AntiEntropyResponse.RootDigestsResponse;
import clayhook.fleet.state.AntiEntropyResponse.TreeNodeResponse;
import clayhook.fleet.state.AntiEntropyResponse.VersionVectorUpdate;
import clayhook.fleet.state.DeltaBroadcast.DeltaEntry;
import java.lang.reflect.Array;
import java.lang.reflect.RecordComponent;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards the compatibility of releases. During a rolling upgrade, routers of two releases exchange state messages, so
 * the encoding of each message and the hashes in it must not change. Each recording is the hexadecimal form of the
 * encoded fields of a message.
 */
class RecordedStateMessagesTest {
    private static final double NOW = 1_700_000_000.5;
    private static final double FOREVER = Double.POSITIVE_INFINITY;

    /** A message and its recorded encoding; {@code number} is the message type number, which selects the decoder. */
    private record Recording(String name, int number, StateMessage message, String hex) {
        byte[] bytes() {
            return HexFormat.of().parseHex(hex.replace(" ", ""));
        }

        @Override
        public String toString() {
            return name;
        }
    }

    static Stream<Recording> recordings() {
        return Stream.of(
                new Recording(
                        "delta broadcast without entries",
                        20,
                        new DeltaBroadcast(0, 0, List.of()),
                        "9f00fb00000000000000009fffff"),
                new Recording(
                        "delta broadcast",
                        20,
                        deltaBroadcast(),
                        "9f1a00011170fb41d954fc402000009f9f00616b409fffff9f176f72c3bc74657220e282ac20f09f98804500"
                                + "017f80ff9f2001ffff9f18186973657373696f6e2031439f01ff9f3b7fffffffffffffff171b7fffffffffff"
                                + "ffff18180018ff011901000219ffff031a00010000041b00000001000000000500ffff9f18ff790100"
                                + "6b".repeat(256)
                                + "581e"
                                + "00".repeat(30)
                                + "9f1b0123456789abcdef1b0000010000000000ffffffff"),
                new Recording(
                        "version vector update without members",
                        21,
                        new VersionVectorUpdate(0, 0, NOW, List.of()),
                        "9f0000fb41d954fc402000009fffff"),
                new Recording(
                        "version vector update",
                        21,
                        versionVectorUpdate(),
                        "9f381a181cfb41d954fc402000009f9f000000ff9f200118faff9f3b7fffffffffffffff18ff3901f3ff9f1b"
                                + "7fffffffffffffff1b00000100000000001a05265c00ffffff"),
                new Recording(
                        "version vector request without members",
                        22,
                        new VersionVectorRequest(1, 0, List.of()),
                        "9f01009fffff"),
                new Recording(
                        "version vector request",
                        22,
                        new VersionVectorRequest(
                                -2,
                                Integer.MAX_VALUE - 1,
                                List.of(0L, -1L, Long.MIN_VALUE, Long.MAX_VALUE, 255L, 256L, 65_536L, 1L << 32)),
                        "9f211a7ffffffe9f00203b7fffffffffffffff1b7fffffffffffffff18ff1901001a000100001b0000000100"
                                + "000000ffff"),
                new Recording(
                        "version vector request for the most members",
                        22,
                        new VersionVectorRequest(
                                3,
                                4,
                                LongStream.range(0, VersionVectorRequest.MAX_REQUESTED_ORIGINS)
                                        .boxed()
                                        .toList()),
                        "9f03049f000102030405060708090a0b0c0d0e0f101112131415161718181819181a181b181c181d181e181f"
                                + "18201821182218231824182518261827ffff"),
                new Recording(
                        "root digests request without types",
                        23,
                        new RootDigestsRequest(5, 6, List.of()),
                        "9f05069fffff"),
                new Recording(
                        "root digests request",
                        23,
                        new RootDigestsRequest(Long.MAX_VALUE, 7, rootDigests()),
                        "9f1b7fffffffffffffff079f9f00fbfff0000000000000fbfff000000000000000ff9f01fb41d954fc3c2000"
                                + "00fb41d954fc3b20000020ff9f18fffb0000000000000000fbbfe00000000000003b7fffffffffffffffffff"
                                + "ff"),
                new Recording(
                        "root digests response without types",
                        24,
                        new RootDigestsResponse(8, 9, false, List.of()),
                        "9f0809f49fffff"),
                new Recording(
                        "root digests response",
                        24,
                        new RootDigestsResponse(Long.MIN_VALUE, 10, true, rootDigests()),
                        "9f3b7fffffffffffffff0af59f9f00fbfff0000000000000fbfff000000000000000ff9f01fb41d954fc3c20"
                                + "0000fb41d954fc3b20000020ff9f18fffb0000000000000000fbbfe00000000000003b7fffffffffffffffff"
                                + "ffff"),
                new Recording(
                        "request for the root node",
                        25,
                        new TreeNodeRequest(11, 12, 0, -FOREVER, 0, 0),
                        "9f0b0c00fbfff00000000000000000ff"),
                new Recording(
                        "request for the last inner node",
                        25,
                        new TreeNodeRequest(-13, 14, 255, NOW, 2, 255),
                        "9f2c0e18fffb41d954fc402000000218ffff"),
                new Recording(
                        "tree node response",
                        26,
                        new TreeNodeResponse(15, 16, -FOREVER, NOW - 60, children()),
                        "9f0f10fbfff0000000000000fb41d954fc312000009f003b61c8864680b583ea1b3c6ef372fe94f82a3b2559"
                                + "92d382208bc01b78dde6e5fd29f0541b1715609f7c746c693b4ab325a7044117811b538454127b0964933b0e"
                                + "44323405ac1f573b700cb87a8661a3421b2e2ac13ef8e8d8d23b339dc50787ccab181b6a99b4b1f77dd0fc1b"
                                + "08d12e6b76c84d113b58f757db09ed36d91b454021de755d453bff9f00030f183f18ff1903ff190fff193fff"
                                + "19ffff1a0003ffff1a000fffff1a003fffff1a00ffffff1a03ffffff1a0fffffff1a3fffffffffff"),
                new Recording(
                        "request for all hashes",
                        27,
                        new RangeRequest(17, 18, 1, 0, -1, List.of()),
                        "9f11120100209fffff"),
                new Recording(
                        "request for a range",
                        27,
                        new RangeRequest(
                                -19,
                                20,
                                255,
                                0x1230L << 48,
                                (0x1231L << 48) - 1,
                                List.of(Integer.MIN_VALUE, -1, 0, 1, Integer.MAX_VALUE)),
                        "9f321418ff1b12300000000000001b1230ffffffffffff9f3a7fffffff2000011a7fffffffffff"),
                new Recording(
                        "request for a range with the most fingerprints",
                        27,
                        new RangeRequest(
                                21,
                                22,
                                2,
                                -2,
                                -1,
                                IntStream.range(0, RangeRequest.MAX_FINGERPRINTS)
                                        .boxed()
                                        .toList()),
                        "9f15160221209f000102030405060708090a0b0c0d0e0f101112131415161718181819181a181b181c181d18"
                                + "1e181f1820182118221823182418251826182718281829182a182b182c182d182e182f183018311832183318"
                                + "3418351836183718381839183a183b183c183dffff"),
                new Recording(
                        "range without entries",
                        28,
                        new RangeEntries(23, 24, 3, -FOREVER, -1, 0, List.of()),
                        "9f17181803fbfff000000000000020009fffff"),
                new Recording(
                        "range of entries",
                        28,
                        new RangeEntries(-25, 26, 255, NOW - 3600, 0x7fffL << 48, 0x3fff_ffff_ffff_ffffL, entries()),
                        "9f3818181a18fffb41d954f8bc2000001b7fff0000000000001b3fffffffffffffff9f9f616b40ff9f6f72c3"
                                + "bc74657220e282ac20f09f988044007f80ffff9f790100"
                                + "6b".repeat(256)
                                + "581e"
                                + "00".repeat(30)
                                + "ffffff"),
                new Recording(
                        "pushed entries",
                        28,
                        new RangeEntries(0, 0, 4, -FOREVER, 0, 0, entries().subList(0, 1)),
                        "9f000004fbfff000000000000000009f9f616b40ffffff"));
    }

    private static DeltaBroadcast deltaBroadcast() {
        return new DeltaBroadcast(
                70_000,
                NOW,
                List.of(
                        new DeltaEntry(0, "k", new byte[0], List.of()),
                        new DeltaEntry(
                                23,
                                "r\u00fcter \u20ac \ud83d\ude00",
                                bytes(0, 1, 127, 128, 255),
                                List.of(new UpdateId(-1, 1))),
                        new DeltaEntry(24, "session 1", bytes(0x9f, 0x01, 0xff), mostUpdateIds()),
                        new DeltaEntry(
                                255,
                                "k".repeat(256),
                                new byte[30],
                                List.of(new UpdateId(0x0123_4567_89ab_cdefL, 1L << 40)))));
    }

    private static List<UpdateId> mostUpdateIds() {
        return List.of(
                new UpdateId(Long.MIN_VALUE, 23),
                new UpdateId(Long.MAX_VALUE, 24),
                new UpdateId(0, 255),
                new UpdateId(1, 256),
                new UpdateId(2, 65_535),
                new UpdateId(3, 65_536),
                new UpdateId(4, 1L << 32),
                new UpdateId(5, 0));
    }

    /** Returns an update whose version ages are whole milliseconds, so that decoding restores the same times. */
    private static VersionVectorUpdate versionVectorUpdate() {
        return new VersionVectorUpdate(
                -27,
                28,
                NOW,
                List.of(
                        new OriginVersion(0, 0, NOW),
                        new OriginVersion(-1, 1, NOW - 0.25),
                        new OriginVersion(Long.MIN_VALUE, 255, NOW + 0.5),
                        new OriginVersion(Long.MAX_VALUE, 1L << 40, NOW - 86_400)));
    }

    private static List<RootDigest> rootDigests() {
        return List.of(
                new RootDigest(0, -FOREVER, -FOREVER, 0),
                new RootDigest(1, NOW - 16, NOW - 20, -1),
                new RootDigest(255, 0, -0.5, Long.MIN_VALUE));
    }

    private static List<ChildDigest> children() {
        return IntStream.range(0, HashTree.FANOUT)
                .mapToObj(i -> new ChildDigest(i * 0x9e37_79b9_7f4a_7c15L, (1L << (2 * i)) - 1))
                .toList();
    }

    private static List<RangeEntry> entries() {
        return List.of(
                new RangeEntry("k", new byte[0]),
                new RangeEntry("r\u00fcter \u20ac \ud83d\ude00", bytes(0, 127, 128, 255)),
                new RangeEntry("k".repeat(256), new byte[30]));
    }

    private static byte[] bytes(int... values) {
        byte[] out = new byte[values.length];
        for (int i = 0; i < values.length; i++) {
            out[i] = (byte) values[i];
        }
        return out;
    }

    private static String encode(Message message) {
        var out = new FieldWriter();
        message.write(out);
        return HexFormat.of().formatHex(out.toByteArray());
    }

    private static Message decode(int number, byte[] bytes) {
        return StateMessage.messageReaders().get(number).apply(new FieldReader(bytes));
    }

    /** Converts a message to nested lists for comparison, since records compare arrays by identity. */
    private static Object toNestedLists(Object value) throws ReflectiveOperationException {
        var out = new ArrayList<Object>();
        if (value instanceof Record) {
            for (RecordComponent component : value.getClass().getRecordComponents()) {
                component.getAccessor().setAccessible(true);
                out.add(toNestedLists(component.getAccessor().invoke(value)));
            }
        } else if (value instanceof List<?> list) {
            for (Object each : list) {
                out.add(toNestedLists(each));
            }
        } else if (value.getClass().isArray()) {
            for (int i = 0; i < Array.getLength(value); i++) {
                out.add(Array.get(value, i));
            }
        } else {
            return value;
        }
        return out;
    }

    @ParameterizedTest
    @MethodSource("recordings")
    void encodesToTheRecordedBytes(Recording recording) {
        assertEquals(recording.number, recording.message.typeNumber());
        assertEquals(HexFormat.of().formatHex(recording.bytes()), encode(recording.message));
    }

    @ParameterizedTest
    @MethodSource("recordings")
    void decodesTheRecordedBytes(Recording recording) throws ReflectiveOperationException {
        Message decoded = decode(recording.number, recording.bytes());
        assertEquals(recording.message.getClass(), decoded.getClass());
        assertEquals(toNestedLists(recording.message), toNestedLists(decoded));
    }

    /** An encoded message is a list (9f ... ff) to which later releases append fields. */
    @ParameterizedTest
    @MethodSource("recordings")
    void ignoresFieldsOfALaterRelease(Recording recording) throws ReflectiveOperationException {
        byte[] known = recording.bytes();
        byte[] more = HexFormat.of().parseHex("187b" + "9f0102ff" + "fb4059000000000000" + "f5" + "6161" + "ff");
        byte[] longer = Arrays.copyOf(known, known.length - 1 + more.length);
        System.arraycopy(more, 0, longer, known.length - 1, more.length);
        assertEquals(toNestedLists(recording.message), toNestedLists(decode(recording.number, longer)));
    }

    @ParameterizedTest
    @MethodSource("recordings")
    void rejectsTruncatedBytes(Recording recording) {
        byte[] bytes = recording.bytes();
        for (int length = 1; length < bytes.length - 1; length++) {
            byte[] cut = Arrays.copyOf(bytes, length);
            assertThrows(
                    IllegalArgumentException.class, () -> decode(recording.number, cut), "cut to " + length + " bytes");
        }
    }

    /** Guards against message types that are removed or added without a recording. */
    @Test
    void everyMessageTypeIsRecorded() {
        Set<Integer> recorded =
                new TreeSet<>(recordings().map(Recording::number).toList());
        assertEquals(new TreeSet<>(IntStream.rangeClosed(20, 28).boxed().toList()), recorded);
        assertEquals(recorded, new TreeSet<>(StateMessage.messageReaders().keySet()));
    }

    /** Ages are rounded up, so that a receiver never decodes a later time than the original one. */
    @Test
    void encodesAgesInMillisecondsRoundedUp() {
        var exact = new VersionVectorUpdate(0, 0, NOW, List.of(new OriginVersion(1, 2, NOW - 0.25)));
        var rounded = new VersionVectorUpdate(0, 0, NOW, List.of(new OriginVersion(1, 2, NOW - 0.249_5)));
        assertEquals(encode(exact), encode(rounded));
    }

    private static FieldWriter writeFields(long... values) {
        var out = new FieldWriter();
        Arrays.stream(values).forEach(out::writeLong);
        return out;
    }

    private static FieldWriter writeLongList(FieldWriter out, int size) {
        out.beginList();
        IntStream.range(0, size).forEach(out::writeLong);
        return out.endList();
    }

    private static FieldWriter writeLists(FieldWriter out, int size, Runnable fields) {
        out.beginList();
        for (int i = 0; i < size; i++) {
            out.beginList();
            fields.run();
            out.endList();
        }
        return out.endList();
    }

    private static FieldWriter writeRootDigest(FieldWriter out, int replicatedType) {
        return out.writeLong(replicatedType).writeDouble(1).writeDouble(2).writeLong(3);
    }

    private static FieldWriter writeDelta(FieldWriter out, int replicatedType, String key, int updateIds) {
        return writeLongList(
                out.writeLong(replicatedType).writeNullableString(key).writeBytes(new byte[1]), updateIds);
    }

    /** An encoded message at a bound of the decoder and one just beyond it, which the decoder must reject. */
    private record Bound(String name, int number, FieldWriter within, FieldWriter beyond) {
        @Override
        public String toString() {
            return name;
        }
    }

    static Stream<Bound> bounds() {
        FieldWriter[] out = new FieldWriter[26];
        for (int i = 0; i < out.length; i++) {
            out[i] = new FieldWriter();
        }
        return Stream.of(
                new Bound(
                        "type of a delta",
                        20,
                        writeLists(out[0].writeLong(1).writeDouble(2), 1, () -> writeDelta(out[0], 255, "k", 0)),
                        writeLists(out[1].writeLong(1).writeDouble(2), 1, () -> writeDelta(out[1], 256, "k", 0))),
                new Bound(
                        "key of a delta",
                        20,
                        writeLists(
                                out[2].writeLong(1).writeDouble(2),
                                1,
                                () -> writeDelta(out[2], 1, "k".repeat(4096), 0)),
                        writeLists(out[3].writeLong(1).writeDouble(2), 1, () -> writeDelta(out[3], 1, "", 0))),
                new Bound(
                        "update ids of a delta",
                        20,
                        writeLists(out[4].writeLong(1).writeDouble(2), 1, () -> writeDelta(out[4], 1, "k", 16)),
                        writeLists(out[5].writeLong(1).writeDouble(2), 1, () -> writeDelta(out[5], 1, "k", 17))),
                new Bound(
                        "entries of a delta broadcast",
                        20,
                        writeLists(out[6].writeLong(1).writeDouble(2), 256, () -> writeDelta(out[6], 1, "k", 0)),
                        writeLists(out[7].writeLong(1).writeDouble(2), 257, () -> writeDelta(out[7], 1, "k", 0))),
                new Bound(
                        "version vector update",
                        21,
                        writeLists(out[8].writeLong(1).writeLong(2).writeDouble(3), 256, () -> out[8].writeLong(1)
                                .writeLong(2)
                                .writeLong(250)),
                        writeLists(out[9].writeLong(1).writeLong(2).writeDouble(3), 257, () -> out[9].writeLong(1)
                                .writeLong(2)
                                .writeLong(250))),
                new Bound(
                        "id of a request",
                        22,
                        writeLongList(writeFields(1, Integer.MAX_VALUE - 1), 1),
                        writeLongList(writeFields(1, Integer.MAX_VALUE), 1)),
                new Bound(
                        "members of a version vector request",
                        22,
                        writeLongList(writeFields(1, 2), 40),
                        writeLongList(writeFields(1, 2), 41)),
                new Bound(
                        "digests of a root digests request",
                        23,
                        writeLists(out[10].writeLong(1).writeLong(2), 256, () -> writeRootDigest(out[10], 255)),
                        writeLists(out[11].writeLong(1).writeLong(2), 257, () -> writeRootDigest(out[11], 255))),
                new Bound(
                        "type of a root digest",
                        24,
                        writeLists(
                                out[12].writeLong(1).writeLong(2).writeBoolean(true),
                                256,
                                () -> writeRootDigest(out[12], 255)),
                        writeLists(
                                out[13].writeLong(1).writeLong(2).writeBoolean(true),
                                1,
                                () -> writeRootDigest(out[13], 256))),
                new Bound(
                        "level of a node",
                        25,
                        out[14].writeLong(1)
                                .writeLong(2)
                                .writeLong(3)
                                .writeDouble(4)
                                .writeLong(2)
                                .writeLong(255),
                        out[15].writeLong(1)
                                .writeLong(2)
                                .writeLong(3)
                                .writeDouble(4)
                                .writeLong(3)
                                .writeLong(0)),
                new Bound(
                        "index of a node",
                        25,
                        out[16].writeLong(1)
                                .writeLong(2)
                                .writeLong(3)
                                .writeDouble(4)
                                .writeLong(1)
                                .writeLong(15),
                        out[17].writeLong(1)
                                .writeLong(2)
                                .writeLong(3)
                                .writeDouble(4)
                                .writeLong(1)
                                .writeLong(16)),
                new Bound(
                        "minimum of hash sums of a node",
                        26,
                        writeLongList(
                                writeLongList(
                                        out[18].writeLong(1)
                                                .writeLong(2)
                                                .writeDouble(3)
                                                .writeDouble(4),
                                        16),
                                16),
                        writeLongList(
                                writeLongList(
                                        out[19].writeLong(1)
                                                .writeLong(2)
                                                .writeDouble(3)
                                                .writeDouble(4),
                                        15),
                                16)),
                new Bound(
                        "maximum of entry counts of a node",
                        26,
                        writeLongList(
                                writeLongList(
                                        out[20].writeLong(1)
                                                .writeLong(2)
                                                .writeDouble(3)
                                                .writeDouble(4),
                                        16),
                                16),
                        writeLongList(
                                writeLongList(
                                        out[21].writeLong(1)
                                                .writeLong(2)
                                                .writeDouble(3)
                                                .writeDouble(4),
                                        16),
                                17)),
                new Bound(
                        "fingerprints",
                        27,
                        writeLongList(writeFields(1, 2, 255, 4, 5), 62),
                        writeLongList(writeFields(1, 2, 255, 4, 5), 63)),
                new Bound(
                        "range of entries",
                        28,
                        writeLists(
                                out[22].writeLong(1)
                                        .writeLong(2)
                                        .writeLong(3)
                                        .writeDouble(4)
                                        .writeLong(5)
                                        .writeLong(6),
                                256,
                                () -> out[22].writeNullableString("k").writeBytes(new byte[1])),
                        writeLists(
                                out[23].writeLong(1)
                                        .writeLong(2)
                                        .writeLong(3)
                                        .writeDouble(4)
                                        .writeLong(5)
                                        .writeLong(6),
                                257,
                                () -> out[23].writeNullableString("k").writeBytes(new byte[1]))),
                new Bound(
                        "eviction floor that is not a number",
                        28,
                        writeLists(
                                out[24].writeLong(1)
                                        .writeLong(2)
                                        .writeLong(3)
                                        .writeDouble(-FOREVER)
                                        .writeLong(5)
                                        .writeLong(6),
                                0,
                                () -> {}),
                        writeLists(
                                out[25].writeLong(1)
                                        .writeLong(2)
                                        .writeLong(3)
                                        .writeDouble(Double.NaN)
                                        .writeLong(5)
                                        .writeLong(6),
                                0,
                                () -> {})));
    }

    @ParameterizedTest
    @MethodSource("bounds")
    void rejectsFieldsBeyondTheirBounds(Bound bound) {
        byte[] within = bound.within.toByteArray();
        byte[] beyond = bound.beyond.toByteArray();
        assertEquals(HexFormat.of().formatHex(within), encode(decode(bound.number, within)));
        assertThrows(IllegalArgumentException.class, () -> decode(bound.number, beyond));
    }

    /**
     * These hashes are sent in messages or determine which ranges are compared, so they must be equal in all releases.
     */
    @Test
    void hashesMatchRecording() {
        assertEquals(
                Map.of(
                        "key", -8853014096565276663L,
                        "key beyond ASCII", 1257999140883978802L,
                        "entry", 4574474288793154412L,
                        "empty entry", -2106646935190566307L,
                        "fingerprint", -1187007122L,
                        "member", -3665406089380348712L),
                Map.of(
                        "key", StableHash.ofKey("session 1"),
                        "key beyond ASCII", StableHash.ofKey("r\u00fcter \u20ac \ud83d\ude00"),
                        "entry", StableHash.ofEntry(StableHash.ofKey("session 1"), bytes(0x9f, 0x01, 0xff)),
                        "empty entry", StableHash.ofEntry(-1, new byte[0]),
                        "fingerprint", (long) StableHash.fingerprint(0x0123_4567_89ab_cdefL, -27),
                        "member", StableHash.ofMember(new Member("router-1", 1_700_000_000_123L))));
    }

    /**
     * Hash sums of nodes and the bounds of their ranges are sent in messages, so they must be equal in all releases.
     */
    @Test
    void hashTreeNodesMatchRecording() {
        var tree = new HashTree();
        tree.add(0xfedc_ba98_7654_3210L, 5);
        tree.add(0xfedc_0000_0000_0000L, -7);
        tree.add(0x0123_4567_89ab_cdefL, Long.MAX_VALUE);
        tree.remove(0x0123_4567_89ab_cdefL, Long.MAX_VALUE);
        tree.add(0x0000_0000_0000_0000L, 100);
        assertArrayEquals(new long[] {98, 100, -2, -2, -2, 0, 0}, new long[] {
            tree.hashSum(0, 0),
            tree.hashSum(1, 0),
            tree.hashSum(1, 15),
            tree.hashSum(2, 0xfe),
            tree.hashSum(3, 0xfed),
            tree.hashSum(3, 0xfdc),
            tree.hashSum(3, 0x012)
        });
        assertArrayEquals(new int[] {3, 1, 2, 2, 2, 0, 0}, new int[] {
            tree.entryCount(0, 0),
            tree.entryCount(1, 0),
            tree.entryCount(1, 15),
            tree.entryCount(2, 0xfe),
            tree.entryCount(3, 0xfed),
            tree.entryCount(3, 0xfdc),
            tree.entryCount(3, 0x012)
        });
        assertArrayEquals(
                new long[] {0, 0xf000_0000_0000_0000L, 0xfe00_0000_0000_0000L, 0x0120_0000_0000_0000L}, new long[] {
                    HashTree.firstHash(0, 0),
                    HashTree.firstHash(1, 15),
                    HashTree.firstHash(2, 0xfe),
                    HashTree.firstHash(3, 0x012)
                });
        assertArrayEquals(new long[] {-1, -1, 0xfeff_ffff_ffff_ffffL, 0x012f_ffff_ffff_ffffL}, new long[] {
            HashTree.lastHash(0, 0), HashTree.lastHash(1, 15), HashTree.lastHash(2, 0xfe), HashTree.lastHash(3, 0x012)
        });
    }
}
