package clayhook.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

/**
 * Exchanges, losses, cuts, deaths, and operators at several ends in any order: the rules hold, and all come to the
 * same.
 */
class RolloutAgreementTest {
    @Property(tries = 150, seed = "42", shrinking = ShrinkingMode.OFF)
    void invariantsHoldInEveryInterleaving(@ForAll long seed) {
        var chance = new Random(seed);
        var ended = new HashSet<String>();
        var net = new RolloutCluster(3 + chance.nextInt(3));
        net.run(5);
        for (int i = 0; i < 300; i++) {
            applyRandomAction(net, chance);
            assertNull(net.findViolation(), "seed " + seed + ", step " + i);
            assertEndsArePermanent(net, ended);
        }
        net.partition(0);
        for (int i = 0; i < net.nodes.length; i++) {
            if (net.nodes[i] == null) {
                net.startNode(i);
            }
        }
        net.run(10);
        for (RolloutCluster.RolloutNode node : net.nodes) {
            assertEquals(
                    net.nodes[0].store.digest(RolloutProgress.TYPE, net.now),
                    node.store.digest(RolloutProgress.TYPE, net.now));
            assertEquals(
                    net.nodes[0].controller.split().currentRulesHash(),
                    node.controller.split().currentRulesHash(),
                    "seed " + seed);
        }
    }

    private static void applyRandomAction(RolloutCluster net, Random chance) {
        int some = chance.nextInt(net.nodes.length);
        int other = chance.nextInt(net.nodes.length);
        int what = chance.nextInt(100);
        if (what < 30) {
            net.exchange(some, other);
        } else if (what < 50) {
            net.deliver(some, other);
        } else if (what < 60) {
            net.links.get(some).get(other).pollFirst();
        } else if (what < 80) {
            net.now += 0.25;
            net.serveRequests(20, chance.nextInt(20) == 0 ? 0.5 : 0);
            net.tick(some);
        } else if (what < 92) {
            net.step();
        } else if (what < 94) {
            net.partition(chance.nextInt(net.nodes.length));
        } else if (what < 95) {
            net.killNode(some);
        } else if (what < 97) {
            net.startNode(some);
        } else if (net.nodes[some] != null) {
            if (what < 99) {
                RolloutPlan plan = RolloutCluster.plan(1, 1).withAttempt(1 + chance.nextInt(3));
                net.nodes[some].controller.propose(plan, "set " + chance.nextInt(2), net.now);
            } else {
                net.nodes[some].controller.withdraw(net.now);
            }
        }
    }

    private static void assertEndsArePermanent(RolloutCluster net, Set<String> ended) {
        for (RolloutCluster.RolloutNode node : net.nodes) {
            if (node != null) {
                node.store.forEach(RolloutProgress.TYPE, (id, round) -> {
                    if (round.end() != null) {
                        ended.add(node.member + id);
                    }
                });
                ended.stream()
                        .filter(key -> key.startsWith(node.member.toString()))
                        .forEach(key -> assertNotNull(node.store
                                .get(
                                        RolloutProgress.TYPE,
                                        key.substring(node.member.toString().length()))
                                .end()));
            }
        }
    }
}
