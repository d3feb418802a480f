package clayhook.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.rollout.RolloutEnd.EndCause;
import clayhook.rollout.RolloutEvent.EventType;
import java.util.Arrays;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests rollouts of five routers from the proposal to the end, with vetoes, halts, partitions and restarts. */
class RolloutControllerTest {
    private static final String RULES = "[statements]\n".repeat(9000);
    private static final RolloutPlan PLAN = RolloutCluster.plan(3, 20);

    private final RolloutCluster cluster = new RolloutCluster(5);

    @BeforeEach
    void runUntilSettled() {
        cluster.run(5);
    }

    private void runUntil(double seconds, double failureShare, BooleanSupplier condition) {
        for (double end = cluster.now + seconds; !condition.getAsBoolean(); ) {
            assertTrue(cluster.now < end, "condition not met in time");
            cluster.serveRequests(200, failureShare);
            cluster.step();
            assertNull(cluster.findViolation());
        }
    }

    private boolean allNodes(Predicate<RolloutNode> condition) {
        return Arrays.stream(cluster.nodes).allMatch(node -> node == null || condition.test(node));
    }

    private void startRollout() {
        assertEquals(List.of(), cluster.nodes[0].controller.propose(PLAN, RULES, cluster.now));
        runUntil(10, 0, () -> allNodes(RolloutNode::isRunning));
    }

    private boolean allEnded(EndCause cause) {
        return allNodes(node -> node.latestProgress() != null
                && node.latestProgress().end() != null
                && node.latestProgress().end().cause() == cause
                && !node.isRunning());
    }

    /** Whether two routers give the candidate to the same sessions; true if they do not run the same stage. */
    private static boolean haveSameSplit(RolloutNode first, RolloutNode second) {
        boolean sameStage =
                first.latestProgress().stage() == second.latestProgress().stage();
        if (!second.isRunning() || !first.isRunning() || !sameStage) {
            return true;
        }
        TrafficSplit split = first.controller.split();
        return IntStream.range(0, 50)
                .allMatch(session -> split.isCandidateSession(session)
                        == second.controller.split().isCandidateSession(session));
    }

    @Test
    void advancesThroughAllStages() {
        startRollout();
        runUntil(40, 0, () -> {
            assertTrue(allNodes(node -> haveSameSplit(cluster.nodes[0], node)));
            return allNodes(node -> node.hasEvent(EventType.COMPLETED));
        });
        String hash = RuleSet.of(RULES).hash();
        assertTrue(allNodes(node ->
                node.currentRulesHash().equals(hash) && node.controller.split().candidateRulesHash() == null));
        assertEquals(
                List.of(),
                cluster.nodes[0].controller.propose(PLAN, RULES, cluster.now),
                "proposing the same file again has no effect");
        RolloutNode restarted = cluster.startNode(2);
        runUntil(5, 0, () -> restarted.currentRulesHash().equals(hash));
        cluster.nodes[3].controller.onConfiguredRules(hash, cluster.now);
        assertNotNull(cluster.nodes[3].controller.withdraw(cluster.now), "its own file has the rules");
        assertNull(cluster.nodes[0].controller.withdraw(cluster.now));
        runUntil(2, 0, () -> cluster.nodes[1].currentRulesHash().equals(cluster.settings.configuredRulesHash()));
    }

    @Test
    void routerThatCannotReadTheRulesVetoesBeforeTheStart() {
        cluster.nodes[3].invalidRules = RULES;
        cluster.nodes[0].controller.propose(PLAN, RULES, cluster.now);
        runUntil(3, 0, () -> allEnded(EndCause.VETOED));
        assertEquals("no such key", cluster.nodes[1].latestProgress().end().reason());
        assertFalse(Arrays.stream(cluster.nodes).anyMatch(node -> node.hasEvent(EventType.CANDIDATE_RUNNING)));
    }

    @Test
    void haltedRolloutRestartsOnlyOnResume() {
        startRollout();
        runUntil(10, 0.2, () -> allEnded(EndCause.HALTED));
        assertTrue(
                cluster.nodes[4].latestProgress().end().reason().startsWith("stage 1, *:"),
                cluster.nodes[4].latestProgress().end().reason());
        assertEquals(
                "attempt",
                cluster.nodes[0]
                        .controller
                        .propose(PLAN, RULES, cluster.now)
                        .get(0)
                        .key());
        cluster.run(5);
        assertTrue(allNodes(node -> !node.isRunning()));
        assertNull(cluster.nodes[4].controller.resume(cluster.now));
        runUntil(10, 0, () -> allNodes(RolloutNode::isRunning));
        assertEquals(1, cluster.nodes[0].controller.status().stage());
    }

