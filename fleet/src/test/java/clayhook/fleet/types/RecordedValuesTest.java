package clayhook.fleet.types;

import static org.junit.jupiter.api.Assertions.assertEquals;

import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
import clayhook.fleet.Member;
import clayhook.fleet.RecordedBytes;
import clayhook.fleet.ReplicatedType;
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

/** Tests that every replicated value and key is encoded to, and decoded from, the bytes recorded for it. */
class RecordedValuesTest {
    private static final Map<String, byte[]> VALUE_BYTES = RecordedBytes.load("replicated-values.txt");
    private static final Map<String, byte[]> KEY_BYTES = RecordedBytes.load("replicated-keys.txt");
    private static final double NOW = 1_700_000_000.25;
    private static final String MULTIBYTE_NAME = "r\u00fcter-\u20ac-\ud83d\ude00";
    /** A name longer than keys and values can hold, so that it is truncated and ends with a hash. */
    private static final String LONG_NAME = "longer than a name may be \u20ac ".repeat(8);

    private static final Map<String, RecordedValue<?>> VALUES = values();
    private static final Map<String, String> KEYS = keys();

    /** A value and the replicated type that encodes it. */
    private record RecordedValue<V>(ReplicatedType<V> type, V value) {
        byte[] encoded() {
            var out = new FieldWriter();
            type.write(value, out);
            return out.toByteArray();
        }

        void assertDecodedFrom(byte[] bytes) {
            assertEquals(value, type.read(new FieldReader(bytes)));
        }
    }

    private static Map<String, RecordedValue<?>> values() {
        var values = new LinkedHashMap<String, RecordedValue<?>>();
        observations()
                .forEach((name, value) ->
                        values.put("observation-" + name, new RecordedValue<>(NodeObservation.TYPE, value)));
        endpoints()
                .forEach(
                        (name, value) -> values.put("listed-" + name, new RecordedValue<>(ListedEndpoint.TYPE, value)));
        values.put("session-write", new RecordedValue<>(SessionWrite.TYPE, new SessionWrite(NOW, 1)));
        values.put(
                "session-write-of-extremes",
                new RecordedValue<>(SessionWrite.TYPE, new SessionWrite(0, (1 << 20) - 1)));
        outcomes()
                .forEach((name, value) -> values.put("outcome-" + name, new RecordedValue<>(WriteOutcome.TYPE, value)));
        values.put("quota-usage", new RecordedValue<>(QuotaUsage.TYPE, new QuotaUsage(1234.5, 0.1, NOW)));
        values.put("quota-usage-none", new RecordedValue<>(QuotaUsage.TYPE, new QuotaUsage(0, 0, 0)));
        return values;
    }

    private static Map<String, NodeObservation> observations() {
        NodeObservation none = NodeObservation.empty(NOW - 100);
        var one = ObservationSource.of(NOW, "router-1");
        var two = ObservationSource.of(NOW + 1.1, MULTIBYTE_NAME);
        var three = ObservationSource.of(NOW + 2, LONG_NAME);
        var observations = new LinkedHashMap<String, NodeObservation>();
        observations.put("none", none);
        observations.put("of-long-ago", NodeObservation.empty(0));
        observations.put("position", none.withPosition(NOW - 0.5, 0.25, one));
        observations.put("without-position", none.withPosition(-1, 0.25, one));
        observations.put("primary", none.withRole(true, one));
        observations.put("replica", none.withRole(false, two));
        observations.put("response", none.withResponse(three));
        observations.put("failed", none.withFailures(1, one));
        observations.put(
                "failed-for-several",
                none.withFailures(1000, one)
                        .withFailures(2, two)
                        .withFailures(3, three)
                        .withFailures(4, ObservationSource.of(NOW - 1, "router-4"))
                        .withFailures(5, ObservationSource.of(NOW - 2, "router-5")));
        observations.put("latency-ratio", none.withLatencyRatio(1.5, one));
        observations.put("load", none.withLoad(300, two));
        observations.put(
                "one-source",
                none.withPosition(NOW, 0, one)
                        .withRole(true, one)
                        .withResponse(one)
                        .withLoad(1e6, one)
                        .withLatencyRatio(1000, one));
        observations.put(
                "all",
                none.withPosition(NOW - 3, 1e6, one)
                        .withRole(true, two)
                        .withRole(false, three)
                        .withResponse(ObservationSource.of(NOW - 5, "router-4"))
                        .withLatencyRatio(0.001, ObservationSource.of(NOW - 6, "router-5"))
                        .withLoad(7, ObservationSource.of(NOW - 7, "router-6"))
                        .withFailures(8, ObservationSource.of(NOW - 4, "router-7"))
                        .withFailures(9, two));
        observations.put(
                "of-a-later-incarnation",
                NodeObservation.TYPE.merge(none.withResponse(one), NodeObservation.empty(NOW - 50)));
        return observations;
    }

