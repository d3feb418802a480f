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
 * Runs random interleavings of exchanges, lost messages, partitions, crashes and operators' requests at several
 * routers. Checks that the invariants hold at each step and that all routers agree in the end.
 */
class RolloutAgreementTest {
    private static final int ACTIONS = 300;

    @Property(tries = 150, seed = "42", shrinking = ShrinkingMode.OFF)
    void invariantsHoldInEveryInterleaving(@ForAll long seed) {
        var random = new Random(seed);
        var ended = new HashSet<String>();
        var cluster = new RolloutCluster(3 + random.nextInt(3));
        cluster.run(5);
        for (int i = 0; i < ACTIONS; i++) {
            applyRandomAction(cluster, random);
            assertNull(cluster.findViolation(), "seed " + seed + ", step " + i);
            assertEndsArePermanent(cluster, ended);
        }
        heal(cluster);
        RolloutNode first = cluster.nodes[0];
        for (RolloutNode node : cluster.nodes) {
            assertEquals(
                    first.store.digest(RolloutProgress.TYPE, cluster.now),
                    node.store.digest(RolloutProgress.TYPE, cluster.now));
            assertEquals(first.currentRulesHash(), node.currentRulesHash(), "seed " + seed);
        }
    }

    private static void heal(RolloutCluster cluster) {
        cluster.partition(0);
        for (int i = 0; i < cluster.nodes.length; i++) {
            if (cluster.nodes[i] == null) {
                cluster.startNode(i);
            }
        }
        cluster.run(10);
    }

    private static void applyRandomAction(RolloutCluster cluster, Random random) {
        int first = random.nextInt(cluster.nodes.length);
        int second = random.nextInt(cluster.nodes.length);
        int percent = random.nextInt(100);
        if (percent < 30) {
            cluster.exchange(first, second);
        } else if (percent < 50) {
            cluster.deliver(first, second);
        } else if (percent < 60) {
            cluster.links.get(first).get(second).pollFirst();
        } else if (percent < 80) {
            cluster.now += RolloutCluster.STEP_SECONDS;
            cluster.serveRequests(20, random.nextInt(20) == 0 ? 0.5 : 0);
            cluster.tick(first);
        } else if (percent < 92) {
            cluster.step();
        } else if (percent < 94) {
            cluster.partition(random.nextInt(cluster.nodes.length));
        } else if (percent < 95) {
            cluster.killNode(first);
        } else if (percent < 97) {
            cluster.startNode(first);
        } else if (cluster.nodes[first] != null) {
            proposeOrWithdraw(cluster, cluster.nodes[first], percent < 99, random);
        }
    }

    private static void proposeOrWithdraw(RolloutCluster cluster, RolloutNode node, boolean propose, Random random) {
        if (propose) {
            RolloutPlan plan = RolloutCluster.plan(1, 1).withAttempt(1 + random.nextInt(3));
            node.controller.propose(plan, "set " + random.nextInt(2), cluster.now);
        } else {
            node.controller.withdraw(cluster.now);
        }
    }

    /**
     * Checks that no router loses the end of a rollout that it has received.
     *
     * @param ended keys of member and rollout for all ends found so far; current ends are added
     */
    private static void assertEndsArePermanent(RolloutCluster cluster, Set<String> ended) {
        for (RolloutNode node : cluster.nodes) {
            if (node != null) {
                String member = node.member.toString();
                node.store.forEach(RolloutProgress.TYPE, (id, progress) -> {
                    if (progress.end() != null) {
                        ended.add(member + id);
                    }
                });
                ended.stream()
                        .filter(key -> key.startsWith(member))
                        .map(key -> key.substring(member.length()))
                        .forEach(id -> assertNotNull(
                                node.store.get(RolloutProgress.TYPE, id).end()));
            }
        }
    }
}
