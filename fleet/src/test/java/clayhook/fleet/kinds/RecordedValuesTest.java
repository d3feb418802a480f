package clayhook.fleet.kinds;

import static org.junit.jupiter.api.Assertions.assertEquals;

import clayhook.fleet.ReplicatedType;
import clayhook.fleet.Member;
import clayhook.fleet.FieldReader;
import clayhook.fleet.RecordedBytes;
import clayhook.fleet.FieldWriter;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;

/** Every replicated value and key is read from, and written to, the bytes that were recorded for it. */
class RecordedValuesTest {
    private static final Map<String, byte[]> VALUE_BYTES = RecordedBytes.load("replicated-values.txt");
    private static final Map<String, byte[]> KEY_BYTES = RecordedBytes.load("replicated-keys.txt");
    private static final double NOW = 1_700_000_000.25;
    private static final String WIDE_NAME = "r\u00fcter-\u20ac-\ud83d\ude00";
    /** Beyond what keys and values hold, so that it is cut and ends with a hash. */
    private static final String LONG_NAME = "longer than a name may be \u20ac ".repeat(8);

    private static final Map<String, Case<?>> VALUES = values();
    private static final Map<String, String> KEYS = keys();

    /** A value and the kind that reads and writes it. */
    private record Case<V>(ReplicatedType<V> kind, V value) {
        byte[] encoded() {
            var out = new FieldWriter();
            kind.write(value, out);
            return out.toByteArray();
        }

        void assertReadFrom(byte[] bytes) {
            assertEquals(value, kind.read(new FieldReader(bytes)));
        }
    }

    private static Map<String, Case<?>> values() {
        var values = new LinkedHashMap<String, Case<?>>();
        evidence().forEach((name, value) -> values.put("evidence-" + name, new Case<>(Evidence.KIND, value)));
        listed().forEach((name, value) -> values.put("listed-" + name, new Case<>(Listed.KIND, value)));
        values.put("mark", new Case<>(Mark.KIND, new Mark(NOW, 1)));
        values.put("mark-of-extremes", new Case<>(Mark.KIND, new Mark(0, (1 << 20) - 1)));
        fates().forEach((name, value) -> values.put("fate-" + name, new Case<>(Fate.KIND, value)));
        values.put("use", new Case<>(Use.KIND, new Use(1234.5, 0.1, NOW)));
        values.put("use-none", new Case<>(Use.KIND, new Use(0, 0, 0)));
        return values;
    }

    private static Map<String, Evidence> evidence() {
        Evidence none = Evidence.none(NOW - 100);
        var one = Sight.of(NOW, "router-1");
        var two = Sight.of(NOW + 1.1, WIDE_NAME);
        var three = Sight.of(NOW + 2, LONG_NAME);
        var evidence = new LinkedHashMap<String, Evidence>();
        evidence.put("none", none);
        evidence.put("of-long-ago", Evidence.none(0));
        evidence.put("position", none.told(NOW - 0.5, 0.25, one));
        evidence.put("lag-alone", none.told(-1, 0.25, one));
        evidence.put("primary", none.role(true, one));
        evidence.put("replica", none.role(false, two));
        evidence.put("heard", none.heard(three));
        evidence.put("failed", none.failed(1, one));
        evidence.put(
                "failed-for-several",
                none.failed(1000, one)
                        .failed(2, two)
                        .failed(3, three)
                        .failed(4, Sight.of(NOW - 1, "router-4"))
                        .failed(5, Sight.of(NOW - 2, "router-5")));
        evidence.put("slowness", none.pace(1.5, one));
        evidence.put("load", none.load(300, two));
        evidence.put(
                "one-sight",
                none.told(NOW, 0, one).role(true, one).heard(one).load(1e6, one).pace(1000, one));
        evidence.put(
                "all",
                none.told(NOW - 3, 1e6, one)
                        .role(true, two)
                        .role(false, three)
                        .heard(Sight.of(NOW - 5, "router-4"))
                        .pace(0.001, Sight.of(NOW - 6, "router-5"))
                        .load(7, Sight.of(NOW - 7, "router-6"))
                        .failed(8, Sight.of(NOW - 4, "router-7"))
                        .failed(9, two));
        evidence.put("of-a-later-sight", Evidence.KIND.merge(none.heard(one), Evidence.none(NOW - 50)));
        return evidence;
    }

    private static Map<String, Listed> listed() {
        var listed = new LinkedHashMap<String, Listed>();
        listed.put("ready", new Listed(7, Listed.State.READY, NOW - 10, true, "zone-a", 1, "10.0.0.1", 5432, NOW));
        listed.put(
                "draining",
                new Listed(
                        300,
                        Listed.State.DRAINING,
                        0,
                        false,
                        WIDE_NAME,
                        (1 << 20) - 1,
                        "node.example.org",
                        65_535,
                        NOW + 0.1));
        listed.put("gone", listed.get("ready").gone(Long.MAX_VALUE, NOW + 1));
        listed.put("of-revision", Listed.ofRevision(1L << 40, NOW));
        return listed;
    }

    private static Map<String, Fate> fates() {
        var unlabelled = Fate.Sent.of(NOW, 1, "pay", null);
        var labelled = Fate.Sent.of(NOW + 0.1, (1 << 20) - 1, WIDE_NAME, "label " + WIDE_NAME);
        var witness = Fate.Witness.of(NOW + 1, "router-1", "node-1");
        var other = Fate.Witness.of(NOW + 2, WIDE_NAME, LONG_NAME);
        var fates = new LinkedHashMap<String, Fate>();
        fates.put("unknown", Fate.unknown(unlabelled));
        fates.put("unknown-labelled", Fate.unknown(labelled));
        fates.put("unknown-of-long-names", Fate.unknown(Fate.Sent.of(0, 0, LONG_NAME, LONG_NAME)));
        fates.put("ran", Fate.ran(unlabelled, witness));
        fates.put("not-run", Fate.notRun(labelled, other));
        fates.put("conflict", Fate.KIND.merge(Fate.ran(unlabelled, other), Fate.notRun(labelled, witness)));
        return fates;
    }

