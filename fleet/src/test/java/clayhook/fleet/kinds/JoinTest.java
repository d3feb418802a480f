package clayhook.fleet.kinds;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.fleet.ReplicatedType;
import clayhook.fleet.Member;
import clayhook.fleet.FieldReader;
import clayhook.fleet.ReplicatedStore;
import clayhook.fleet.FieldWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Function;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** What holds for the join and the fields of every kind. Few different figures, so that values meet in all ways. */
class JoinTest {
    /** A kind with a source of its values. */
    private record Case<V>(ReplicatedType<V> kind, Function<Random, V> value) {
        V next(Random random) {
            return value.apply(random);
        }
    }

    private static final List<Case<?>> KINDS = List.of(
            new Case<>(Evidence.KIND, JoinTest::evidence),
            new Case<>(Listed.KIND, JoinTest::listed),
            new Case<>(Fate.KIND, JoinTest::fate),
            new Case<>(Mark.KIND, r -> new Mark(r.nextInt(3), r.nextInt(2))),
            new Case<>(
                    Use.KIND,
                    r -> new Use(
                            r.nextInt(3), r.nextInt(2), List.of(-0.0, 0.0, 1.0).get(r.nextInt(3)))));

    private static Sight sight(Random r) {
        return Sight.of(100 + r.nextInt(4), "router" + r.nextInt(3));
    }

    private static Evidence evidence(Random r) {
        var evidence = Evidence.none(90 + r.nextInt(2));
        for (int i = r.nextInt(8); i > 0; i--) {
            evidence = switch (r.nextInt(6)) {
                case 0 -> evidence.told(99 + r.nextInt(3), r.nextInt(2), sight(r));
                case 1 -> evidence.role(r.nextBoolean(), sight(r));
                case 2 -> evidence.heard(sight(r));
                case 3 -> evidence.pace(r.nextInt(2), sight(r));
                case 4 -> evidence.load(r.nextInt(2), sight(r));
                default -> evidence.failed(1 + r.nextInt(2), Sight.of(100 + r.nextInt(4), "router" + r.nextInt(7)));
            };
        }
        return evidence;
    }

    private static Listed listed(Random r) {
        return new Listed(
                r.nextInt(2),
                Listed.State.values()[r.nextInt(3)],
                r.nextInt(2),
                r.nextBoolean(),
                "z" + r.nextInt(2),
                r.nextInt(2),
                "h" + r.nextInt(2),
                r.nextInt(2),
                r.nextInt(3));
    }

    private static Fate fate(Random r) {
        String label = r.nextBoolean() ? null : "toll " + r.nextInt(2);
        var sent = Fate.Sent.of(r.nextInt(2), r.nextInt(2), "pay" + r.nextInt(2), label);
        var witness = Fate.Witness.of(r.nextInt(3), "router" + r.nextInt(2), "node" + r.nextInt(2));
        return r.nextInt(3) == 0
                ? Fate.unknown(sent)
                : r.nextBoolean() ? Fate.ran(sent, witness) : Fate.notRun(sent, witness);
    }

    private static <V> byte[] bytes(ReplicatedType<V> kind, V value, boolean later) {
        var out = new FieldWriter();
        kind.write(value, out);
        return later ? out.writeNullableString("of a later release").beginList().writeLong(7).endList().toByteArray() : out.toByteArray();
    }

    @Property(tries = 400, seed = "27")
    void joinsComeToTheSameInAnyOrder(@ForAll Random random) {
        KINDS.forEach(each -> joins(each, random));
    }

    private static <V> void joins(Case<V> each, Random random) {
        ReplicatedType<V> kind = each.kind;
        V a = each.next(random), b = each.next(random), c = each.next(random);
        V ab = kind.merge(a, b);
        assertEquals(ab, kind.merge(b, a), kind.name());
        assertEquals(kind.merge(ab, c), kind.merge(a, kind.merge(b, c)), kind.name());
        assertEquals(ab, kind.merge(ab, a), kind.name());
        assertTrue(kind.timestamp(ab) >= Math.max(kind.timestamp(a), kind.timestamp(b)), kind.name() + " falls");
        for (V value : List.of(a, ab, kind.merge(ab, c))) {
            assertEquals(value, kind.read(new FieldReader(bytes(kind, value, false))), kind.name());
            assertEquals(value, kind.read(new FieldReader(bytes(kind, value, true))), kind.name());
        }
    }

    /** One byte or some changed, cut off, or all of them by chance: another value or IllegalArgumentException. */
    @Property(tries = 2000, seed = "27")
    void garbageIsRefused(@ForAll Random random, @ForAll @IntRange(min = 0, max = 4) int kind) {
        garbled(KINDS.get(kind), random);
    }

