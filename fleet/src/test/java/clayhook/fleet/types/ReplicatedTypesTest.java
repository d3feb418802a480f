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
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.function.Function;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * Tests the merge function and the field checks of every replicated type. Generated values have few distinct fields, so
 * that fields of two values often collide.
 */
class ReplicatedTypesTest {
    /** A replicated type and a generator of its values. */
    private record TypeCase<V>(ReplicatedType<V> type, Function<Random, V> generator) {
        V next(Random random) {
            return generator.apply(random);
        }
    }

    private static final List<ListedEndpoint.EndpointState> ENDPOINT_STATES =
            List.of(ListedEndpoint.EndpointState.values());

    private static final List<TypeCase<?>> TYPES = List.of(
            new TypeCase<>(NodeObservation.TYPE, ReplicatedTypesTest::randomObservation),
            new TypeCase<>(ListedEndpoint.TYPE, ReplicatedTypesTest::randomEndpoint),
            new TypeCase<>(WriteOutcome.TYPE, ReplicatedTypesTest::randomOutcome),
            new TypeCase<>(SessionWrite.TYPE, random -> new SessionWrite(random.nextInt(3), random.nextInt(2))),
            new TypeCase<>(
                    QuotaUsage.TYPE,
                    random -> new QuotaUsage(
                            random.nextInt(3),
                            random.nextInt(2),
                            List.of(-0.0, 0.0, 1.0).get(random.nextInt(3)))));

    private static ObservationSource randomSource(Random random) {
        return ObservationSource.of(100 + random.nextInt(4), "router" + random.nextInt(3));
    }

    private static NodeObservation randomObservation(Random random) {
        var observation = NodeObservation.empty(90 + random.nextInt(2));
        for (int i = random.nextInt(8); i > 0; i--) {
            observation = switch (random.nextInt(6)) {
                case 0 -> observation.withPosition(99 + random.nextInt(3), random.nextInt(2), randomSource(random));
                case 1 -> observation.withRole(random.nextBoolean(), randomSource(random));
                case 2 -> observation.withResponse(randomSource(random));
                case 3 -> observation.withLatencyRatio(random.nextInt(2), randomSource(random));
                case 4 -> observation.withLoad(random.nextInt(2), randomSource(random));
                default ->
                    observation.withFailures(
                            1 + random.nextInt(2),
                            ObservationSource.of(100 + random.nextInt(4), "router" + random.nextInt(7)));
            };
        }
        return observation;
    }

    private static ListedEndpoint randomEndpoint(Random random) {
        return new ListedEndpoint(
                random.nextInt(2),
                ENDPOINT_STATES.get(random.nextInt(ENDPOINT_STATES.size())),
                random.nextInt(2),
                random.nextBoolean(),
                "z" + random.nextInt(2),
                random.nextInt(2),
                "h" + random.nextInt(2),
                random.nextInt(2),
                random.nextInt(3));
    }

    private static WriteOutcome randomOutcome(Random random) {
        String label = random.nextBoolean() ? null : "toll " + random.nextInt(2);
        var sent = WriteOutcome.SentWrite.of(random.nextInt(2), random.nextInt(2), "pay" + random.nextInt(2), label);
        var observation = WriteOutcome.OutcomeObservation.of(
                random.nextInt(3), "router" + random.nextInt(2), "node" + random.nextInt(2));
        return random.nextInt(3) == 0
                ? WriteOutcome.unknown(sent)
                : random.nextBoolean() ? WriteOutcome.ran(sent, observation) : WriteOutcome.notRun(sent, observation);
    }

    private static <V> byte[] encode(ReplicatedType<V> type, V value, boolean withUnknownFields) {
        var out = new FieldWriter();
        type.write(value, out);
        return withUnknownFields
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
        ReplicatedType<V> type = each.type;
        V a = each.next(random), b = each.next(random), c = each.next(random);
        V ab = type.merge(a, b);
        assertEquals(ab, type.merge(b, a), type.name());
        assertEquals(type.merge(ab, c), type.merge(a, type.merge(b, c)), type.name());
        assertEquals(ab, type.merge(ab, a), type.name());
        assertTrue(
                type.timestamp(ab) >= Math.max(type.timestamp(a), type.timestamp(b)),
                type.name() + ": the timestamp decreased");
        for (V value : List.of(a, ab, type.merge(ab, c))) {
            assertEquals(value, type.read(new FieldReader(encode(type, value, false))), type.name());
            assertEquals(value, type.read(new FieldReader(encode(type, value, true))), type.name());
        }
    }

