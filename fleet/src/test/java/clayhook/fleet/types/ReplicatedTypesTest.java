package clayhook.fleet.types;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
import clayhook.fleet.Member;
import clayhook.fleet.ReplicatedStore;
import clayhook.fleet.ReplicatedType;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Function;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** What holds for the join and the fields of every kind. Few different figures, so that values meet in all ways. */
class ReplicatedTypesTest {
    /** A kind with a source of its values. */
    private record TypeCase<V>(ReplicatedType<V> type, Function<Random, V> value) {
        V next(Random random) {
            return value.apply(random);
        }
    }

    private static final List<TypeCase<?>> TYPES = List.of(
            new TypeCase<>(NodeObservation.TYPE, ReplicatedTypesTest::randomObservation),
            new TypeCase<>(ListedEndpoint.TYPE, ReplicatedTypesTest::randomEndpoint),
            new TypeCase<>(WriteOutcome.TYPE, ReplicatedTypesTest::randomOutcome),
            new TypeCase<>(SessionWrite.TYPE, r -> new SessionWrite(r.nextInt(3), r.nextInt(2))),
            new TypeCase<>(
                    QuotaUsage.TYPE,
                    r -> new QuotaUsage(
                            r.nextInt(3), r.nextInt(2), List.of(-0.0, 0.0, 1.0).get(r.nextInt(3)))));

    private static ObservationSource randomSource(Random r) {
        return ObservationSource.of(100 + r.nextInt(4), "router" + r.nextInt(3));
    }

    private static NodeObservation randomObservation(Random r) {
        var evidence = NodeObservation.empty(90 + r.nextInt(2));
        for (int i = r.nextInt(8); i > 0; i--) {
            evidence = switch (r.nextInt(6)) {
                case 0 -> evidence.withPosition(99 + r.nextInt(3), r.nextInt(2), randomSource(r));
                case 1 -> evidence.withRole(r.nextBoolean(), randomSource(r));
                case 2 -> evidence.withResponse(randomSource(r));
                case 3 -> evidence.withLatencyRatio(r.nextInt(2), randomSource(r));
                case 4 -> evidence.withLoad(r.nextInt(2), randomSource(r));
                default ->
                    evidence.withFailures(
                            1 + r.nextInt(2), ObservationSource.of(100 + r.nextInt(4), "router" + r.nextInt(7)));
            };
        }
        return evidence;
    }

    private static ListedEndpoint randomEndpoint(Random r) {
        return new ListedEndpoint(
                r.nextInt(2),
                ListedEndpoint.EndpointState.values()[r.nextInt(3)],
                r.nextInt(2),
                r.nextBoolean(),
                "z" + r.nextInt(2),
                r.nextInt(2),
                "h" + r.nextInt(2),
                r.nextInt(2),
                r.nextInt(3));
    }

    private static WriteOutcome randomOutcome(Random r) {
        String label = r.nextBoolean() ? null : "toll " + r.nextInt(2);
        var sent = WriteOutcome.SentWrite.of(r.nextInt(2), r.nextInt(2), "pay" + r.nextInt(2), label);
        var witness = WriteOutcome.OutcomeWitness.of(r.nextInt(3), "router" + r.nextInt(2), "node" + r.nextInt(2));
        return r.nextInt(3) == 0
                ? WriteOutcome.unknown(sent)
                : r.nextBoolean() ? WriteOutcome.ran(sent, witness) : WriteOutcome.notRun(sent, witness);
    }

    private static <V> byte[] encode(ReplicatedType<V> kind, V value, boolean later) {
        var out = new FieldWriter();
        kind.write(value, out);
        return later
                ? out.writeNullableString("of a later release")
                        .beginList()
                        .writeLong(7)
                        .endList()
                        .toByteArray()
                : out.toByteArray();
    }

    @Property(tries = 400, seed = "27")
    void mergeIsCommutativeAssociativeAndIdempotent(@ForAll Random random) {
        TYPES.forEach(each -> checkMerge(each, random));
    }

    private static <V> void checkMerge(TypeCase<V> each, Random random) {
        ReplicatedType<V> kind = each.type;
        V a = each.next(random), b = each.next(random), c = each.next(random);
        V ab = kind.merge(a, b);
        assertEquals(ab, kind.merge(b, a), kind.name());
        assertEquals(kind.merge(ab, c), kind.merge(a, kind.merge(b, c)), kind.name());
        assertEquals(ab, kind.merge(ab, a), kind.name());
        assertTrue(kind.timestamp(ab) >= Math.max(kind.timestamp(a), kind.timestamp(b)), kind.name() + " falls");
        for (V value : List.of(a, ab, kind.merge(ab, c))) {
            assertEquals(value, kind.read(new FieldReader(encode(kind, value, false))), kind.name());
            assertEquals(value, kind.read(new FieldReader(encode(kind, value, true))), kind.name());
        }
    }

    /** One byte or some changed, cut off, or all of them by chance: another value or IllegalArgumentException. */
    @Property(tries = 2000, seed = "27")
    void corruptedBytesAreRejectedOrDecodeToAValidValue(
            @ForAll Random random, @ForAll @IntRange(min = 0, max = 4) int kind) {
        checkCorrupted(TYPES.get(kind), random);
    }

