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

/**
 * Tests the merge and the encoding of every replicated type. Values are drawn from small ranges, so that many are
 * equal.
 */
class RolloutMergeTest {
    /** A router's name of the maximum length, see {@code Packet.MAX_NAME_LENGTH}. */
    private static final String LONGEST_NAME = "n".repeat(100);

    private static RolloutProgress randomProgress(Random random) {
        var proposer = new Member(LONGEST_NAME, 1_700_000_000_000L + random.nextInt(2));
        var proposal = new Proposal(
                proposer,
                random.nextInt(2),
                "a".repeat(32),
                "b".repeat(31) + random.nextInt(2),
                1 + random.nextInt(2),
                "c".repeat(32),
                7,
                10,
                1 + random.nextInt(2));
        RolloutEnd end = random.nextBoolean()
                ? null
                : RolloutEnd.of(
                        EndCause.ofCode(random.nextInt(5)),
                        "r".repeat(200 + random.nextInt(2)),
                        LONGEST_NAME,
                        random.nextInt(2));
        return new RolloutProgress(proposal, random.nextInt(4), end, random.nextInt(3));
    }

    private static MemberCounters randomCounters(Random random, int size) {
        long[] counts = new long[size];
        for (int i = 0; i < size; i++) {
            counts[i] = i == 0 ? random.nextInt(2) : Integer.MAX_VALUE;
        }
        return new MemberCounters(random.nextInt(3), random.nextInt(3), counts);
    }

    @Property(tries = 300, seed = "42")
    void mergeSatisfiesLawsAndEncodingIsLossless(@ForAll @IntRange(min = 0, max = 5) int type, @ForAll long seed) {
        switch (type) {
            case 0 -> assertMergeLaws(RolloutProgress.TYPE, RolloutMergeTest::randomProgress, seed);
            case 1 ->
                assertMergeLaws(
                        TextChunk.TYPE,
                        random -> new TextChunk(new byte[random.nextInt(2) * 899 + 1], random.nextInt(3)),
                        seed);
            case 2 ->
                assertMergeLaws(StageVote.TYPE, random -> new StageVote(random.nextInt(4), random.nextInt(3)), seed);
            case 3 ->
                assertMergeLaws(
                        MemberCounters.OUTCOME_COUNTS, random -> randomCounters(random, CounterLayout.SIZE), seed);
            case 4 ->
                assertMergeLaws(
                        MemberCounters.BASELINE_LATENCIES,
                        random -> randomCounters(random, LatencyHistogram.SIZE),
                        seed);
            default ->
                assertMergeLaws(
                        MemberCounters.CANDIDATE_LATENCIES,
                        random -> randomCounters(random, LatencyHistogram.SIZE),
                        seed);
        }
    }

    private static <V> void assertMergeLaws(ReplicatedType<V> type, Function<Random, V> generator, long seed) {
        var random = new Random(seed);
        V a = generator.apply(random);
        V b = generator.apply(random);
        V c = generator.apply(random);
        V merged = type.merge(a, b);
        assertEquals(merged, type.merge(b, a));
        assertEquals(type.merge(merged, c), type.merge(a, type.merge(b, c)));
        assertEquals(a, type.merge(a, a));
        assertEquals(merged, type.merge(merged, a));
        assertTrue(type.timestamp(merged) >= Math.max(type.timestamp(a), type.timestamp(b)));
        var member = new Member(LONGEST_NAME, 1_700_000_000_000L);
        var longestKey = new CounterKey("0".repeat(16), 16, member, "g".repeat(Guard.MAX_CLASS_BYTES));
        assertEquals(a, RolloutCluster.encodeAndDecode(type, longestKey.encode(), a));
        if (merged instanceof RolloutProgress progress
                && (((RolloutProgress) a).end() != null || ((RolloutProgress) b).end() != null)) {
            assertTrue(progress.end() != null, "a halt wins over every stage");
        }
    }

    /** Counters that are received late, twice or over several paths count only once. */
    @Property(tries = 100, seed = "42")
    void duplicateCountersAreCountedOnce(@ForAll long seed) {
        var random = new Random(seed);
        var store = new InMemoryStore();
        var delayedStore = new InMemoryStore();
        var newest = new MemberCounters[3];
        for (int i = 0; i < 30; i++) {
            int writer = random.nextInt(newest.length);
            long[] counts = new long[CounterLayout.SIZE];
            counts[CounterLayout.EVIDENCE_SIZE] = i + 1L;
            var counters = new MemberCounters(i, i, counts);
            newest[writer] = counters;
            String key = new CounterKey("rollout", 1, new Member("r/" + writer, 1), "a/b").encode();
            store.merge(MemberCounters.OUTCOME_COUNTS, key, counters, 40);
            if (random.nextBoolean()) {
                delayedStore.merge(MemberCounters.OUTCOME_COUNTS, key, counters, 40);
            }
        }
        store.forEach(
                MemberCounters.OUTCOME_COUNTS,
                (key, counters) -> delayedStore.merge(MemberCounters.OUTCOME_COUNTS, key, counters, 40));
        delayedStore.forEach(
                MemberCounters.OUTCOME_COUNTS,
                (key, counters) -> store.merge(MemberCounters.OUTCOME_COUNTS, key, counters, 40));
        long sum = 0;
        for (MemberCounters counters : newest) {
            sum += counters == null ? 0 : counters.counts()[CounterLayout.EVIDENCE_SIZE];
        }
        assertEquals(
                sum,
                MergedCounters.collect(store, "rollout", 1)
                        .forRequestClass("a/b")
                        .requests(Variant.BASELINE));
        assertEquals(
                sum,
                MergedCounters.collect(delayedStore, "rollout", 1)
                        .forRequestClass("a/b")
                        .requests(Variant.BASELINE));
    }
}
