package clayhook.clustertests;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.Endpoint;
import clayhook.clustertests.ClusterNode.Behavior;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Runs five router processes without sharing under faults of processes and nodes. */
@Tag("processes")
class ClusterTest {
    static final Path JAR = Path.of(System.getProperty("clayhook.jar"));
    static final int ROUTERS = 5;
    /** Requests that each router must answer with a value before the next step. */
    static final int STEP_REQUESTS = 20;

    static void assertNoViolations(TestCluster fleet) throws InterruptedException {
        fleet.stopLoad();
        assertEquals(
                Map.of(), fleet.history().brokenRules(), () -> fleet.history().firstViolation() + "\n" + fleet.logs());
    }

    /**
     * Injects faults of nodes under load. A draining node must get no new requests once routers are notified; nodes
     * that are dead, demoted, behind or leave writes in doubt must cause no violation.
     */
    private static void injectNodeFaults(TestCluster fleet) throws InterruptedException {
        TestReplicaSet replicaSet = fleet.replicaSet();
        ClusterNode initialPrimary = replicaSet.nodes().get(0);
        ClusterNode replica = replicaSet.nodes().get(1);
        replica.setState(Endpoint.State.DRAINING);
        assertTrue(fleet.awaitServed(fleet.runningRouters(), 5 * STEP_REQUESTS), fleet::logs);
        int before = fleet.history().executions(replica.node());
        assertTrue(fleet.awaitServed(fleet.runningRouters(), 2 * STEP_REQUESTS), fleet::logs);
        assertEquals(before, fleet.history().executions(replica.node()));
        replica.setState(Endpoint.State.READY);
        for (Behavior behavior : Behavior.values()) {
            replica.setBehavior(behavior);
            assertTrue(fleet.awaitServed(fleet.runningRouters(), STEP_REQUESTS), fleet::logs);
            replica.setBehavior(Behavior.WELL);
        }
        initialPrimary.setBehavior(Behavior.RESETTING);
        assertTrue(fleet.awaitServed(fleet.runningRouters(), STEP_REQUESTS), fleet::logs);
        initialPrimary.setBehavior(Behavior.DEAD);
        replicaSet.promote(replicaSet.nodes().get(2));
        assertTrue(fleet.awaitServed(fleet.runningRouters(), STEP_REQUESTS), fleet::logs);
        initialPrimary.restart();
        replica.setLogStalled(true);
        assertTrue(fleet.awaitServed(fleet.runningRouters(), 2 * STEP_REQUESTS), fleet::logs);
        replica.setLogStalled(false);
    }

    @ParameterizedTest
    @ValueSource(longs = 1)
    void routersWithoutSharingKeepServingWhileOthersAreStoppedOrKilled(long seed) throws Exception {
        try (var fleet = new TestCluster(JAR, ROUTERS, null, true, seed)) {
            fleet.startLoad();
            assertTrue(fleet.awaitServed(fleet.runningRouters(), STEP_REQUESTS), fleet::logs);
            for (ClusterFault fault : FaultSchedule.of(seed, ROUTERS)) {
                if (fault instanceof ClusterFault.Stopped || fault instanceof ClusterFault.Killed) {
                    fleet.begin(fault);
                    assertTrue(fleet.awaitServed(fleet.runningRouters(), STEP_REQUESTS), fleet::logs);
                    fleet.end(fault);
                    assertTrue(fleet.awaitServed(fleet.runningRouters(), STEP_REQUESTS), fleet::logs);
                }
            }
            injectNodeFaults(fleet);
            assertNoViolations(fleet);
        }
    }
}
