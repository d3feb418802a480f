package clayhook.rollout;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
import clayhook.fleet.Member;
import clayhook.fleet.Message;
import clayhook.fleet.ReplicatedType;
import clayhook.rollout.RolloutEnd.EndCause;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Properties;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Compares every message, value and key that rollouts exchange with bytes recorded from an earlier release, in both
 * directions. Routers of different releases exchange messages, so a failure means that the wire format has changed
 * incompatibly.
 */
class RecordedBytesTest {
    private static final Properties RECORDED = recorded();
    private static final double TIME = 1_700_000_000.25;
    private static final Member MEMBER = new Member("router/ä-1", 1_700_000_000_123L);
    private static final String ROLLOUT_ID = "0123456789abcdef";
    private static final String BASE = "a".repeat(32);
    private static final String RULES = "b".repeat(32);
    private static final String TERMS = "c".repeat(32);
    private static final double NONE = Double.POSITIVE_INFINITY;

    private static Properties recorded() {
        var recorded = new Properties();
        try (InputStream in = RecordedBytesTest.class.getResourceAsStream("recorded-bytes.properties")) {
            recorded.load(in);
        } catch (IOException e) {
            throw new ExceptionInInitializerError(e);
        }
        return recorded;
    }

    /** Encodes a value as the fields of one list. */
    private interface Encoder {
        void write(FieldWriter out);
    }

    /**
     * A recorded encoding: the key of the bytes in the resource file, the encoded value, its encoder and its decoder.
     */
    private record RecordedForm(String name, Object value, Encoder encoder, Function<FieldReader, ?> decoder) {
        byte[] bytes() {
            var out = new FieldWriter();
            encoder.write(out);
            return out.toByteArray();
        }

        @Override
        public String toString() {
            return name;
        }
    }

    private static RecordedForm message(String name, Message message) {
        Map<Integer, Function<FieldReader, ? extends Message>> decoders =
                new RolloutCluster(1).nodes[0].controller.messageReaders();
        assertEquals(Set.of(40, 41), decoders.keySet());
        return new RecordedForm(
                "message." + message.typeNumber() + "." + name,
                message,
                message::write,
                decoders.get(message.typeNumber()));
    }

    private static <V> RecordedForm value(String name, ReplicatedType<V> type, V value) {
        return new RecordedForm(
                "value." + type.typeNumber() + "." + name, value, out -> type.write(value, out), type::read);
    }

    /** A form that occurs as an element of a list within another value. */
    private static RecordedForm element(String name, Object value, Encoder encoder, Function<FieldReader, ?> decoder) {
        return new RecordedForm(
                "element." + name,
                value,
                out -> {
                    out.beginList();
                    encoder.write(out);
                    out.endList();
                },
                in -> in.readLists(1, decoder).get(0));
    }

    private static RecordedForm field(String name, Object value, Encoder encoder, Function<FieldReader, ?> decoder) {
        return new RecordedForm("field." + name, value, encoder, decoder);
    }

    private static Guard guard(GuardMetric metric) {
        return switch (metric) {
            case FAILED -> new Guard("read", metric, 0.02, 0.01);
            case LATE -> new Guard("read", metric, NONE, 0);
            case REJECTED -> new Guard(Guard.ALL_CLASSES, metric, 0.5, NONE);
            case SLOW -> new Guard("schreiben/ü", metric, 3, 0.2);
        };
    }

    private static RolloutPlan plan() {
        return new RolloutPlan(
                List.of(
                        new RolloutStage(0.01, 60, 100, List.of(guard(GuardMetric.FAILED), guard(GuardMetric.SLOW))),
                        new RolloutStage(0.99, 0, 1, List.of(guard(GuardMetric.LATE), guard(GuardMetric.REJECTED)))),
                0.005,
                3);
    }

    private static Proposal proposal() {
        return new Proposal(MEMBER, TIME, BASE, RULES, 262_144, TERMS, 70_000, 10, 2);
    }

    private static RolloutEnd end(EndCause cause) {
        return RolloutEnd.of(cause, "stage 1, *: 2.000% failed", "router/ä-1", TIME + 1);
    }

    private static RolloutTerms terms() {
        return new RolloutTerms(plan(), 5, List.of(new Member("a", 1), MEMBER));
    }

    private static MemberCounters memberCounters(int size) {
        long[] counts = new long[size];
        for (int i = 0; i < size; i++) {
            // Encodings of one to nine bytes, with both signs.
            counts[i] = i % 3 == 0 ? 0 : (1L << i % 63) * (i % 2 == 0 ? 1 : -1);
        }
        return new MemberCounters(7, TIME, counts);
    }

