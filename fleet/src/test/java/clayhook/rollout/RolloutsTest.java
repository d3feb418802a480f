package clayhook.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Five routers from the proposal to its end, and each rule on what may come between. */
class RolloutsTest {
    private static final String RULES = "[statements]\n".repeat(9000);
    private static final Plan PLAN = Net.plan(3, 20);

    private final Net net = new Net(5);

    @BeforeEach
    void settle() {
        net.run(5);
    }

    private void until(double seconds, double failing, BooleanSupplier done) {
        for (double end = net.now + seconds; !done.getAsBoolean(); ) {
            assertTrue(net.now < end, "too late");
            net.serve(200, failing);
            net.step();
            assertNull(net.broken());
        }
    }

    private boolean all(Predicate<Net.Node> holds) {
        return Arrays.stream(net.nodes).allMatch(node -> node == null || holds.test(node));
    }

    private void begun() {
        assertEquals(List.of(), net.nodes[0].rollouts.propose(PLAN, RULES, net.now));
        until(10, 0, () -> all(Net.Node::runs));
    }

    private boolean ended(End.What what) {
        return all(node -> node.round() != null
                && node.round().end() != null
                && node.round().end().what() == what
                && !node.runs());
    }

    @Test
    void goesThroughItsStagesUntilAllHaveIt() {
        begun();
        until(40, 0, () -> {
            assertTrue(all(node -> !node.runs()
                    || IntStream.range(0, 50)
                            .allMatch(session ->
                                    net.nodes[0].round().stage() != node.round().stage()
                                            || !net.nodes[0].runs()
                                            || net.nodes[0].rollouts.split().candidate(session)
                                                    == node.rollouts.split().candidate(session))));
            return all(node -> node.told(News.What.DONE));
        });
        String hash = RuleSet.of(RULES).hash();
        assertTrue(all(node -> node.rollouts.split().current().equals(hash)
                && node.rollouts.split().candidate() == null));
        assertEquals(List.of(), net.nodes[0].rollouts.propose(PLAN, RULES, net.now), "the same file read again");
        Net.Node late = net.start(2);
        until(5, 0, () -> late.rollouts.split().current().equals(hash));
        net.nodes[3].rollouts.standing(hash, net.now);
        assertNotNull(net.nodes[3].rollouts.withdraw(net.now), "its own file has the rules");
        assertNull(net.nodes[0].rollouts.withdraw(net.now));
        until(2, 0, () -> net.nodes[1].rollouts.split().current().equals(net.settings.standing()));
    }

    @Test
    void whoCannotReadItVetoesBeforeAnythingBegins() {
        net.nodes[3].unreadable = RULES;
        net.nodes[0].rollouts.propose(PLAN, RULES, net.now);
        until(3, 0, () -> ended(End.What.VETOED));
        assertEquals("no such key", net.nodes[1].round().end().reason());
        assertFalse(Arrays.stream(net.nodes).anyMatch(node -> node.told(News.What.RUNS)));
    }

    @Test
    void haltsAndIsResumedOnlyByTheOperatorsWord() {
        begun();
        until(10, 0.2, () -> ended(End.What.HALTED));
        assertTrue(
                net.nodes[4].round().end().reason().startsWith("stage 1, *:"),
                net.nodes[4].round().end().reason());
        assertEquals(
                "attempt",
                net.nodes[0].rollouts.propose(PLAN, RULES, net.now).get(0).key());
        net.run(5);
        assertTrue(all(node -> !node.runs()));
        assertNull(net.nodes[4].rollouts.resume(net.now));
        until(10, 0, () -> all(Net.Node::runs));
        assertEquals(1, net.nodes[0].rollouts.status().stage());
    }

