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
    static final int SOME = 20;

    static void verdict(TestCluster fleet) throws InterruptedException {
        fleet.stopLoad();
        assertEquals(Map.of(), fleet.history().brokenRules(), () -> fleet.history().firstViolation() + "\n" + fleet.logs());
    }

    /**
     * Injects faults of nodes under load. A draining node must get no new requests once routers are notified; nodes
     * that are dead, demoted, behind or leave writes in doubt must cause no violation.
     */
    private static void troubleNodes(TestCluster fleet) throws InterruptedException {
        TestReplicaSet cluster = fleet.cluster();
        ClusterNode old = cluster.nodes().get(0);
        ClusterNode replica = cluster.nodes().get(1);
        replica.setState(Endpoint.State.DRAINING);
        assertTrue(fleet.serve(fleet.up(), 5 * SOME), fleet::logs);
        int before = fleet.history().executions(replica.node());
        assertTrue(fleet.serve(fleet.up(), 2 * SOME), fleet::logs);
        assertEquals(before, fleet.history().executions(replica.node()));
        replica.setState(Endpoint.State.READY);
        for (Behavior behavior : Behavior.values()) {
            replica.setBehavior(behavior);
            assertTrue(fleet.serve(fleet.up(), SOME), fleet::logs);
            replica.setBehavior(Behavior.WELL);
        }
        old.setBehavior(Behavior.RESETTING);
        assertTrue(fleet.serve(fleet.up(), SOME), fleet::logs);
        old.setBehavior(Behavior.DEAD);
        cluster.promote(cluster.nodes().get(2));
        assertTrue(fleet.serve(fleet.up(), SOME), fleet::logs);
        old.restart();
        replica.setLogStalled(true);
        assertTrue(fleet.serve(fleet.up(), 2 * SOME), fleet::logs);
        replica.setLogStalled(false);
    }

    @ParameterizedTest
    @ValueSource(longs = 1)
    void withoutSharingRoutersServeOnWhileOthersAreStoppedAndKilledAndTheRulesAreKept(long seed) throws Exception {
        try (var fleet = new TestCluster(JAR, ROUTERS, null, true, seed)) {
            fleet.load();
            assertTrue(fleet.serve(fleet.up(), SOME), fleet::logs);
            for (ClusterFault fault : FaultSchedule.of(seed, ROUTERS)) {
                if (fault instanceof ClusterFault.Stopped || fault instanceof ClusterFault.Killed) {
                    fleet.begin(fault);
                    assertTrue(fleet.serve(fleet.up(), SOME), fleet::logs);
                    fleet.end(fault);
                    assertTrue(fleet.serve(fleet.up(), SOME), fleet::logs);
                }
            }
            troubleNodes(fleet);
            verdict(fleet);
        }
    }
}
