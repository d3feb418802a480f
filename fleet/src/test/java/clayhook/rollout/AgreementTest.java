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
class AgreementTest {
    @Property(tries = 150, seed = "42", shrinking = ShrinkingMode.OFF)
    void rulesHoldInEveryInterleaving(@ForAll long seed) {
        var chance = new Random(seed);
        var ended = new HashSet<String>();
        var net = new Net(3 + chance.nextInt(3));
        net.run(5);
        for (int i = 0; i < 300; i++) {
            happens(net, chance);
            assertNull(net.broken(), "seed " + seed + ", step " + i);
            endsStay(net, ended);
        }
        net.split(0);
        for (int i = 0; i < net.nodes.length; i++) {
            if (net.nodes[i] == null) {
                net.start(i);
            }
        }
        net.run(10);
        for (Net.Node node : net.nodes) {
            assertEquals(net.nodes[0].shared.digest(Round.KIND, net.now), node.shared.digest(Round.KIND, net.now));
            assertEquals(
                    net.nodes[0].rollouts.split().current(),
                    node.rollouts.split().current(),
                    "seed " + seed);
        }
    }

    private static void happens(Net net, Random chance) {
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
            net.serve(20, chance.nextInt(20) == 0 ? 0.5 : 0);
            net.turn(some);
        } else if (what < 92) {
            net.step();
        } else if (what < 94) {
            net.split(chance.nextInt(net.nodes.length));
        } else if (what < 95) {
            net.kill(some);
        } else if (what < 97) {
            net.start(some);
        } else if (net.nodes[some] != null) {
            if (what < 99) {
                Plan plan = Net.plan(1, 1).again(1 + chance.nextInt(3));
                net.nodes[some].rollouts.propose(plan, "set " + chance.nextInt(2), net.now);
            } else {
                net.nodes[some].rollouts.withdraw(net.now);
            }
        }
    }

    private static void endsStay(Net net, Set<String> ended) {
        for (Net.Node node : net.nodes) {
            if (node != null) {
                node.shared.forEach(Round.KIND, (id, round) -> {
                    if (round.end() != null) {
                        ended.add(node.member + id);
                    }
                });
                ended.stream()
                        .filter(key -> key.startsWith(node.member.toString()))
                        .forEach(key -> assertNotNull(node.shared
                                .get(
                                        Round.KIND,
                                        key.substring(node.member.toString().length()))
                                .end()));
            }
        }
    }
}
