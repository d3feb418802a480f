package clayhook;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.Decision.RoutingAction;
import clayhook.Endpoint.State;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests how the policy detects that nodes have failed or recovered. */
class RoutingPolicyHealthTest {
    private final RoutingFixture fixture = RoutingFixture.builder().build();

    @Test
    void readWaitsForHealthCheckOfReplicaNotSeenForOneSecond() {
        fixture.now += 1.1;
        fixture.reportPosition(fixture.primary, Role.PRIMARY, fixture.now);
        Request read = fixture.request(fixture.eventual, 0);
        assertEquals(RoutingAction.WAIT, fixture.policy.route(read, fixture.now).action());
        Node checked = fixture.policy.tick(fixture.now).healthChecks().get(0);
        fixture.reportPosition(checked, Role.REPLICA, fixture.now);
        assertEquals(checked, fixture.policy.route(read, fixture.now).attempt().node);
    }

    @Test
    void healthCheckBudgetGrowsWithRequestsAndNotWithNodes() {
        fixture.now += 2;
        fixture.sendUntilFull(fixture.eventual);
        int healthChecks = 0;
        for (int i = 0; i < 100; i++) {
            fixture.now += 1;
            healthChecks += fixture.policy.tick(fixture.now).healthChecks().size();
        }
        assertTrue(healthChecks <= 15, "health checks " + healthChecks);
    }

    @Test
    void writeWaitsForHealthCheckOfPrimaryNotSeenForOneSecond() {
        fixture.now += 1;
        fixture.reportPosition(fixture.otherReplica, Role.PRIMARY, fixture.now);
        fixture.now += 1.1;
        Request write = fixture.request(fixture.write, 0);
        assertEquals(
                RoutingAction.WAIT, fixture.policy.route(write, fixture.now).action());
        assertEquals(
                List.of(fixture.otherReplica), fixture.policy.tick(fixture.now).healthChecks());
    }

    @Test
    void healthChecksPreferReplicasInTheRoutersZone() {
        for (int i = 0; i < 6; i++) {
            fixture.now += 2;
            fixture.policy.route(fixture.request(fixture.session, 0), fixture.now);
            assertEquals(
                    List.of(fixture.replica), fixture.policy.tick(fixture.now).healthChecks());
            fixture.reportPosition(fixture.replica, Role.REPLICA, fixture.now);
        }
    }

    @Test
    void unsentHealthChecksAndAttemptsDoNotChangeNodeState() {
        for (int i = 0; i < 3; i++) {
            for (Node node : List.of(fixture.primary, fixture.replica, fixture.otherReplica)) {
                fixture.policy.onHealthCheck(
                        node, AttemptResult.withoutReport(AttemptOutcome.NOT_SENT, 0), fixture.now);
            }
            fixture.finish(fixture.send(fixture.eventual), AttemptOutcome.NOT_SENT, Role.UNKNOWN, 0);
        }
        assertEquals(Set.of(fixture.replica, fixture.otherReplica), fixture.nodesChosenFor(fixture.eventual, 4));
    }

    @Test
    void readOnSilentReplicaIsHedgedOnAnotherReplica() {
        Attempt read = fixture.send(fixture.bounded);
        fixture.policy.tick(fixture.now);
        for (int i = 0; i < 32; i++) {
            fixture.now += 0.01;
            fixture.policy.route(read.request, fixture.now);
            fixture.policy.tick(fixture.now);
        }
        fixture.now += 0.05;
        fixture.reportPosition(
                read.node.equals(fixture.otherReplica) ? fixture.replica : fixture.otherReplica,
                Role.REPLICA,
                fixture.now);
        Decision hedge = fixture.policy.route(read.request, fixture.now);
        assertEquals(RoutingAction.SEND, hedge.action());
        assertNotEquals(read.node, hedge.attempt().node);
    }

    @Test
    void oneSlowAttemptIsNotSilenceWhenAHealthCheckSucceeds() {
        Attempt read = fixture.send(fixture.bounded);
        fixture.now += 0.35;
        fixture.policy.route(read.request, fixture.now);
        assertEquals(List.of(read.node), fixture.policy.tick(fixture.now).healthChecks());
        fixture.reportAllPositions(fixture.now);
        assertEquals(
                RoutingAction.WAIT,
                fixture.policy.route(read.request, fixture.now).action());
    }

    @Test
    void stalledRouterDoesNotTreatNodesAsSilent() {
        fixture.send(fixture.write);
        fixture.policy.tick(fixture.now);
        fixture.now += 1.5;
        fixture.reportAllPositions(fixture.now);
        assertEquals(fixture.primary, fixture.send(fixture.write).node);
    }

