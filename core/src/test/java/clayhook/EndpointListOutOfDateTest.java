package clayhook;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.Decision.RoutingAction;
import clayhook.RequestClass.Idempotency;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Routing after the lease on the endpoint list, last renewed at 1000 s when the fixture starts, expires at 1006 s. */
class EndpointListOutOfDateTest {
    private static final double LEASE_EXPIRED_AT = 1006;
    /** Longer than a passed health check confirms a node. */
    private static final double CHECK_EXPIRED_AFTER = 5;

    private final EndpointListLease lease = new EndpointListLease(1000);
    private final RoutingFixture fixture = RoutingFixture.builder().lease(lease).build();

    private Request write() {
        return fixture.request(fixture.primaryClass(Idempotency.IDEMPOTENT_WITH_KEY), 0);
    }

    @Test
    void onlyNodesThatRecentlyPassedAHealthCheckGetReads() {
        fixture.now = LEASE_EXPIRED_AT + 2;
        fixture.reportPosition(fixture.replica, Role.REPLICA, fixture.now);
        assertEquals(Set.of(fixture.replica), fixture.nodesChosenFor(fixture.eventual, 20));
        fixture.now += CHECK_EXPIRED_AFTER;
        assertEquals(Set.of(), fixture.nodesChosenFor(fixture.eventual, 20));
    }

    @Test
    void readWaitsForHealthCheckAndIsSentToNodeThatPasses() {
        fixture.now = LEASE_EXPIRED_AT + 2;
        Request read = fixture.request(fixture.eventual, 0);
        assertEquals(RoutingAction.WAIT, fixture.policy.route(read, fixture.now).action());
        assertTrue(!fixture.policy.tick(fixture.now).healthChecks().isEmpty());
        fixture.reportPosition(fixture.otherReplica, Role.REPLICA, fixture.now);
        assertEquals(
                fixture.otherReplica, fixture.policy.route(read, fixture.now).attempt().node);
    }

    @Test
    void writeWaitsForHealthCheckOfPrimaryAndIsNotSentIfItFails() {
        fixture.now = LEASE_EXPIRED_AT + 2;
        Request write = write();
        assertEquals(
                RoutingAction.WAIT, fixture.policy.route(write, fixture.now).action());
        assertTrue(fixture.policy.tick(fixture.now).healthChecks().contains(fixture.primary));
        fixture.failHealthCheck(fixture.primary);
        assertEquals(
                RoutingAction.WAIT, fixture.policy.route(write, fixture.now).action());
    }

    @Test
    void writeIsSentOncePrimaryPassesHealthCheck() {
        fixture.now = LEASE_EXPIRED_AT + 2;
        Request write = write();
        fixture.policy.route(write, fixture.now);
        fixture.reportPosition(fixture.primary, Role.PRIMARY, fixture.now);
        assertEquals(fixture.primary, fixture.policy.route(write, fixture.now).attempt().node);
    }

    /** With little traffic the confirmation of a node has expired at the next request, which needs another check. */
    @Test
    void everyRequestOfRouterWithLittleTrafficMayHealthCheckANode() {
        for (int i = 0; i < 60; i++) {
            fixture.now = LEASE_EXPIRED_AT + i * CHECK_EXPIRED_AFTER;
            Request read = fixture.request(fixture.eventual, 0);
            fixture.policy.route(read, fixture.now);
            fixture.now += 0.001; // a request that is routed again does not arrive again
            fixture.answerHealthChecks();
            Decision decision = fixture.policy.route(read, fixture.now);
            assertEquals(RoutingAction.SEND, decision.action(), "request " + i);
            fixture.answer(decision.attempt(), 0.001, Role.UNKNOWN, 0);
        }
    }

    @Test
    void attemptWaitingForConnectionIsRefusedOnceNodeFailsHealthCheck() {
        fixture.now = LEASE_EXPIRED_AT - 0.2;
        fixture.reportAllPositions(fixture.now);
        Attempt attempt = fixture.send(fixture.bounded);
        fixture.now = LEASE_EXPIRED_AT;
        assertEquals(AttemptRefusal.NONE, fixture.policy.refusalOf(attempt, fixture.now));
        fixture.failHealthCheck(attempt.node);
        assertEquals(AttemptRefusal.NODE_UNCONFIRMED, fixture.policy.refusalOf(attempt, LEASE_EXPIRED_AT + 0.1));
    }

    @Test
    void allListedNodesGetReadsAgainOnceListIsConfirmed() {
        fixture.now = LEASE_EXPIRED_AT;
        fixture.reportAllPositions(LEASE_EXPIRED_AT);
        lease.onConfirmed(LEASE_EXPIRED_AT, LEASE_EXPIRED_AT);
        assertTrue(fixture.nodesChosenFor(fixture.eventual, 20).size() >= 2);
    }

    /** Guards against a complete list that ends the confirmations of all nodes, each of which is checked again then. */
    @Test
    void completeListLeavesConfirmationsOfTheNodesThatItShows() {
        fixture.now = LEASE_EXPIRED_AT + 2;
        fixture.reportAllPositions(fixture.now);
        fixture.policy.onEndpointList(
                Stream.of(fixture.primary, fixture.replica, fixture.otherReplica)
                        .map(node -> new Endpoint(node, Endpoint.State.READY, false, 0))
                        .toList(),
                true,
                fixture.now);
        Set<Node> chosen = fixture.nodesChosenFor(fixture.eventual, 20);
        assertTrue(chosen.containsAll(Set.of(fixture.replica, fixture.otherReplica)), chosen.toString());
    }
}