    /**
     * Bytes that are partly changed or truncated are decoded to a valid value, or fail with an
     * IllegalArgumentException.
     */
    @Property(tries = 2000, seed = "27")
    void corruptedBytesAreRejectedOrDecodeToAValidValue(
            @ForAll Random random, @ForAll @IntRange(min = 0, max = 4) int typeIndex) {
        checkCorrupted(TYPES.get(typeIndex), random);
    }

    private static <V> void checkCorrupted(TypeCase<V> each, Random random) {
        byte[] bytes = encode(each.type, each.next(random), false);
        for (int i = random.nextInt(4); i >= 0; i--) {
            bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
        }
        byte[] corrupted = random.nextInt(4) > 0 ? bytes : Arrays.copyOf(bytes, random.nextInt(bytes.length));
        try {
            V decoded = each.type.read(new FieldReader(corrupted));
            assertEquals(decoded, each.type.merge(decoded, decoded));
            assertEquals(
                    decoded,
                    each.type.read(new FieldReader(encode(each.type, decoded, false))),
                    "a decoded value can be encoded again");
        } catch (IllegalArgumentException e) {
            assertTrue(true, "rejected");
        }
    }

    /**
     * The first number of each type is rejected if it is NaN, negative or too large; other fields that are out of range
     * are rejected too.
     */
    @Example
    void rejectsFieldsOutOfRange() {
        for (TypeCase<?> each : TYPES) {
            for (double outOfRange : new double[] {Double.NaN, -1, 1e300, Double.POSITIVE_INFINITY}) {
                byte[] fields = new FieldWriter()
                        .writeDouble(outOfRange)
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
        List<Runnable> invalidValues = List.of(
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
        invalidValues.forEach(each -> assertThrows(IllegalArgumentException.class, each::run));
        var none = NodeObservation.empty(0);
        assertEquals(
                List.of(none, none, none),
                List.of(
                        none.withPosition(Double.NaN, 0, new ObservationSource(0, "a")),
                        none.withLatencyRatio(-1, new ObservationSource(0, "a")),
                        none.withLoad(1e9, new ObservationSource(0, "a"))),
                "invalid reports of a node are omitted");
    }

    /**
     * With names of any characters, keys are within their bound, values and their longest keys fit into the store
     * together, and truncation is idempotent.
     */
    @Example
    void longestKeysAndValuesFitTheStore() {
        var sizes = new ArrayList<Integer>();
        for (String letter : List.of("n", "\u00e9", "\u20ac", "\ud83d\ude00", "\u0007", "\ud800")) {
            String name = letter.repeat(200);
            var observation = NodeObservation.empty(0);
            for (int i = 0; i < 12; i++) {
                ObservationSource source = ObservationSource.of(1.7e9 + i / 7.0, i + name);
                observation = switch (i) {
                    case 0 -> observation.withPosition(1.7e9 + 0.1, 0.3, source);
                    case 1 -> observation.withRole(true, source);
                    case 2 -> observation.withRole(false, source);
                    case 3 -> observation.withResponse(source);
                    case 4 -> observation.withLatencyRatio(0.3, source);
                    case 5 -> observation.withLoad(0.3, source);
                    default -> observation.withFailures(999, source);
                };
            }
            sizes.add(encode(NodeObservation.TYPE, observation, false).length + ReplicatedKeys.MAX_KEY_TEXT_BYTES);
            var sent = WriteOutcome.SentWrite.of(1.7e9 + 0.1, 1 << 19, name, name);
            var outcome = WriteOutcome.TYPE.merge(
                    WriteOutcome.ran(sent, WriteOutcome.OutcomeObservation.of(1.7e9 + 0.1, name, name)),
                    WriteOutcome.notRun(sent, WriteOutcome.OutcomeObservation.of(1.7e9 + 0.3, name, name)));
            sizes.add(encode(WriteOutcome.TYPE, outcome, false).length + ReplicatedKeys.MAX_KEY_TEXT_BYTES);
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
            String usageKey =
                    QuotaUsage.key(QuotaUsage.slowStartQuotaName(name, 1.7e9), new Member(name, Long.MAX_VALUE));
            List.of(ListedEndpoint.key(name, name), NodeObservation.key(name), SessionWrite.key(name), usageKey)
                    .forEach(key -> assertTrue(
                            FieldValidation.utf8Length(key.replace('\u001f', '/')) <= ReplicatedStore.MAX_KEY_BYTES,
                            key));
            assertEquals(
                    ReplicatedKeys.truncateName(name), ReplicatedKeys.truncateName(ReplicatedKeys.truncateName(name)));
        }
        assertTrue(sizes.stream().allMatch(size -> size <= 1000), sizes.toString());
    }
}