    @ParameterizedTest
    @CsvSource({"RESET, true, true", "RESET, false, false", "CONNECT_FAILED, true, false", "ERROR, true, false"})
    void connectionResetIsIgnoredIfTheNodeRespondedSince(AttemptOutcome outcome, boolean answered, boolean expectSent) {
        for (int i = 0; i < (expectSent ? 3 : 1); i++) {
            Attempt broken = fixture.send(fixture.write);
            Attempt other = fixture.send(fixture.write);
            fixture.now += 0.01;
            if (answered) {
                fixture.finish(other, AttemptOutcome.ANSWERED, Role.PRIMARY, fixture.now);
            }
            fixture.finish(broken, outcome, Role.UNKNOWN, 0);
        }
        assertEquals(
                expectSent,
                fixture.policy
                                .route(fixture.request(fixture.write, 0), fixture.now)
                                .action()
                        == RoutingAction.SEND);
    }

    @Test
    void descriptionListsOutstandingAttemptsAndUnusableNodes() {
        fixture.send(fixture.write);
        Attempt read = fixture.send(fixture.eventual);
        fixture.finish(read, AttemptOutcome.CONNECT_FAILED, Role.UNKNOWN, 0);
        fixture.updateEndpoint(fixture.primary, State.DRAINING, 0);
        String description = fixture.policy.describeNodes(fixture.now);
        assertTrue(description.contains("c 1/3 0 primary closed"), description);
        assertTrue(description.contains(read.node.id() + " 0/3 0 out"), description);
        for (int i = 0; i < 2000; i++) {
            fixture.updateEndpoint(new Node("n" + i, "north", 2 + i / 7), State.DRAINING, 0);
        }
        String longDescription = fixture.policy.describeNodes(fixture.now);
        assertTrue(longDescription.matches("2003 known, 3 heard.{1,1000}, and 1983 more"), longDescription);
    }

    @Test
    void overloadedNodeIsBackedOff() {
        Attempt read = fixture.send(fixture.eventual);
        fixture.finish(read, AttemptOutcome.OVERLOADED, Role.REPLICA, fixture.now);
        assertFalse(fixture.nodesChosenFor(fixture.eventual, 4).contains(read.node));
        fixture.now += 0.06;
        assertTrue(fixture.nodesChosenFor(fixture.eventual, 4).contains(read.node));
    }

    @Test
    void fastErrorsDoNotAttractTraffic() {
        for (int i = 0; i < 20; i++) {
            Attempt read = fixture.send(fixture.eventual);
            AttemptOutcome outcome = read.node.equals(fixture.replica) ? AttemptOutcome.ERROR : AttemptOutcome.ANSWERED;
            fixture.policy.onAttemptFinished(
                    read,
                    new AttemptResult(outcome, 0.01, Role.REPLICA, fixture.now, Role.UNKNOWN, 0, -1),
                    true,
                    fixture.now);
        }
        assertEquals(Set.of(fixture.otherReplica), fixture.nodesChosenFor(fixture.eventual, 4));
    }

    /** If health checks are allowed, such replicas are health-checked first. */
    @Test
    void withoutHealthChecksReadsAreSentToStaleReplicas() {
        RoutingFixture withoutChecks =
                RoutingFixture.builder().healthChecksAllowed(false).build();
        withoutChecks.now += 30;
        assertEquals(0, withoutChecks.countSentTo(withoutChecks.primary, withoutChecks.eventual, 2));
    }

    /** Otherwise a node that failed twice would stay ejected, because no health check would detect its recovery. */
    @Test
    void withoutHealthChecksAFailedNodeIsRetriedAfterItsBackoff() {
        RoutingFixture withoutChecks =
                RoutingFixture.builder().healthChecksAllowed(false).build();
        for (int i = 0; i < 12; i++) {
            Request request = withoutChecks.request(withoutChecks.eventual, 0);
            Decision sent = withoutChecks.route(request);
            while (sent.action() == RoutingAction.SEND) {
                request.attempts.add(sent.attempt());
                sent = withoutChecks.finish(sent.attempt(), AttemptOutcome.CONNECT_FAILED, Role.UNKNOWN, 0);
            }
            withoutChecks.now += 0.2;
        }
        withoutChecks.now += 2;
        Decision probe = withoutChecks.route(withoutChecks.request(withoutChecks.eventual, 0));
        assertEquals(RoutingAction.SEND, probe.action());
        assertNotEquals(withoutChecks.primary, probe.attempt().node);
    }
}
