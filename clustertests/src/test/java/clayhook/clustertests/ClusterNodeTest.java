package clayhook.clustertests;

import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.RoutingSettings;
import clayhook.transport.Transport;
import java.util.List;
import org.junit.jupiter.api.Test;

class ClusterNodeTest {
    private static final long PRIMARY_MS = 50;

    /**
     * A node keeps the position that it reached as the primary. The simulated node lost it if its log was stalled
     * meanwhile: in a soak of 60 s with 10 routers (seed 2), n1 was primary from 23.9 to 38.8 s and its log was stalled
     * from 36.5 to 40.4 s, and at 38.8 s seven reads found it up to 1.5 s behind the position that it had reported.
     */
    @Test
    void positionDoesNotDecreaseIfLogStallsWhileNodeIsPrimary() throws Exception {
        RoutingSettings settings = TestCluster.settings();
        Transport transport = Transport.tcp();
        try {
            var replicaSet =
                    new TestReplicaSet(transport, 2, List.of("a", "b"), settings, new HistoryRecorder(settings));
            replicaSet.setListChangeListener(() -> {});
            ClusterNode node = replicaSet.nodes().get(1);
            replicaSet.promote(node);
            node.setLogStalled(true);
            Thread.sleep(PRIMARY_MS);
            double positionAsPrimary = node.position();
            replicaSet.promote(replicaSet.nodes().get(0));
            assertTrue(
                    node.position() >= positionAsPrimary,
                    () -> "the position decreased by " + (positionAsPrimary - node.position()) + " s");
        } finally {
            transport.close();
        }
    }
}
