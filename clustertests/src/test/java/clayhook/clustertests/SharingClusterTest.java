package clayhook.clustertests;

import static clayhook.clustertests.ClusterTest.JAR;
import static clayhook.clustertests.ClusterTest.ROUTERS;
import static clayhook.clustertests.ClusterTest.STEP_REQUESTS;
import static clayhook.clustertests.ClusterTest.assertNoViolations;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.Endpoint;
import clayhook.clustertests.ClusterNode.Behavior;
import clayhook.clustertests.LoadClient.Answer;
import clayhook.lab.model.RuleAudit.RuleKept;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Runs five router processes with sharing, whose datagrams all pass through a relay that injects faults. */
@Tag("processes")
class SharingClusterTest {
    private static final String SHARING = "report = 0.2\n";
    private static final Pattern PEER_GONE = Pattern.compile("sharing: .* is gone");
    private static final Pattern WRITE_OUTCOMES = Pattern.compile("fates \\{[^}]*}");

    /** No request is lost because of lossy, duplicating or corrupting links, splits, stopped or killed processes. */
    @ParameterizedTest
    @ValueSource(longs = 2)
    void copiesOfSharingRoutersConvergeAfterEachFaultWithoutViolation(long seed) throws Exception {
        try (var fleet = new TestCluster(JAR, ROUTERS, SHARING, false, seed)) {
            for (ClusterFault fault : FaultSchedule.of(seed, ROUTERS)) {
                List<Integer> marks =
                        fleet.routers().stream().map(RouterProcess::logMark).toList();
                fleet.startLoad();
                fleet.begin(fault);
                assertTrue(fleet.awaitEffect(fault), () -> fault + "\n" + fleet.logs());
                assertTrue(fleet.awaitServed(fleet.runningRouters(), STEP_REQUESTS), () -> fault + "\n" + fleet.logs());
                if (fault instanceof ClusterFault.OneWay) {
                    for (int i = 0; i < ROUTERS; i++) {
                        // The other routers still reach the router and confirm that it is alive.
                        assertNull(fleet.routers().get(i).lastMatch(marks.get(i), PEER_GONE));
                    }
                }
                fleet.end(fault);
                assertTrue(fleet.awaitServed(fleet.runningRouters(), STEP_REQUESTS), () -> fault + "\n" + fleet.logs());
                fleet.stopLoad();
                assertTrue(fleet.awaitConvergence(), () -> fault + "\n" + fleet.logs());
            }
            assertTrue(fleet.relay().count(NetworkLink.Delivery.CORRUPTED) > 0
                    && fleet.relay().unknownSenders() == 0);
            assertNoViolations(fleet);
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void drainNotifiedToOneRouterIsObeyedByAllWithSharingOnly(boolean isSharing) throws Exception {
        try (var fleet = new TestCluster(JAR, ROUTERS, isSharing ? SHARING : null, true, 3)) {
            assertTrue(!isSharing || fleet.awaitConvergence(), fleet::logs);
            ClusterNode replica = fleet.replicaSet().nodes().get(1);
            fleet.discovery().setAnswerLimit(0);
            replica.setState(Endpoint.State.DRAINING);
            fleet.startLoad();
            assertTrue(fleet.awaitServed(fleet.runningRouters(), STEP_REQUESTS), fleet::logs);
            int before = fleet.history().executions(replica.node());
            assertTrue(before > 0);
            fleet.discovery().setAnswerLimit(1);
            assertTrue(fleet.awaitServed(fleet.runningRouters(), 5 * STEP_REQUESTS), fleet::logs);
            before = fleet.history().executions(replica.node());
            assertTrue(fleet.awaitServed(fleet.runningRouters(), 2 * STEP_REQUESTS), fleet::logs);
            assertEquals(isSharing, before == fleet.history().executions(replica.node()));
            assertNoViolations(fleet);
        }
    }

    /** Logs of replicas are stalled, so that a read misses the write unless its router has the last-write position. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void roamingSessionReadsItsOwnWriteDuringAndAfterSplitWithSharingOnly(boolean isSharing) throws Exception {
        try (var fleet = new TestCluster(JAR, ROUTERS, isSharing ? SHARING : null, false, 4)) {
            assertTrue(!isSharing || fleet.awaitConvergence(), fleet::logs);
            var split = new ClusterFault.Split(Set.of(0, 1));
            fleet.startLoad();
            assertTrue(fleet.awaitServed(fleet.runningRouters(), STEP_REQUESTS), fleet::logs);
            fleet.stopLoad();
            for (String when : List.of("before", "in", "after")) {
                for (int turn = 0; turn < 3; turn++) {
                    var session = fleet.newClient();
                    fleet.replicaSet().nodes().subList(1, 3).forEach(node -> node.setLogStalled(true));
                    assertEquals(Answer.SERVED, session.exchange(fleet.routers().get(0), TestCluster.WRITE));
                    Thread.sleep(TestCluster.ROAM_MS); // the shortest time until a session uses another router
                    for (RouterProcess router : fleet.routers()) {
                        assertNotEquals(Answer.NONE, session.exchange(router, TestCluster.SESSION), when);
                    }
                    fleet.replicaSet().nodes().forEach(node -> node.setLogStalled(false));
                }
                if (when.equals("before")) {
                    fleet.begin(split);
                    assertTrue(!isSharing || fleet.awaitEffect(split), fleet::logs);
                } else if (when.equals("in")) {
                    fleet.end(split);
                    assertTrue(!isSharing || fleet.awaitConvergence(), fleet::logs);
                }
            }
            assertEquals(
                    isSharing ? Set.of() : Set.of(RuleKept.NO_STALE_READ),
                    fleet.history().brokenRules().keySet(),
                    fleet::logs);
        }
    }

    @Test
    void outcomeOfInDoubtWriteIsSettledAtAllRoutersByRepeatAtAnother() throws Exception {
        try (var fleet = new TestCluster(JAR, ROUTERS, SHARING, true, 5)) {
            assertTrue(fleet.awaitConvergence(), fleet::logs);
            ClusterNode primary = fleet.replicaSet().primary();
            var session = fleet.newClient();
            primary.setBehavior(Behavior.SILENT);
            assertEquals(Answer.FAILED, session.exchange(fleet.routers().get(0), TestCluster.WRITE, "charge"));
            assertTrue(fleet.await(() -> allReportWriteOutcomes(fleet, "UNKNOWN=1, RAN=0")), fleet::logs);
            primary.setBehavior(Behavior.WELL);
            assertEquals(Answer.SERVED, session.exchange(fleet.routers().get(3), TestCluster.WRITE, "charge"));
            assertTrue(fleet.await(() -> allReportWriteOutcomes(fleet, "UNKNOWN=0, RAN=1")), fleet::logs);
            assertNoViolations(fleet);
        }
    }

    private static boolean allReportWriteOutcomes(TestCluster fleet, String counts) {
        return fleet.routers().stream().allMatch(router -> String.valueOf(router.lastMatch(0, WRITE_OUTCOMES))
                .startsWith("fates {" + counts));
    }
}