    private static Map<String, String> keys() {
        var keys = new LinkedHashMap<String, String>();
        for (Map.Entry<String, String> each : Map.of(
                        "plain", "node-1", "wide", WIDE_NAME, "long", LONG_NAME.repeat(2), "control", "a\u0007b")
                .entrySet()
                .stream()
                .sorted(Map.Entry.comparingByKey())
                .toList()) {
            String name = each.getValue();
            keys.put("evidence-" + each.getKey(), Evidence.key(name));
            keys.put("listed-" + each.getKey(), Listed.key("10.0.0.9:7000", name));
            keys.put("listed-source-" + each.getKey(), Listed.key(name, ""));
            keys.put("mark-" + each.getKey(), Mark.key(name));
            keys.put("fate-" + each.getKey(), Fate.key(name));
            keys.put("use-" + each.getKey(), Use.key(Use.PROBES, new Member(name, 1_700_000_000_123L)));
            keys.put("use-cold-" + each.getKey(), Use.key(Use.cold(name, NOW), new Member("router-1", -1)));
            keys.put("sight-" + each.getKey(), Sight.of(NOW, name).by());
        }
        keys.put("use-repeats", Use.key(Use.REPEATS, new Member("router-1", 0)));
        keys.put("use-cold-of-long-ago", Use.cold("node-1", 0));
        return keys;
    }

    private static String hex(byte[] bytes) {
        return bytes == null ? "not recorded" : HexFormat.of().formatHex(bytes);
    }

    private static String hex(String text) {
        var out = new FieldWriter().writeNullableString(text).toByteArray();
        return hex(out);
    }

    @TestFactory
    Stream<DynamicTest> valueIsWrittenAsRecorded() {
        return VALUES.entrySet().stream()
                .map(each -> DynamicTest.dynamicTest(
                        each.getKey(),
                        () -> assertEquals(
                                hex(VALUE_BYTES.get(each.getKey())),
                                hex(each.getValue().encoded()),
                                each.getKey())));
    }

    @TestFactory
    Stream<DynamicTest> recordedBytesAreReadAsTheValue() {
        return VALUES.entrySet().stream()
                .map(each -> DynamicTest.dynamicTest(
                        each.getKey(), () -> each.getValue().assertReadFrom(VALUE_BYTES.get(each.getKey()))));
    }

    @TestFactory
    Stream<DynamicTest> keyIsMadeAsRecorded() {
        return KEYS.entrySet().stream()
                .map(each -> DynamicTest.dynamicTest(
                        each.getKey(),
                        () -> assertEquals(hex(KEY_BYTES.get(each.getKey())), hex(each.getValue()), each.getKey())));
    }

    @Test
    void recordedKeysAreReadAsTheirParts() {
        assertEquals(List.of("10.0.0.9:7000", "node-1"), Listed.parts(recordedKey("listed-plain")));
        assertEquals(List.of("10.0.0.9:7000", WIDE_NAME), Listed.parts(recordedKey("listed-wide")));
        assertEquals(List.of("node-1", ""), Listed.parts(recordedKey("listed-source-plain")));
        assertEquals(
                new Use.Owner("probes", new Member("node-1", 1_700_000_000_123L)), Use.owner(recordedKey("use-plain")));
        assertEquals(new Use.Owner("repeats", new Member("router-1", 0)), Use.owner(recordedKey("use-repeats")));
        assertEquals(
                new Use.Owner("cold node-1 1.70000000025E9", new Member("router-1", -1)),
                Use.owner(recordedKey("use-cold-plain")));
    }

    private static String recordedKey(String name) {
        return new FieldReader(KEY_BYTES.get(name)).readNullableString();
    }

    @Test
    void everyFormIsRecorded() {
        assertEquals(VALUES.keySet(), VALUE_BYTES.keySet());
        assertEquals(KEYS.keySet(), KEY_BYTES.keySet());
        assertEquals(
                Set.of(Evidence.KIND, Listed.KIND, Mark.KIND, Fate.KIND, Use.KIND),
                VALUES.values().stream().map(Case::kind).collect(Collectors.toSet()));
        var states = new HashSet<Listed.State>();
        var knowledge = new HashSet<Fate.Knowledge>();
        for (Case<?> each : VALUES.values()) {
            if (each.value() instanceof Listed listed) {
                states.add(listed.state());
            } else if (each.value() instanceof Fate fate) {
                knowledge.add(fate.knowledge());
            }
        }
        assertEquals(EnumSet.allOf(Listed.State.class), states);
        assertEquals(EnumSet.allOf(Fate.Knowledge.class), knowledge);
    }

    @Test
    void kindKeepsItsNumberAndName() {
        assertEquals(List.of(1, 2, 3, 4, 5), kinds().map(ReplicatedType::typeNumber).toList());
        assertEquals(
                List.of("evidence", "listed", "marks", "fates", "use"),
                kinds().map(ReplicatedType::name).toList());
    }

    private static Stream<ReplicatedType<?>> kinds() {
        return Stream.of(Evidence.KIND, Listed.KIND, Mark.KIND, Fate.KIND, Use.KIND);
    }
}
