package clayhook.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.fleet.ReplicatedType;
import clayhook.fleet.Member;
import java.util.Random;
import java.util.function.Function;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Every kind's join, and its way across the wire, from values of a small world in which many are alike. */
class JoinTest {
    /** As wide as a router's name, a command group and counts get. */
    private static final String LONGEST = "n".repeat(100);

    private static Round round(Random chance) {
        var by = new Member(LONGEST, 1_700_000_000_000L + chance.nextInt(2));
        var proposal = new Proposal(
                by,
                chance.nextInt(2),
                "a".repeat(32),
                "b".repeat(31) + chance.nextInt(2),
                1 + chance.nextInt(2),
                "c".repeat(32),
                7,
                10,
                1 + chance.nextInt(2));
        End end = chance.nextBoolean()
                ? null
                : End.of(
                        End.What.values()[chance.nextInt(5)],
                        "r".repeat(200 + chance.nextInt(2)),
                        LONGEST,
                        chance.nextInt(2));
        return new Round(proposal, chance.nextInt(4), end, chance.nextInt(3));
    }

    private static Figure figure(Random chance, int size) {
        long[] counts = new long[size];
        for (int i = 0; i < size; i++) {
            counts[i] = i == 0 ? chance.nextInt(2) : Integer.MAX_VALUE;
        }
        return new Figure(chance.nextInt(3), chance.nextInt(3), counts);
    }

    @Property(tries = 300, seed = "42")
    void joinsAndCarries(@ForAll @IntRange(min = 0, max = 5) int kind, @ForAll long seed) {
        switch (kind) {
            case 0 -> holds(Round.KIND, JoinTest::round, seed);
            case 1 ->
                holds(Piece.KIND, chance -> new Piece(new byte[chance.nextInt(2) * 899 + 1], chance.nextInt(3)), seed);
            case 2 -> holds(Vote.KIND, chance -> new Vote(chance.nextInt(4), chance.nextInt(3)), seed);
            case 3 -> holds(Figure.COUNTS, chance -> figure(chance, Figure.Sums.SIZE + 2 * Batch.Cell.SIZE), seed);
            case 4 -> holds(Figure.OLD_TIMES, chance -> figure(chance, Times.SIZE), seed);
            default -> holds(Figure.CANDIDATE_TIMES, chance -> figure(chance, Times.SIZE), seed);
        }
    }

    private static <V> void holds(ReplicatedType<V> kind, Function<Random, V> values, long seed) {
        var chance = new Random(seed);
        V a = values.apply(chance);
        V b = values.apply(chance);
        V c = values.apply(chance);
        V joined = kind.merge(a, b);
        assertEquals(joined, kind.merge(b, a));
        assertEquals(kind.merge(joined, c), kind.merge(a, kind.merge(b, c)));
        assertEquals(a, kind.merge(a, a));
        assertEquals(joined, kind.merge(joined, a));
        assertTrue(kind.timestamp(joined) >= Math.max(kind.timestamp(a), kind.timestamp(b)));
        assertEquals(
                a,
                Net.carried(
                        kind,
                        new Figure.Key(
                                        "0".repeat(16),
                                        16,
                                        new Member(LONGEST, 1_700_000_000_000L),
                                        "g".repeat(Guard.LONGEST_GROUP))
                                .text(),
                        a));
        if (joined instanceof Round round && (((Round) a).end() != null || ((Round) b).end() != null)) {
            assertTrue(round.end() != null, "a halt wins over every stage");
        }
    }

    /** A router that hears the same figures late, twice and over three ways counts as one that heard them once. */
    @Property(tries = 100, seed = "42")
    void nothingCountsTwice(@ForAll long seed) {
        var chance = new Random(seed);
        var copy = new Net.Copy();
        var late = new Net.Copy();
        var newest = new Figure[3];
        for (int i = 0; i < 30; i++) {
            int by = chance.nextInt(newest.length);
            long[] counts = new long[Figure.Sums.SIZE + 2 * Batch.Cell.SIZE];
            counts[Figure.Sums.SIZE] = i + 1;
            Figure figure = new Figure(i, i, counts);
            newest[by] = figure;
            String key = new Figure.Key("round", 1, new Member("r/" + by, 1), "a/b").text();
            copy.merge(Figure.COUNTS, key, figure, 40);
            if (chance.nextBoolean()) {
                late.merge(Figure.COUNTS, key, figure, 40);
            }
        }
        copy.forEach(Figure.COUNTS, (key, figure) -> late.merge(Figure.COUNTS, key, figure, 40));
        late.forEach(Figure.COUNTS, (key, figure) -> copy.merge(Figure.COUNTS, key, figure, 40));
        long sum = 0;
        for (Figure figure : newest) {
            sum += figure == null ? 0 : figure.counts()[Figure.Sums.SIZE];
        }
        assertEquals(sum, Figures.of(copy, "round", 1).group("a/b").commands(0));
        assertEquals(sum, Figures.of(late, "round", 1).group("a/b").commands(0));
    }
}
