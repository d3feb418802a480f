package clayhook;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.Decision.RoutingAction;
import clayhook.Endpoint.State;
import clayhook.RequestClass.Idempotency;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests which evidence decides the role of a node, and what ends it. The list always names the primary of the start.
 */
class RoutingPolicyRoleTest {
    private static final double LONG_AGO = 0;
    /** After it a restarted node is not in slow start any more, so that only its role can keep a read from it. */
    private static final double SLOW_START_SECONDS = 15;

    /**
     * Replaces the fixture's nodes, all of which have reported their roles, by a set that is known only from the list.
     */
    private static RoutingFixture fixture(boolean healthChecksAllowed) {
        RoutingFixture fixture = RoutingFixture.builder()
                .healthChecksAllowed(healthChecksAllowed)
                .build();
        fixture.updateListedPrimary(fixture.primary, State.READY, LONG_AGO);
        return fixture;
    }

    /** A rolling restart: the former primary reports that it is a replica, drains, is removed, and returns. */
    private static void restart(RoutingFixture fixture, Node formerPrimary) {
        fixture.now += 1;
        fixture.reportPosition(formerPrimary, Role.REPLICA, fixture.now);
        fixture.updateListedPrimary(formerPrimary, State.DRAINING, LONG_AGO);
        fixture.updateListedPrimary(formerPrimary, State.GONE, LONG_AGO);
        fixture.now += 3;
        fixture.updateListedPrimary(formerPrimary, State.READY, fixture.now - 0.5);
        fixture.now += SLOW_START_SECONDS;
    }

    /** Routes a new strong read, and again after longer than the policy waits for the result of a health check. */
    private static void assertStrongReadWaits(RoutingFixture fixture) {
        Request read = fixture.request(fixture.primaryClass(Idempotency.IDEMPOTENT), 0);
        assertEquals(RoutingAction.WAIT, fixture.policy.route(read, fixture.now).action());
        fixture.now += 0.05;
        assertEquals(RoutingAction.WAIT, fixture.policy.route(read, fixture.now).action());
    }

    /** Guards against a stale strong read at a former primary that the list names again after a rolling restart. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void strongReadIsNotSentToReturnedNodeThatReportedThatItIsAReplica(boolean healthChecksAllowed) {
        RoutingFixture fixture = fixture(healthChecksAllowed);
        restart(fixture, fixture.primary);
        assertStrongReadWaits(fixture);
    }

    /** Guards against a returned former primary that never gets strong reads again although it was elected anew. */
    @Test
    void strongReadIsSentToReturnedNodeOnceItReportsThatItIsPrimary() {
        RoutingFixture fixture = fixture(true);
        restart(fixture, fixture.primary);
        fixture.now += 1;
        fixture.reportPosition(fixture.primary, Role.PRIMARY, fixture.now);
        Attempt attempt = fixture.send(fixture.primaryClass(Idempotency.IDEMPOTENT));
        assertEquals(fixture.primary, attempt.node);
    }

    /** Guards against a stale strong read after more nodes have left than are remembered. */
    @Test
    void listedRoleOfReturnedNodeIsNotUsedOnceItsAnswersAreForgotten() {
        RoutingFixture fixture = fixture(true);
        fixture.now += 1;
        fixture.reportPosition(fixture.primary, Role.REPLICA, fixture.now);
        fixture.updateListedPrimary(fixture.primary, State.GONE, LONG_AGO);
        for (int i = 0; i < DepartedNodes.MAX_NODES; i++) {
            var replaced = new Node("replaced-" + i, "north", 2);
            fixture.updateEndpoint(replaced, State.READY, LONG_AGO);
            fixture.updateEndpoint(replaced, State.GONE, LONG_AGO);
        }
        fixture.updateListedPrimary(fixture.primary, State.READY, LONG_AGO);
        assertStrongReadWaits(fixture);
    }

    /**
     * Guards against a stale strong read that waited for its connection while the node reported that it is a replica.
     */
    @Test
    void strongReadThatWaitsForItsConnectionIsNotSentOnceTheNodeReportedThatItIsAReplica() {
        RoutingFixture fixture = fixture(true);
        Attempt attempt = fixture.send(fixture.primaryClass(Idempotency.IDEMPOTENT));
        assertEquals(AttemptRefusal.NONE, fixture.policy.refusalOf(attempt, fixture.now));
        fixture.now += 0.1;
        fixture.reportPosition(fixture.primary, Role.REPLICA, fixture.now);
        assertEquals(AttemptRefusal.READ_TOO_STALE, fixture.policy.refusalOf(attempt, fixture.now));
    }