    /**
     * The routers without a majority return to the baseline and may withdraw the rollout. The withdrawal reaches all
     * routers within a second after the partition is healed.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void partitionedMinorityFallsBackWhenItsLeaseExpires(boolean withdraws) {
        startRollout();
        cluster.partition(2);
        double partitionedAt = cluster.now;
        runUntil(
                cluster.settings.leaseSeconds() + 0.5,
                0,
                () -> !cluster.nodes[0].isRunning() && !cluster.nodes[1].isRunning());
        assertTrue(cluster.now - partitionedAt > 1, "the lease was still held");
        assertTrue(cluster.nodes[0].hasEvent(EventType.LEASE_EXPIRED));
        runUntil(20, 0, () -> cluster.nodes[4].latestProgress().stage() == 2);
        assertEquals(1, cluster.nodes[0].latestProgress().stage());
        if (withdraws) {
            assertNull(cluster.nodes[0].controller.withdraw(cluster.now));
        }
        cluster.partition(0);
        runUntil(
                withdraws ? 1 : 5,
                0,
                () -> withdraws ? allEnded(EndCause.WITHDRAWN) : allNodes(RolloutNode::isRunning));
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 2})
    void earlierOfTwoConcurrentProposalsWins(int partitionBoundary) {
        cluster.partition(partitionBoundary);
        cluster.run(2 * partitionBoundary);
        assertEquals(List.of(), cluster.nodes[4].controller.propose(PLAN, "b", cluster.now));
        cluster.tick(4);
        cluster.now += 0.1;
        assertEquals(List.of(), cluster.nodes[0].controller.propose(PLAN, "a", cluster.now));
        cluster.tick(0);
        assertEquals(
                partitionBoundary == 0,
                cluster.nodes[0].hasEvent(EventType.PROPOSED),
                "half of the fleet starts no rollout");
        runUntil(partitionBoundary == 0 ? 10 : 15, 0, () -> cluster.nodes[3].isRunning());
        cluster.partition(0);
        runUntil(10, 0, () -> allNodes(RolloutNode::isRunning));
        assertTrue(allNodes(node -> node.controller
                .split()
                .candidateRulesHash()
                .equals(RuleSet.of("b").hash())));
        assertTrue(cluster.nodes[0].hasEvent(partitionBoundary == 0 ? EventType.SUPERSEDED : EventType.REJECTED));
        assertNotNull(cluster.nodes[0].controller.withdraw(cluster.now), "its own rule set has lost to the other");
    }

    /**
     * Guards against two candidates that run at once. A router that runs one candidate is partitioned just after its
     * lease was renewed, and the others start another rollout: either because they receive an earlier proposal, or
     * because they were restarted and have no state of the first rollout.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void twoRolloutsNeverRunAtOnce(boolean restarted) {
        var three = new RolloutCluster(3);
        three.run(5);
        three.partition(1);
        three.nodes[0].controller.propose(PLAN, "a", three.now);
        three.tick(0);
        three.now += 0.1;
        three.nodes[2].controller.propose(PLAN, "b", three.now);
        RolloutNode last = three.nodes[2];
        stepUntil(
                three,
                () -> last.isRunning()
                        && last.controller.split().validUntil() - three.now > three.settings.leaseSeconds() - 0.3);
        three.partition(2);
        if (restarted) {
            three.startNode(0);
            three.startNode(1);
            three.nodes[0].controller.propose(PLAN, "a", three.now);
        }
        stepUntil(three, () -> three.nodes[0].isRunning() && three.nodes[1].isRunning());
        assertFalse(last.isRunning());
        assertEquals(RuleSet.of("a").hash(), three.nodes[1].controller.split().candidateRulesHash());
    }

    private static void stepUntil(RolloutCluster other, BooleanSupplier condition) {
        for (double end = other.now + 20; !condition.getAsBoolean(); ) {
            assertTrue(other.now < end, "condition not met in time");
            other.step();
            assertNull(other.findViolation());
        }
    }

    @Test
    void rolloutRestartsFromTheFirstStageAfterAllRoutersRestart() {
        startRollout();
        runUntil(20, 0, () -> cluster.nodes[2].latestProgress().stage() == 2);
        for (int i = 0; i < 5; i++) {
            cluster.startNode(i);
        }
        assertTrue(allNodes(
                node -> !node.isRunning() && node.currentRulesHash().equals(cluster.settings.configuredRulesHash())));
        assertEquals(List.of(), cluster.nodes[0].controller.propose(PLAN, RULES, cluster.now));
        runUntil(15, 0, () -> allNodes(RolloutNode::isRunning));
        assertEquals(1, cluster.nodes[0].latestProgress().stage());
    }

    @Test
    void departedMembersCountInTheMajorityAndNewMembersDoNotVote() {
        startRollout();
        cluster.serveRequests(200, 0);
        cluster.run(2);
        cluster.startNode(4);
        runUntil(5, 0, () -> cluster.nodes[4].isRunning() && cluster.nodes[0].hasEvent(EventType.MEMBER_DEPARTED));
        cluster.killNode(3);
        runUntil(20, 0, () -> cluster.nodes[0].latestProgress().stage() == 2);
        assertNull(cluster.nodes[0].store.get(
                StageVote.TYPE,
                StageVote.key(cluster.nodes[0].latestProgress().proposal().id(), cluster.nodes[4].member)));
        cluster.killNode(2);
        runUntil(cluster.settings.leaseSeconds() + 0.5, 0, () -> allNodes(node -> !node.isRunning()));
        cluster.run(20);
        assertEquals(2, cluster.nodes[0].latestProgress().stage());
    }

    /** If leases are renewed but no counters are received, the stage neither advances nor ends. */
    @Test
    void stageHoldsWhileCountersAreMissing() {
        startRollout();
        cluster.countersOmitted = true;
        runUntil(20, 0, () -> allNodes(node -> node.hasEvent(EventType.COUNTERS_MISSING)));
        int stage = cluster.nodes[0].latestProgress().stage();
        cluster.serveRequests(200, 0);
        cluster.run(20);
        assertTrue(allNodes(node -> node.isRunning() && node.latestProgress().stage() == stage));
        cluster.countersOmitted = false;
        runUntil(
                20,
                0,
                () -> allNodes(node -> node.hasEvent(EventType.COUNTERS_RESTORED)
                        && node.latestProgress().stage() > stage));
    }

    @Test
    void changedConfiguredRulesHaltTheRollout() {
        startRollout();
        cluster.nodes[2].controller.onConfiguredRules("other", cluster.now);
        runUntil(1, 0, () -> allEnded(EndCause.HALTED));
    }
}