    private static <V> void garbled(Case<V> each, Random random) {
        byte[] bytes = bytes(each.kind, each.next(random), false);
        for (int i = random.nextInt(4); i >= 0; i--) {
            bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
        }
        byte[] some = random.nextInt(4) > 0 ? bytes : java.util.Arrays.copyOf(bytes, random.nextInt(bytes.length));
        try {
            V read = each.kind.read(new FieldReader(some));
            assertEquals(read, each.kind.merge(read, read));
            assertEquals(
                    read, each.kind.read(new FieldReader(bytes(each.kind, read, false))), "what was read can be passed on");
        } catch (IllegalArgumentException e) {
            assertTrue(true, "refused");
        }
    }

    /**
     * So is the first figure of each kind when it is none, negative or endless, and other fields beyond their bounds.
     */
    @Example
    void senselessFieldsAreRefused() {
        for (Case<?> each : KINDS) {
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
                        IllegalArgumentException.class, () -> each.kind.read(new FieldReader(fields)), each.kind.name());
            }
        }
        List<Runnable> senseless = List.of(
                () -> new Sight(1, "n".repeat(49)),
                () -> new Sight(1, "\ud800"),
                () -> new Sight(1, "a\u0001"),
                () -> Evidence.none(0).failed(1, new Sight(-5, "a")),
                () -> new Mark(1, -1),
                () -> new Evidence(1e9, 5, null, null, null, null, null, null, null, List.of()),
                () -> new Evidence(
                        0, 0, new Seen(50, new Sight(5, "a")), null, null, null, null, null, null, List.of()),
                () -> new Fate.Sent(1, 0, "g", "l".repeat(129)),
                () -> new Listed(-1, Listed.State.READY, 0, false, "", 0, "", 0, 0));
        senseless.forEach(each -> assertThrows(IllegalArgumentException.class, each::run));
        var none = Evidence.none(0);
        assertEquals(
                List.of(none, none, none),
                List.of(
                        none.told(Double.NaN, 0, new Sight(0, "a")),
                        none.pace(-1, new Sight(0, "a")),
                        none.load(1e9, new Sight(0, "a"))),
                "what a node garbles costs itself");
    }

    /** Whatever the names are, keys fit, values fit the store with their longest keys, and names are cut alike. */
    @Example
    void theLongestValuesFit() {
        var sizes = new ArrayList<Integer>();
        for (String letter : List.of("n", "\u00e9", "\u20ac", "\ud83d\ude00", "\u0007", "\ud800")) {
            String name = letter.repeat(200);
            var evidence = Evidence.none(0);
            for (int i = 0; i < 12; i++) {
                Sight sight = Sight.of(1.7e9 + i / 7.0, i + name);
                evidence = switch (i) {
                    case 0 -> evidence.told(1.7e9 + 0.1, 0.3, sight);
                    case 1 -> evidence.role(true, sight);
                    case 2 -> evidence.role(false, sight);
                    case 3 -> evidence.heard(sight);
                    case 4 -> evidence.pace(0.3, sight);
                    case 5 -> evidence.load(0.3, sight);
                    default -> evidence.failed(999, sight);
                };
            }
            sizes.add(bytes(Evidence.KIND, evidence, false).length + Keys.LONGEST_TEXT);
            var sent = Fate.Sent.of(1.7e9 + 0.1, 1 << 19, name, name);
            var fate = Fate.KIND.merge(
                    Fate.ran(sent, Fate.Witness.of(1.7e9 + 0.1, name, name)),
                    Fate.notRun(sent, Fate.Witness.of(1.7e9 + 0.3, name, name)));
            sizes.add(bytes(Fate.KIND, fate, false).length + Keys.LONGEST_TEXT);
            sizes.add(bytes(
                                    Listed.KIND,
                                    new Listed(
                                            Long.MAX_VALUE,
                                            Listed.State.GONE,
                                            1.7e9,
                                            true,
                                            Keys.name(name),
                                            1 << 19,
                                            "h".repeat(255),
                                            65535,
                                            1.7e9),
                                    false)
                            .length
                    + ReplicatedStore.MAX_KEY_BYTES);
            String use = Use.key(Use.cold(name, 1.7e9), new Member(name, Long.MAX_VALUE));
            List.of(Listed.key(name, name), Evidence.key(name), Mark.key(name), use)
                    .forEach(key -> assertTrue(Check.bytes(key.replace('\u001f', '/')) <= ReplicatedStore.MAX_KEY_BYTES, key));
            assertEquals(Keys.name(name), Keys.name(Keys.name(name)));
        }
        assertTrue(sizes.stream().allMatch(size -> size <= 1000), sizes.toString());
    }
}
