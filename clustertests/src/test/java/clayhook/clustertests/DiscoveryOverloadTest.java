package clayhook.clustertests;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.Endpoint;
import clayhook.clustertests.LoadClient.Answer;
import clayhook.clustertests.QueueingDiscovery.Mode;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Runs router processes, most of which are restarted while discovery rejects their polls and nodes drain.
 *
 * <p>It also guards against lists that remain out of date after discovery has recovered. That failed one of four runs
 * of CI: ten seconds after the recovery fewer calls had been answered than there are routers. The four routers that
 * were not restarted had the newest version, so their watches, opened 0.3 to 2.1 s after the recovery, waited 9.1 s for
 * a change, and after the rejections their next checks were up to 14 s away (trace of seed 1 without health checks, run
 * while a soak was running). A watch that is opened after two rejections now waits three seconds, and all calls are
 * answered after 4.7 to 7.3 s.
 */
class DiscoveryOverloadTest {
    private static final int ROUTERS = Integer.getInteger("clayhook.routers", 12);
    private static final int NODES = 9;
    private static final int DRAINING_NODES = 3;
    /** Fraction of the routers that are killed at the same time. */
    private static final double KILLED_FRACTION = 0.7;

    private static final double ALL_CALLS_SECONDS = 3;
    /** Longer than the time in milliseconds after which every router counts as notified of the change. */
    private static final long CROWDED_MS = 10_000;

    private static final double RECOVERY_SECONDS = 10;

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void drainingNodesGetNoNewRequestsWhileDiscoveryRejectsPolls(boolean healthChecksAllowed) throws Exception {
        try (var fleet = new RouterFleet(new FleetSpec(
                RouterProgram.of(ClusterTest.JAR), ROUTERS, NODES, ALL_CALLS_SECONDS, healthChecksAllowed, 1))) {
            fleet.startLoad();
            assertTrue(fleet.await(() -> fleet.answered(Answer.SERVED) > 10 * ROUTERS, RECOVERY_SECONDS), fleet::logs);
            List<RouterProcess> killed = fleet.routers().subList(0, (int) (KILLED_FRACTION * ROUTERS));
            List<ClusterNode> draining = fleet.nodes().subList(NODES - DRAINING_NODES, NODES);
            fleet.kill(killed);
            fleet.discovery().setMode(Mode.CROWDED);
            fleet.setState(draining, Endpoint.State.DRAINING);
            fleet.start(killed);
            int served = fleet.answered(Answer.SERVED);
            int rejected = fleet.answered(Answer.REJECTED);
            Thread.sleep(CROWDED_MS);
            int servedWhileCrowded = fleet.answered(Answer.SERVED) - served;
            int rejectedWhileCrowded = fleet.answered(Answer.REJECTED) - rejected;
            fleet.discovery().setMode(Mode.NORMAL);
            int answers = fleet.discovery().answers();
            assertTrue(fleet.await(() -> fleet.discovery().answers() >= answers + ROUTERS, RECOVERY_SECONDS));
            fleet.stopLoad();
            assertEquals(List.of(), fleet.drains().violations());
            assertEquals(Map.of(), fleet.brokenRules(), fleet::firstViolation);
            assertTrue(
                    servedWhileCrowded > rejectedWhileCrowded,
                    servedWhileCrowded + " served, " + rejectedWhileCrowded + " rejected");
        }
    }
}
