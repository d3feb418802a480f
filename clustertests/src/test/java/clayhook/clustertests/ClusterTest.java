package clayhook.clustertests;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.Endpoint;
import clayhook.clustertests.ClusterNode.Mood;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Five processes of the jar. */
@Tag("processes")
class ClusterTest {
    static final Path JAR = Path.of(System.getProperty("clayhook.jar"));
    static final int ROUTERS = 5;
    /** Commands with an answer that each router must give before the next thing happens. */
    static final int SOME = 20;

    static void verdict(TestCluster trial) throws InterruptedException {
        trial.calm();
        assertEquals(Map.of(), trial.witness().broken(), () -> trial.witness().firstBroken() + "\n" + trial.said());
    }

    /**
     * Nothing new comes to what drains once routers know; and what is dead, deposed, behind or in doubt breaks no rule.
     */
    private static void troubleNodes(TestCluster trial) throws InterruptedException {
        TestReplicaSet cluster = trial.cluster();
        ClusterNode old = cluster.nodes().get(0);
        ClusterNode replica = cluster.nodes().get(1);
        replica.state(Endpoint.State.DRAINING);
        assertTrue(trial.serve(trial.up(), 5 * SOME), trial::said);
        int before = trial.witness().runs(replica.node());
        assertTrue(trial.serve(trial.up(), 2 * SOME), trial::said);
        assertEquals(before, trial.witness().runs(replica.node()));
        replica.state(Endpoint.State.READY);
        for (Mood mood : Mood.values()) {
            replica.mood(mood);
            assertTrue(trial.serve(trial.up(), SOME), trial::said);
            replica.mood(Mood.WELL);
        }
        old.mood(Mood.RESETTING);
        assertTrue(trial.serve(trial.up(), SOME), trial::said);
        old.mood(Mood.DEAD);
        cluster.promote(cluster.nodes().get(2));
        assertTrue(trial.serve(trial.up(), SOME), trial::said);
        old.restart();
        replica.stall(true);
        assertTrue(trial.serve(trial.up(), 2 * SOME), trial::said);
        replica.stall(false);
    }

    @ParameterizedTest
    @ValueSource(longs = 1)
    void withoutSharingRoutersServeOnWhileOthersAreStoppedAndKilledAndTheRulesAreKept(long seed) throws Exception {
        try (var trial = new TestCluster(JAR, ROUTERS, null, true, seed)) {
            trial.load();
            assertTrue(trial.serve(trial.up(), SOME), trial::said);
            for (ClusterFault fault : FaultSchedule.of(seed, ROUTERS)) {
                if (fault instanceof ClusterFault.Stopped || fault instanceof ClusterFault.Killed) {
                    trial.inflict(fault);
                    assertTrue(trial.serve(trial.up(), SOME), trial::said);
                    trial.heal(fault);
                    assertTrue(trial.serve(trial.up(), SOME), trial::said);
                }
            }
            troubleNodes(trial);
            verdict(trial);
        }
    }
}