    private static Map<String, ListedEndpoint> endpoints() {
        var listed = new LinkedHashMap<String, ListedEndpoint>();
        listed.put(
                "ready",
                new ListedEndpoint(
                        7, ListedEndpoint.EndpointState.READY, NOW - 10, true, "zone-a", 1, "10.0.0.1", 5432, NOW));
        listed.put(
                "draining",
                new ListedEndpoint(
                        300,
                        ListedEndpoint.EndpointState.DRAINING,
                        0,
                        false,
                        MULTIBYTE_NAME,
                        (1 << 20) - 1,
                        "node.example.org",
                        65_535,
                        NOW + 0.1));
        listed.put("gone", listed.get("ready").asRemoved(Long.MAX_VALUE, NOW + 1));
        listed.put("of-revision", ListedEndpoint.ofRevision(1L << 40, NOW));
        return listed;
    }

    private static Map<String, WriteOutcome> outcomes() {
        var unlabelled = WriteOutcome.SentWrite.of(NOW, 1, "pay", null);
        var labelled = WriteOutcome.SentWrite.of(NOW + 0.1, (1 << 20) - 1, MULTIBYTE_NAME, "label " + MULTIBYTE_NAME);
        var observation = WriteOutcome.OutcomeObservation.of(NOW + 1, "router-1", "node-1");
        var laterObservation = WriteOutcome.OutcomeObservation.of(NOW + 2, MULTIBYTE_NAME, LONG_NAME);
        var outcomes = new LinkedHashMap<String, WriteOutcome>();
        outcomes.put("unknown", WriteOutcome.unknown(unlabelled));
        outcomes.put("unknown-labelled", WriteOutcome.unknown(labelled));
        outcomes.put(
                "unknown-of-long-names", WriteOutcome.unknown(WriteOutcome.SentWrite.of(0, 0, LONG_NAME, LONG_NAME)));
        outcomes.put("ran", WriteOutcome.ran(unlabelled, observation));
        outcomes.put("not-run", WriteOutcome.notRun(labelled, laterObservation));
        outcomes.put(
                "conflict",
                WriteOutcome.TYPE.merge(
                        WriteOutcome.ran(unlabelled, laterObservation), WriteOutcome.notRun(labelled, observation)));
        return outcomes;
    }

