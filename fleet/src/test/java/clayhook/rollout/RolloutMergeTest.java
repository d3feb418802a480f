package clayhook.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.fleet.Member;
import clayhook.fleet.ReplicatedType;
import clayhook.rollout.RolloutEnd.EndCause;
import java.util.Random;
import java.util.function.Function;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Every kind's join, and its way across the wire, from values of a small world in which many are alike. */
class RolloutMergeTest {
    /** As wide as a router's name, a command group and counts get. */
    private static final String LONGEST_NAME = "n".repeat(100);

    private static RolloutProgress randomProgress(Random chance) {
        var by = new Member(LONGEST_NAME, 1_700_000_000_000L + chance.nextInt(2));
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
        RolloutEnd end = chance.nextBoolean()
                ? null
                : RolloutEnd.of(
                        EndCause.values()[chance.nextInt(5)],
                        "r".repeat(200 + chance.nextInt(2)),
                        LONGEST_NAME,
                        chance.nextInt(2));
        return new RolloutProgress(proposal, chance.nextInt(4), end, chance.nextInt(3));
    }

    private static MemberCounters randomCounters(Random chance, int size) {
        long[] counts = new long[size];
        for (int i = 0; i < size; i++) {
            counts[i] = i == 0 ? chance.nextInt(2) : Integer.MAX_VALUE;
        }
        return new MemberCounters(chance.nextInt(3), chance.nextInt(3), counts);
    }

    @Property(tries = 300, seed = "42")
    void mergeIsLawfulAndValuesSurviveEncoding(@ForAll @IntRange(min = 0, max = 5) int kind, @ForAll long seed) {
        switch (kind) {
            case 0 -> assertMergeLaws(RolloutProgress.TYPE, RolloutMergeTest::randomProgress, seed);
            case 1 ->
                assertMergeLaws(
                        TextChunk.TYPE,
                        chance -> new TextChunk(new byte[chance.nextInt(2) * 899 + 1], chance.nextInt(3)),
                        seed);
            case 2 ->
                assertMergeLaws(StageVote.TYPE, chance -> new StageVote(chance.nextInt(4), chance.nextInt(3)), seed);
            case 3 ->
                assertMergeLaws(
                        MemberCounters.OUTCOME_COUNTS, chance -> randomCounters(chance, CounterLayout.SIZE), seed);
            case 4 ->
                assertMergeLaws(
                        MemberCounters.BASELINE_LATENCIES,
                        chance -> randomCounters(chance, LatencyHistogram.SIZE),
                        seed);
            default ->
                assertMergeLaws(
                        MemberCounters.CANDIDATE_LATENCIES,
                        chance -> randomCounters(chance, LatencyHistogram.SIZE),
                        seed);
        }
    }

    private static <V> void assertMergeLaws(ReplicatedType<V> kind, Function<Random, V> values, long seed) {
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
                RolloutCluster.encodeAndDecode(
                        kind,
                        new CounterKey(
                                        "0".repeat(16),
                                        16,
                                        new Member(LONGEST_NAME, 1_700_000_000_000L),
                                        "g".repeat(Guard.MAX_CLASS_BYTES))
                                .encode(),
                        a));
        if (joined instanceof RolloutProgress round
                && (((RolloutProgress) a).end() != null || ((RolloutProgress) b).end() != null)) {
            assertTrue(round.end() != null, "a halt wins over every stage");
        }
    }

    /** A router that hears the same figures late, twice and over three ways counts as one that heard them once. */
    @Property(tries = 100, seed = "42")
    void duplicateCountersAreCountedOnce(@ForAll long seed) {
        var chance = new Random(seed);
        var copy = new InMemoryStore();
        var late = new InMemoryStore();
        var newest = new MemberCounters[3];
        for (int i = 0; i < 30; i++) {
            int by = chance.nextInt(newest.length);
            long[] counts = new long[CounterLayout.SIZE];
            counts[CounterLayout.EVIDENCE_SIZE] = i + 1;
            MemberCounters figure = new MemberCounters(i, i, counts);
            newest[by] = figure;
            String key = new CounterKey("round", 1, new Member("r/" + by, 1), "a/b").encode();
            copy.merge(MemberCounters.OUTCOME_COUNTS, key, figure, 40);
            if (chance.nextBoolean()) {
                late.merge(MemberCounters.OUTCOME_COUNTS, key, figure, 40);
            }
        }
        copy.forEach(
                MemberCounters.OUTCOME_COUNTS,
                (key, figure) -> late.merge(MemberCounters.OUTCOME_COUNTS, key, figure, 40));
        late.forEach(
                MemberCounters.OUTCOME_COUNTS,
                (key, figure) -> copy.merge(MemberCounters.OUTCOME_COUNTS, key, figure, 40));
        long sum = 0;
        for (MemberCounters figure : newest) {
            sum += figure == null ? 0 : figure.counts()[CounterLayout.EVIDENCE_SIZE];
        }
        assertEquals(
                sum,
                MergedCounters.collect(copy, "round", 1).forRequestClass("a/b").requests(Variant.BASELINE));
        assertEquals(
                sum,
                MergedCounters.collect(late, "round", 1).forRequestClass("a/b").requests(Variant.BASELINE));
    }
}