    static Stream<RecordedForm> recordedForms() {
        var recordedForms = new ArrayList<RecordedForm>();
        recordedForms.add(message("ask", new LeaseRequest(ROLLOUT_ID, TIME)));
        recordedForms.add(message("answer.granted", new LeaseResponse(ROLLOUT_ID, TIME, true)));
        recordedForms.add(message("answer.refused", new LeaseResponse(ROLLOUT_ID, TIME, false)));
        recordedForms.add(value("round.new", RolloutProgress.TYPE, new RolloutProgress(proposal(), 0, null, TIME)));
        recordedForms.add(value(
                "round.ended",
                RolloutProgress.TYPE,
                new RolloutProgress(proposal(), 17, end(EndCause.HALTED), TIME + 2)));
        recordedForms.add(value("piece", TextChunk.TYPE, new TextChunk(new byte[] {0, 1, 127, -128, -1}, TIME)));
        recordedForms.add(value("vote", StageVote.TYPE, new StageVote(17, TIME)));
        recordedForms.add(value("counts", MemberCounters.OUTCOME_COUNTS, memberCounters(176)));
        recordedForms.add(value("times.old", MemberCounters.BASELINE_LATENCIES, memberCounters(160)));
        recordedForms.add(value("times.candidate", MemberCounters.CANDIDATE_LATENCIES, memberCounters(160)));
        recordedForms.add(field("proposal", proposal(), proposal()::write, Proposal::read));
        for (EndCause cause : EndCause.values()) {
            recordedForms.add(field("end." + cause.code(), end(cause), end(cause)::write, RolloutEnd::read));
        }
        recordedForms.add(field("plan", plan(), plan()::write, RolloutPlan::read));
        RolloutStage stage = plan().stages().get(0);
        recordedForms.add(element("stage", stage, stage::write, RolloutStage::read));
        for (GuardMetric metric : GuardMetric.values()) {
            Guard guard = guard(metric);
            recordedForms.add(element("guard." + metric.code(), guard, guard::write, Guard::read));
        }
        return recordedForms.stream();
    }

    private static byte[] bytes(String name) {
        return HexFormat.of().parseHex(RECORDED.getProperty(name, ""));
    }

    private static String hex(byte[] bytes) {
        return HexFormat.of().formatHex(bytes);
    }

    @ParameterizedTest
    @MethodSource("recordedForms")
    void encodesToRecordedBytes(RecordedForm form) {
        assertEquals(RECORDED.getProperty(form.name()), hex(form.bytes()));
    }

    @ParameterizedTest
    @MethodSource("recordedForms")
    void decodesRecordedBytes(RecordedForm form) {
        assertEquals(form.value(), form.decoder().apply(new FieldReader(bytes(form.name()))));
    }

    @Test
    void termsMatchRecordedBytes() {
        assertEquals(RECORDED.getProperty("terms"), hex(terms().encode()));
        assertEquals(terms(), RolloutTerms.decode(bytes("terms")));
    }

    @Test
    void everyRecordedFormIsChecked() {
        Set<String> names = recordedForms().map(RecordedForm::name).collect(Collectors.toCollection(TreeSet::new));
        names.add("terms");
        for (GuardMetric metric : GuardMetric.values()) {
            Stream.of("counts", "old", "candidate").forEach(kind -> names.add(layout(metric, kind)));
        }
        assertEquals(names, new TreeSet<>(RECORDED.stringPropertyNames()));
        assertEquals(
                List.of(10, 11, 12, 13, 14, 15),
                RolloutController.replicatedTypes().stream()
                        .map(ReplicatedType::typeNumber)
                        .toList());
        for (ReplicatedType<?> type : RolloutController.replicatedTypes()) {
            assertTrue(
                    names.stream().anyMatch(name -> name.startsWith("value." + type.typeNumber() + ".")),
                    "no recorded value of type " + type.typeNumber());
        }
    }

    /** Checks which constant has which code, because the recorded forms alone would not reveal two swapped codes. */
    @Test
    void enumConstantsKeepTheirCodes() {
        assertEquals(
                List.of(0, 1, 2, 3, 4),
                Stream.of(EndCause.HALTED, EndCause.VETOED, EndCause.WITHDRAWN, EndCause.SUPERSEDED, EndCause.EXPIRED)
                        .map(EndCause::code)
                        .toList());
        assertEquals(
                List.of(0, 1, 2, 3),
                Stream.of(GuardMetric.FAILED, GuardMetric.LATE, GuardMetric.REJECTED, GuardMetric.SLOW)
                        .map(GuardMetric::code)
                        .toList());
        assertEquals(
                List.of(EndCause.HALTED, EndCause.VETOED, EndCause.WITHDRAWN, EndCause.SUPERSEDED, EndCause.EXPIRED),
                List.of(EndCause.values()));
        assertEquals(
                List.of(GuardMetric.FAILED, GuardMetric.LATE, GuardMetric.REJECTED, GuardMetric.SLOW),
                List.of(GuardMetric.values()));
    }