    /** What the side without a majority may do: fall back, and halt; the halt crosses the heal within a second. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void whoIsCutOffFallsBackByItself(boolean withdraws) {
        begun();
        net.split(2);
        double cut = net.now;
        until(net.settings.lease() + 0.5, 0, () -> !net.nodes[0].runs() && !net.nodes[1].runs());
        assertTrue(net.now - cut > 1, "it had a lease");
        assertTrue(net.nodes[0].told(News.What.CUT_OFF));
        until(20, 0, () -> net.nodes[4].round().stage() == 2);
        assertEquals(1, net.nodes[0].round().stage());
        if (withdraws) {
            assertNull(net.nodes[0].rollouts.withdraw(net.now));
        }
        net.split(0);
        until(withdraws ? 1 : 5, 0, () -> withdraws ? ended(End.What.WITHDRAWN) : all(Net.Node::runs));
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 2})
    void ofTwoBegunAtTwoEndsOneWinsEverywhere(int cut) {
        net.split(cut);
        net.run(2 * cut);
        assertEquals(List.of(), net.nodes[4].rollouts.propose(PLAN, "b", net.now));
        net.turn(4);
        net.now += 0.1;
        assertEquals(List.of(), net.nodes[0].rollouts.propose(PLAN, "a", net.now));
        net.turn(0);
        assertEquals(cut == 0, net.nodes[0].told(News.What.PROPOSED), "no half of the fleet begins one");
        until(cut == 0 ? 10 : 15, 0, () -> net.nodes[3].runs());
        net.split(0);
        until(10, 0, () -> all(Net.Node::runs));
        assertTrue(all(
                node -> node.rollouts.split().candidate().equals(RuleSet.of("b").hash())));
        assertTrue(net.nodes[0].told(cut == 0 ? News.What.SUPERSEDED : News.What.REFUSED));
        assertNotNull(net.nodes[0].rollouts.withdraw(net.now), "it has lost, and leaves the other alone");
    }

    /**
     * A router that runs one candidate is cut off with its whole lease ahead, and the others go for another one:
     * because an earlier proposal came to them, or because they were started anew and know nothing of the first.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void noTwoRunAtOnce(boolean restarted) {
        var three = new Net(3);
        three.run(5);
        three.split(1);
        three.nodes[0].rollouts.propose(PLAN, "a", three.now);
        three.turn(0);
        three.now += 0.1;
        three.nodes[2].rollouts.propose(PLAN, "b", three.now);
        Net.Node last = three.nodes[2];
        steps(three, () -> last.runs() && last.rollouts.split().until() - three.now > three.settings.lease() - 0.3);
        three.split(2);
        if (restarted) {
            three.start(0);
            three.start(1);
            three.nodes[0].rollouts.propose(PLAN, "a", three.now);
        }
        steps(three, () -> three.nodes[0].runs() && three.nodes[1].runs());
        assertFalse(last.runs());
        assertEquals(RuleSet.of("a").hash(), three.nodes[1].rollouts.split().candidate());
    }

    private static void steps(Net net, BooleanSupplier done) {
        for (double end = net.now + 20; !done.getAsBoolean(); ) {
            assertTrue(net.now < end, "too late");
            net.step();
            assertNull(net.broken());
        }
    }

    @Test
    void allKilledAtOnceBeginsAnewFromTheFirstStage() {
        begun();
        until(20, 0, () -> net.nodes[2].round().stage() == 2);
        for (int i = 0; i < 5; i++) {
            net.start(i);
        }
        assertTrue(all(node -> !node.runs() && node.rollouts.split().current().equals(net.settings.standing())));
        assertEquals(List.of(), net.nodes[0].rollouts.propose(PLAN, RULES, net.now));
        until(15, 0, () -> all(Net.Node::runs));
        assertEquals(1, net.nodes[0].round().stage());
    }

    @Test
    void theDeadCountInTheMajorityAndNewcomersDoNotVote() {
        begun();
        net.serve(200, 0);
        net.run(2);
        net.start(4);
        until(5, 0, () -> net.nodes[4].runs() && net.nodes[0].told(News.What.FIGURES_END));
        net.kill(3);
        until(20, 0, () -> net.nodes[0].round().stage() == 2);
        assertNull(net.nodes[0].shared.get(
                Vote.KIND, Vote.key(net.nodes[0].round().proposal().id(), net.nodes[4].member)));
        net.kill(2);
        until(net.settings.lease() + 0.5, 0, () -> all(node -> !node.runs()));
        net.run(20);
        assertEquals(2, net.nodes[0].round().stage());
    }

    /** Contact there is, but no figures: neither on nor back. */
    @Test
    void blindItWaits() {
        begun();
        net.mute = true;
        until(20, 0, () -> all(node -> node.told(News.What.BLIND)));
        int stage = net.nodes[0].round().stage();
        net.serve(200, 0);
        net.run(20);
        assertTrue(all(node -> node.runs() && node.round().stage() == stage));
        net.mute = false;
        until(
                20,
                0,
                () -> all(node -> node.told(News.What.SEEING) && node.round().stage() > stage));
    }

    @Test
    void otherRulesToStandOnHaltIt() {
        begun();
        net.nodes[2].rollouts.standing("other", net.now);
        until(1, 0, () -> ended(End.What.HALTED));
    }
}
