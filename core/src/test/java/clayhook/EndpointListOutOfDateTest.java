package clayhook;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.Decision.RoutingAction;
import clayhook.RequestClass.Idempotency;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Routing by a list that was confirmed at 1000 s, the time at which the fixture begins, and that lapses at 1006 s. */
class EndpointListOutOfDateTest {
    private static final double LAPSED = 1006;
    /** Longer than a passed health check counts. */
    private static final double CHECK_LAPSES_AFTER = 5;

    private final EndpointListLease lease = new EndpointListLease(1000);
    private final RoutingFixture fixture = RoutingFixture.builder().lease(lease).build();

    private Request write() {
        return fixture.request(fixture.primaryClass(Idempotency.IDEMPOTENT_WITH_KEY), 0);
    }

    @Test
    void onlyNodesThatPassedAHealthCheckLatelyGetReads() {
        fixture.now = LAPSED + 2;
        fixture.report(fixture.replica, Role.REPLICA, fixture.now);
        assertEquals(Set.of(fixture.replica), fixture.nodesChosenFor(fixture.eventual, 20));
        fixture.now += CHECK_LAPSES_AFTER;
        assertEquals(Set.of(), fixture.nodesChosenFor(fixture.eventual, 20));
    }

    @Test
    void aReadWaitsForACheckAndIsSentWhereItPasses() {
        fixture.now = LAPSED + 2;
        Request read = fixture.request(fixture.eventual, 0);
        assertEquals(RoutingAction.WAIT, fixture.policy.route(read, fixture.now).action());
        assertTrue(!fixture.policy.tick(fixture.now).healthChecks().isEmpty());
        fixture.report(fixture.otherReplica, Role.REPLICA, fixture.now);
        assertEquals(
                fixture.otherReplica, fixture.policy.route(read, fixture.now).attempt().node);
    }

    @Test
    void aWriteWaitsForACheckOfThePrimaryAndIsNotSentWhereItFails() {
        fixture.now = LAPSED + 2;
        Request write = write();
        assertEquals(
                RoutingAction.WAIT, fixture.policy.route(write, fixture.now).action());
        assertTrue(fixture.policy.tick(fixture.now).healthChecks().contains(fixture.primary));
        fixture.failCheck(fixture.primary);
        assertEquals(
                RoutingAction.WAIT, fixture.policy.route(write, fixture.now).action());
    }

    @Test
    void aWriteIsSentOnceThePrimaryPassesACheck() {
        fixture.now = LAPSED + 2;
        Request write = write();
        fixture.policy.route(write, fixture.now);
        fixture.report(fixture.primary, Role.PRIMARY, fixture.now);
        assertEquals(fixture.primary, fixture.policy.route(write, fixture.now).attempt().node);
    }

    /** A router with little traffic checks a node for each request, as what it knew has lapsed by the next one. */
    @Test
    void eachRequestOfARouterWithLittleTrafficMayCheckANode() {
        for (int i = 0; i < 60; i++) {
            fixture.now = LAPSED + i * CHECK_LAPSES_AFTER;
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
    void anAttemptThatWaitedForItsConnectionIsRefusedOnceItsNodeFailsACheck() {
        fixture.now = LAPSED - 0.2;
        fixture.reportAll(fixture.now);
        Attempt attempt = fixture.send(fixture.bounded);
        fixture.now = LAPSED;
        assertEquals(AttemptRefusal.NONE, fixture.policy.refusalOf(attempt, fixture.now));
        fixture.failCheck(attempt.node);
        assertEquals(AttemptRefusal.NODE_UNCONFIRMED, fixture.policy.refusalOf(attempt, LAPSED + 0.1));
    }

    @Test
    void allListedNodesGetReadsAgainOnceTheListIsConfirmed() {
        fixture.now = LAPSED;
        fixture.reportAll(LAPSED);
        lease.onConfirmed(LAPSED);
        assertTrue(fixture.nodesChosenFor(fixture.eventual, 20).size() >= 2);
    }
}