    @Test
    void keysMatchRecordedText() {
        assertEquals("0fa4cf391cad9e48", proposal().id());
        assertEquals("0123456789abcdef/loyw3v5n/router/ä-1", StageVote.key(ROLLOUT_ID, MEMBER));
        var key = new CounterKey(ROLLOUT_ID, 2, MEMBER, "read/only");
        assertEquals("0123456789abcdef/2/loyw3v5n/10/router/ä-1/read/only", key.encode());
        assertEquals(key, CounterKey.decode("0123456789abcdef/2/loyw3v5n/10/router/ä-1/read/only"));
    }

    @Test
    void contentIsSplitIntoRecordedChunks() {
        byte[] text = "0123456789".repeat(185).getBytes(StandardCharsets.UTF_8);
        String hash = "51144900af68e240bdf5b2057074d1e6";
        assertEquals(hash, TextChunk.contentHash(text));
        var store = new InMemoryStore();
        TextChunk.publish(store, text, TIME, TIME);
        var lengths = new TreeMap<String, Integer>();
        store.forEach(TextChunk.TYPE, (key, chunk) -> lengths.put(key, chunk.bytes().length));
        assertEquals(Map.of(hash + "/0", 900, hash + "/1", 900, hash + "/2", 50), lengths);
        assertArrayEquals(text, TextChunk.assemble(store, hash, text.length));
    }

    @Test
    void ruleSetMatchesRecordedTextAndHash() {
        var problems = new ArrayList<RolloutProblem>();
        RuleSet set = RuleSet.of(
                Map.of("timeout", 2.5, "read_group", "reads"),
                List.of(Map.of("name", "a\t\"b\"", "kinds", List.of("select"), "cost_from", 10, "only", true)),
                problems);
        assertEquals(List.of(), problems);
        assertEquals(
                """
                [statements]
                read_group = "reads"
                timeout = 2.5
                [[statements.rule]]
                cost_from = 10
                kinds = ["select"]
                name = "a\\u0009\\"b\\""
                only = true
                """,
                set.text());
        assertEquals("1eace384ecdce751dd4208e7d5d41261", set.hash());
    }

    /** All routers must give the candidate to the same sessions. */
    @Test
    void sessionsMatchRecordedVersions() {
        var baseline = RuleSetVersion.outsideRollouts("old");
        TrafficSplit split = TrafficSplit.between(
                baseline, baseline, new RuleSetVersion("00000000deadbeef", null, 1, true, Map.of()), 0.25, TIME);
        var candidates = new ArrayList<Long>();
        for (long session = 0; session < 40; session++) {
            if (split.isCandidateSession(session)) {
                candidates.add(session);
            }
        }
        assertEquals(List.of(4L, 15L, 23L, 34L, 37L, 39L), candidates);
        assertEquals(0xdeadbeefL, split.salt());
    }

    /** The positions of counters and the buckets of histograms are part of the wire format. */
    @ParameterizedTest
    @EnumSource(GuardMetric.class)
    void countersMatchRecordedPositions(GuardMetric metric) {
        var store = new InMemoryStore();
        var counters = new LocalCounters(ROLLOUT_ID, MEMBER, Set.of("read"));
        var baseline = new RuleSetVersion(BASE, ROLLOUT_ID, 1, false, Map.of("read", 0.05));
        var candidate = new RuleSetVersion(RULES, ROLLOUT_ID, 1, true, Map.of("read", 0.05));
        var batch = new CounterBatch();
        for (int session = 0; session < 6; session++) {
            batch.add(baseline, "read", session, false, false, false, 0.004);
            batch.add(
                    candidate,
                    "read",
                    session,
                    metric == GuardMetric.FAILED,
                    metric == GuardMetric.LATE,
                    metric == GuardMetric.REJECTED,
                    metric == GuardMetric.SLOW ? 0.1 : Double.NaN);
        }
        batch.forEach(counters::add);
        counters.tick(TIME);
        counters.publish(store, 1, TIME);
        String key = "0123456789abcdef/1/loyw3v5n/10/router/ä-1/read";
        assertEquals(
                RECORDED.getProperty(layout(metric, "counts")),
                formatNonZeroCounts(store.get(MemberCounters.OUTCOME_COUNTS, key)));
        assertEquals(
                RECORDED.getProperty(layout(metric, "old")),
                formatNonZeroCounts(store.get(MemberCounters.BASELINE_LATENCIES, key)));
        assertEquals(
                RECORDED.getProperty(layout(metric, "candidate")),
                formatNonZeroCounts(store.get(MemberCounters.CANDIDATE_LATENCIES, key)));
    }

    private static String layout(GuardMetric metric, String kind) {
        return "layout." + metric.code() + "." + kind;
    }

    /** Positions and values of the counts that are not zero, as text. */
    private static String formatNonZeroCounts(MemberCounters counters) {
        var out = new StringBuilder();
        for (int i = 0; i < counters.counts().length; i++) {
            if (counters.counts()[i] != 0) {
                out.append(i).append('=').append(counters.counts()[i]).append(' ');
            }
        }
        return out.toString().trim();
    }
}