    private static <V> void checkCorrupted(TypeCase<V> each, Random random) {
        byte[] bytes = encode(each.type, each.next(random), false);
        for (int i = random.nextInt(4); i >= 0; i--) {
            bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
        }
        byte[] some = random.nextInt(4) > 0 ? bytes : java.util.Arrays.copyOf(bytes, random.nextInt(bytes.length));
        try {
            V read = each.type.read(new FieldReader(some));
            assertEquals(read, each.type.merge(read, read));
            assertEquals(
                    read,
                    each.type.read(new FieldReader(encode(each.type, read, false))),
                    "what was read can be passed on");
        } catch (IllegalArgumentException e) {
            assertTrue(true, "refused");
        }
    }

    /**
     * So is the first figure of each kind when it is none, negative or endless, and other fields beyond their bounds.
     */
    @Example
    void rejectsFieldsOutOfRange() {
        for (TypeCase<?> each : TYPES) {
            for (double senseless : new double[] {Double.NaN, -1, 1e300, Double.POSITIVE_INFINITY}) {
                byte[] fields = new FieldWriter()
                        .writeDouble(senseless)
                        .writeDouble(1)
                        .writeDouble(1)
                        .writeDouble(1)
                        .writeNullableString("x")
                        .writeNullableString("x")
                        .toByteArray();
                assertThrows(
                        IllegalArgumentException.class,
                        () -> each.type.read(new FieldReader(fields)),
                        each.type.name());
            }
        }
        List<Runnable> senseless = List.of(
                () -> new ObservationSource(1, "n".repeat(49)),
                () -> new ObservationSource(1, "\ud800"),
                () -> new ObservationSource(1, "a\u0001"),
                () -> NodeObservation.empty(0).withFailures(1, new ObservationSource(-5, "a")),
                () -> new SessionWrite(1, -1),
                () -> new NodeObservation(1e9, 5, null, null, null, null, null, null, null, List.of()),
                () -> new NodeObservation(
                        0,
                        0,
                        new TimedValue(50, new ObservationSource(5, "a")),
                        null,
                        null,
                        null,
                        null,
                        null,
                        null,
                        List.of()),
                () -> new WriteOutcome.SentWrite(1, 0, "g", "l".repeat(129)),
                () -> new ListedEndpoint(-1, ListedEndpoint.EndpointState.READY, 0, false, "", 0, "", 0, 0));
        senseless.forEach(each -> assertThrows(IllegalArgumentException.class, each::run));
        var none = NodeObservation.empty(0);
        assertEquals(
                List.of(none, none, none),
                List.of(
                        none.withPosition(Double.NaN, 0, new ObservationSource(0, "a")),
                        none.withLatencyRatio(-1, new ObservationSource(0, "a")),
                        none.withLoad(1e9, new ObservationSource(0, "a"))),
                "what a node garbles costs itself");
    }

    /** Whatever the names are, keys fit, values fit the store with their longest keys, and names are cut alike. */
    @Example
    void longestKeysAndValuesFitTheStore() {
        var sizes = new ArrayList<Integer>();
        for (String letter : List.of("n", "\u00e9", "\u20ac", "\ud83d\ude00", "\u0007", "\ud800")) {
            String name = letter.repeat(200);
            var evidence = NodeObservation.empty(0);
            for (int i = 0; i < 12; i++) {
                ObservationSource sight = ObservationSource.of(1.7e9 + i / 7.0, i + name);
                evidence = switch (i) {
                    case 0 -> evidence.withPosition(1.7e9 + 0.1, 0.3, sight);
                    case 1 -> evidence.withRole(true, sight);
                    case 2 -> evidence.withRole(false, sight);
                    case 3 -> evidence.withResponse(sight);
                    case 4 -> evidence.withLatencyRatio(0.3, sight);
                    case 5 -> evidence.withLoad(0.3, sight);
                    default -> evidence.withFailures(999, sight);
                };
            }
            sizes.add(encode(NodeObservation.TYPE, evidence, false).length + ReplicatedKeys.MAX_KEY_TEXT_BYTES);
            var sent = WriteOutcome.SentWrite.of(1.7e9 + 0.1, 1 << 19, name, name);
            var fate = WriteOutcome.TYPE.merge(
                    WriteOutcome.ran(sent, WriteOutcome.OutcomeWitness.of(1.7e9 + 0.1, name, name)),
                    WriteOutcome.notRun(sent, WriteOutcome.OutcomeWitness.of(1.7e9 + 0.3, name, name)));
            sizes.add(encode(WriteOutcome.TYPE, fate, false).length + ReplicatedKeys.MAX_KEY_TEXT_BYTES);
            sizes.add(encode(
                                    ListedEndpoint.TYPE,
                                    new ListedEndpoint(
                                            Long.MAX_VALUE,
                                            ListedEndpoint.EndpointState.GONE,
                                            1.7e9,
                                            true,
                                            ReplicatedKeys.truncateName(name),
                                            1 << 19,
                                            "h".repeat(255),
                                            65535,
                                            1.7e9),
                                    false)
                            .length
                    + ReplicatedStore.MAX_KEY_BYTES);
            String use = QuotaUsage.key(QuotaUsage.slowStart(name, 1.7e9), new Member(name, Long.MAX_VALUE));
            List.of(ListedEndpoint.key(name, name), NodeObservation.key(name), SessionWrite.key(name), use)
                    .forEach(key -> assertTrue(
                            FieldValidation.utf8Length(key.replace('\u001f', '/')) <= ReplicatedStore.MAX_KEY_BYTES,
                            key));
            assertEquals(
                    ReplicatedKeys.truncateName(name), ReplicatedKeys.truncateName(ReplicatedKeys.truncateName(name)));
        }
        assertTrue(sizes.stream().allMatch(size -> size <= 1000), sizes.toString());
    }
}