    /** Guards against a stale strong read at a draining node whose errors report that it is a replica. */
    @Test
    void roleReportedWithAFailedHealthCheckIsUsed() {
        RoutingFixture fixture = fixture(true);
        fixture.now += 0.1;
        fixture.failHealthCheck(fixture.primary, Role.REPLICA);
        fixture.now += 0.1; // longer than the backoff after one failure
        assertStrongReadWaits(fixture);
    }

    /** A set in which this router has heard of no role, and in which the list names {@code former} as primary. */
    private static RoutingFixture fixtureWithListedPrimary(Node listed) {
        RoutingFixture fixture = fixture(true);
        fixture.updateListedPrimary(listed, State.READY, LONG_AGO);
        return fixture;
    }

    /**
     * Guards against strong reads at the primary of the start, which the list names, after its successor stepped down.
     */
    @Test
    void listedPrimaryIsNotUsedOnceAnotherMemberHasReportedThatItIsPrimary() {
        var listed = new Node("listed", "north", 1);
        RoutingFixture fixture = fixtureWithListedPrimary(listed);
        fixture.now += 1;
        fixture.reportPosition(fixture.primary, Role.PRIMARY, fixture.now);
        fixture.now += 1;
        fixture.reportPosition(fixture.primary, Role.REPLICA, fixture.now);
        assertStrongReadWaits(fixture);
    }

    /** Guards against a list whose news of a failover is ignored, so that strong reads wait for good. */
    @Test
    void primaryThatTheListNamesAfterTheLastClaimIsUsed() {
        RoutingFixture fixture = fixture(true);
        fixture.now += 1;
        fixture.reportPosition(fixture.primary, Role.REPLICA, fixture.now);
        var elected = new Node("elected", "north", 1);
        fixture.updateEndpoint(elected, State.READY, LONG_AGO);
        fixture.now += 4;
        fixture.updateListedPrimary(elected, State.READY, LONG_AGO);
        Request write = fixture.request(fixture.write, 0);
        fixture.policy.route(write, fixture.now);
        fixture.now += 0.05; // a write waits for a health check no longer than this
        assertEquals(elected, fixture.policy.route(write, fixture.now).attempt().node);
    }

    /** Guards against a strong read that is sent to a cold former primary before its health check reports its role. */
    @Test
    void strongReadWaitsForTheHealthCheckOfAPrimaryThatOnlyTheListNames() {
        var listed = new Node("listed", "north", 2);
        RoutingFixture fixture = fixtureWithListedPrimary(listed);
        Request read =
                new Request(fixture.primaryClass(Idempotency.IDEMPOTENT), 2, "s", 0, fixture.now, fixture.now + 4);
        assertEquals(RoutingAction.WAIT, fixture.policy.route(read, fixture.now).action());
        fixture.now += 0.05;
        assertEquals(RoutingAction.WAIT, fixture.policy.route(read, fixture.now).action());
        fixture.reportPosition(listed, Role.PRIMARY, fixture.now);
        assertEquals(listed, fixture.policy.route(read, fixture.now).attempt().node);
    }

    /** Guards against a strong read at a primary whose process has restarted, after which another one is elected. */
    @Test
    void claimToBePrimaryEndsWithTheProcessThatMadeIt() {
        RoutingFixture fixture = fixture(true);
        fixture.now += 2;
        fixture.updateListedPrimary(fixture.primary, State.READY, fixture.now - 1);
        fixture.now += SLOW_START_SECONDS;
        assertStrongReadWaits(fixture);
    }

    /**
     * Guards against a stale strong read at a node whose answer to a health check came while the list did not show the
     * node. No further check is allowed here, as when the budget for checks is used up.
     */
    @Test
    void roleReportedWhileTheNodeIsGoneFromTheListIsUsed() {
        RoutingFixture fixture = fixture(false);
        var listed = new Node("listed", "north", 2);
        fixture.updateListedPrimary(listed, State.READY, LONG_AGO);
        fixture.updateListedPrimary(listed, State.GONE, LONG_AGO);
        fixture.reportPosition(listed, Role.REPLICA, fixture.now);
        fixture.updateListedPrimary(listed, State.READY, LONG_AGO);
        RequestClass strong = fixture.primaryClass(Idempotency.IDEMPOTENT);
        var read = new Request(strong, 2, "s", 0, fixture.now, fixture.now + 4);
        assertEquals(RoutingAction.WAIT, fixture.policy.route(read, fixture.now).action());
    }

    /** Guards against claims that end with each list while the clock of a node's machine is ahead. */
    @Test
    void claimAfterAStartInTheFutureRemains() {
        var node = new NodeState(new Node("n", "north", 1), new ReplicaSet(1, null, null), 10, 3);
        var endpoint = new Endpoint(node.node, State.READY, false, 2000);
        NodeLifecycle.onListed(node, endpoint, true, 1000);
        node.claimPrimary(1001);
        NodeLifecycle.onListed(node, endpoint, true, 1002);
        assertTrue(node.claimsPrimary());
    }
}