    private static Map<String, String> keys() {
        var keys = new LinkedHashMap<String, String>();
        for (Map.Entry<String, String> each : Map.of(
                        "plain", "node-1", "wide", MULTIBYTE_NAME, "long", LONG_NAME.repeat(2), "control", "a\u0007b")
                .entrySet()
                .stream()
                .sorted(Map.Entry.comparingByKey())
                .toList()) {
            String name = each.getValue();
            keys.put("observation-" + each.getKey(), NodeObservation.key(name));
            keys.put("listed-" + each.getKey(), ListedEndpoint.key("10.0.0.9:7000", name));
            keys.put("listed-source-" + each.getKey(), ListedEndpoint.key(name, ""));
            keys.put("session-write-" + each.getKey(), SessionWrite.key(name));
            keys.put("outcome-" + each.getKey(), WriteOutcome.key(name));
            keys.put(
                    "quota-usage-" + each.getKey(),
                    QuotaUsage.key(QuotaUsage.HEALTH_CHECKS, new Member(name, 1_700_000_000_123L)));
            keys.put(
                    "quota-usage-slow-start-" + each.getKey(),
                    QuotaUsage.key(QuotaUsage.slowStartQuotaName(name, NOW), new Member("router-1", -1)));
            keys.put("source-" + each.getKey(), ObservationSource.of(NOW, name).router());
        }
        keys.put("quota-usage-retries", QuotaUsage.key(QuotaUsage.RETRIES, new Member("router-1", 0)));
        keys.put("quota-usage-slow-start-of-long-ago", QuotaUsage.slowStartQuotaName("node-1", 0));
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
                        each.getKey(), () -> each.getValue().assertDecodedFrom(VALUE_BYTES.get(each.getKey()))));
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
        assertEquals(List.of("10.0.0.9:7000", "node-1"), ListedEndpoint.parseKey(recordedKey("listed-plain")));
        assertEquals(List.of("10.0.0.9:7000", MULTIBYTE_NAME), ListedEndpoint.parseKey(recordedKey("listed-wide")));
        assertEquals(List.of("node-1", ""), ListedEndpoint.parseKey(recordedKey("listed-source-plain")));
        assertEquals(
                new QuotaUsage.UsageKey("probes", new Member("node-1", 1_700_000_000_123L)),
                QuotaUsage.parseKey(recordedKey("quota-usage-plain")));
        assertEquals(
                new QuotaUsage.UsageKey("repeats", new Member("router-1", 0)),
                QuotaUsage.parseKey(recordedKey("quota-usage-retries")));
        assertEquals(
                new QuotaUsage.UsageKey("cold node-1 1.70000000025E9", new Member("router-1", -1)),
                QuotaUsage.parseKey(recordedKey("quota-usage-slow-start-plain")));
    }

    private static String recordedKey(String name) {
        return new FieldReader(KEY_BYTES.get(name)).readNullableString();
    }

    @Test
    void everyValueAndKeyHasRecordedBytes() {
        assertEquals(VALUES.keySet(), VALUE_BYTES.keySet());
        assertEquals(KEYS.keySet(), KEY_BYTES.keySet());
        assertEquals(
                Set.of(
                        NodeObservation.TYPE,
                        ListedEndpoint.TYPE,
                        SessionWrite.TYPE,
                        WriteOutcome.TYPE,
                        QuotaUsage.TYPE),
                VALUES.values().stream().map(RecordedValue::type).collect(Collectors.toSet()));
        var states = new HashSet<ListedEndpoint.EndpointState>();
        var statuses = new HashSet<WriteOutcome.OutcomeStatus>();
        for (RecordedValue<?> each : VALUES.values()) {
            if (each.value() instanceof ListedEndpoint listed) {
                states.add(listed.state());
            } else if (each.value() instanceof WriteOutcome outcome) {
                statuses.add(outcome.status());
            }
        }
        assertEquals(EnumSet.allOf(ListedEndpoint.EndpointState.class), states);
        assertEquals(EnumSet.allOf(WriteOutcome.OutcomeStatus.class), statuses);
    }

    @Test
    void typeKeepsItsNumberAndName() {
        assertEquals(
                List.of(1, 2, 3, 4, 5), types().map(ReplicatedType::typeNumber).toList());
        assertEquals(
                List.of("evidence", "listed", "marks", "fates", "use"),
                types().map(ReplicatedType::name).toList());
    }

    private static Stream<ReplicatedType<?>> types() {
        return Stream.of(
                NodeObservation.TYPE, ListedEndpoint.TYPE, SessionWrite.TYPE, WriteOutcome.TYPE, QuotaUsage.TYPE);
    }
}
