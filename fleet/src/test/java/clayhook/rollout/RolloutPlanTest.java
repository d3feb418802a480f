package clayhook.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.fleet.Member;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RolloutPlanTest {
    private static final double NONE = Double.POSITIVE_INFINITY;

    @ParameterizedTest
    @CsvSource({
        "0.5,  10, 5, read, FAILED, 0.02, 0.01,  ''",
        "0.5,  10, 5, read, SLOW,   3.0,  1.5,   ''",
        "1.0,  10, 5, read, FAILED, 0.02, 0.01,  stage[1].share",
        "0.1,  10, 5, read, FAILED, 0.02, 0.01,  stage[1].share",
        "NaN,  10, 5, read, FAILED, 0.02, 0.01,  stage[1].share",
        "0.5,  -1, 5, read, FAILED, 0.02, 0.01,  stage[1].seconds",
        "0.5,  10, 0, read, FAILED, 0.02, 0.01,  stage[1].samples",
        "0.5,  10, 5, '',   FAILED, 0.02, 0.01,  stage[1].guard[0].group",
        "0.5,  10, 5, read, FAILED, 3.0,  0.01,  stage[1].guard[0].most",
        "0.5,  10, 5, read, FAILED, 0.02, -0.1,  stage[1].guard[0].worse",
        "0.5,  10, 5, read, FAILED, Infinity, Infinity, stage[1].guard[0]"
    })
    void validationNamesTheInvalidKey(
            double share,
            double minSeconds,
            long minSamples,
            String requestClass,
            GuardMetric metric,
            double absoluteLimit,
            double regressionLimit,
            String key) {
        var first = new RolloutStage(0.1, 0, 1, List.of(new Guard("*", GuardMetric.LATE, NONE, 0)));
        var guard = new Guard(requestClass, metric, absoluteLimit, regressionLimit);
        var second = new RolloutStage(share, minSeconds, minSamples, List.of(guard));
        var plan = new RolloutPlan(List.of(first, second), RolloutPlan.DEFAULT_ALPHA, 1);
        assertEquals(
                key.isEmpty() ? List.of() : List.of(key),
                plan.validate().stream().map(RolloutProblem::key).toList());
        if (key.isEmpty()) {
            var terms = new RolloutTerms(plan, 3, List.of(new Member("a", 1), new Member("b", 2)));
            assertEquals(terms, RolloutTerms.decode(terms.encode()));
        }
    }

    @Test
    void ruleSetHashIgnoresKeyOrder() {
        Map<String, Object> one =
                Map.of("name", "a \"b\"\n", "class", "read", "cost_from", 0.5, "nodes", List.of(1L, 2L));
        var other = new LinkedHashMap<String, Object>();
        List.of("nodes", "cost_from", "class", "name").forEach(key -> other.put(key, one.get(key)));
        var problems = new ArrayList<RolloutProblem>();
        RuleSet set = RuleSet.of(Map.of(), List.of(one), problems);
        assertEquals(set, RuleSet.of(Map.of(), List.of(other), problems));
        assertEquals(
                """
                [statements]
                [[statements.rule]]
                class = "read"
                cost_from = 0.5
                name = "a \\"b\\"\\u000A"
                nodes = [1, 2]
                """,
                set.text());
        assertTrue(set.hash().matches("[0-9a-f]{32}"));
        assertEquals(List.of(), problems);
        assertNull(RuleSet.of(Map.of("reads", List.of("f")), List.of(Map.of("nodes", new Object())), problems));
        assertEquals(
                List.of("reads", "rule[0].nodes"),
                problems.stream().map(RolloutProblem::key).toList());
    }

    /**
     * A session that gets the candidate at one share also gets it at any larger share, and the number of such sessions
     * matches the share.
     */
    @Property(tries = 50, seed = "42")
    void sessionsKeepTheCandidateAsTheShareGrows(
            @ForAll long seed,
            @ForAll @DoubleRange(max = 1) double share,
            @ForAll @DoubleRange(max = 1) double factor) {
        TrafficSplit small = split(share * factor);
        TrafficSplit large = split(share);
        int candidates = 0;
        for (int i = 0; i < 4000; i++) {
            long session = seed + i;
            assertTrue(!small.isCandidateSession(session) || large.isCandidateSession(session));
            assertEquals(
                    large.isCandidateSession(session),
                    large.versionFor(session, 9).isCandidate());
            assertEquals("old", large.versionFor(session, 10).rulesHash(), "the lease is over");
            candidates += large.isCandidateSession(session) ? 1 : 0;
        }
        assertEquals(share, candidates / 4000.0, 0.05);
    }

    private static TrafficSplit split(double share) {
        var old = RuleSetVersion.outsideRollouts("old");
        var candidate = new RuleSetVersion("00000000deadbeef", "rollout", 1, true, Map.of());
        return TrafficSplit.between(old, old, candidate, share, 10);
    }

    @Test
    void percentile99IsWithinOneBucket() {
        long[] counts = new long[LatencyHistogram.SIZE];
        for (int i = 1; i <= 10_000; i++) {
            counts[LatencyHistogram.bucketOf(i / 1000.0)]++;
        }
        assertEquals(9.9, LatencyHistogram.percentile99(counts), 9.9 * 0.1);
        assertTrue(Double.isNaN(LatencyHistogram.percentile99(new long[LatencyHistogram.SIZE])));
        assertEquals(0, LatencyHistogram.bucketOf(0));
        assertEquals(LatencyHistogram.SIZE - 1, LatencyHistogram.bucketOf(1e9));
    }
}
