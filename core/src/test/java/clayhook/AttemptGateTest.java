package clayhook;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests which nodes the gate admits while the lease on the endpoint list is valid and after it has expired. */
class AttemptGateTest {
    private static final double EXPIRED_AT = 106;
    private final Node node = new Node("n", "a", 1);
    private final NodeState nodeState = new NodeState(node, new ReplicaSet(1, null, null), 10, 3);
    private final EndpointListLease lease = new EndpointListLease(100);
    private final AttemptGate gate = new AttemptGate(lease, true);
    private final AttemptGate gateWithoutChecks = new AttemptGate(lease, false);

    AttemptGateTest() {
        nodeState.endpoint = new Endpoint(node, Endpoint.State.READY, false, 0);
    }

    private void finishAttempt(AttemptOutcome outcome, double sentAt) {
        nodeState.onAttemptResult(new Attempt(null, node, false, sentAt, sentAt + 1), outcome, sentAt + 0.01);
    }

    private void finishHealthCheck(AttemptOutcome outcome, double sentAt) {
        nodeState.onHealthCheckResult(sentAt, outcome, sentAt + 0.01);
    }

    @Test
    void admitsAnyListedNodeWhileTheListIsValid() {
        finishHealthCheck(AttemptOutcome.ERROR, 101);
        assertEquals(AttemptRefusal.NONE, gate.refusalFor(nodeState, 101.5));
    }

    @Test
    void refusesDrainingNodeEvenIfItJustAnswered() {
        finishAttempt(AttemptOutcome.ANSWERED, 101);
        finishHealthCheck(AttemptOutcome.ANSWERED, 101);
        nodeState.endpoint = new Endpoint(node, Endpoint.State.DRAINING, false, 0);
        assertEquals(AttemptRefusal.NODE_DRAINING, gate.refusalFor(nodeState, 101));
    }

    @Test
    void admitsNodeForFourSecondsAfterPassedHealthCheckOnceLeaseHasExpired() {
        assertEquals(AttemptRefusal.NODE_UNCONFIRMED, gate.refusalFor(nodeState, EXPIRED_AT));
        finishHealthCheck(AttemptOutcome.ANSWERED, EXPIRED_AT - 1);
        assertEquals(AttemptRefusal.NONE, gate.refusalFor(nodeState, EXPIRED_AT));
        assertEquals(AttemptRefusal.NODE_UNCONFIRMED, gate.refusalFor(nodeState, EXPIRED_AT + 3));
    }

    /** Guards against attempts on a node that has answered a health check that it drains, before the list shows it. */
    @Test
    void refusesNodeThatReportsDrainingUntilItPassesALaterHealthCheckThoughTheListIsValid() {
        finishHealthCheck(AttemptOutcome.DRAINING, 101);
        assertEquals(AttemptRefusal.NODE_UNCONFIRMED, gate.refusalFor(nodeState, 105));
        finishHealthCheck(AttemptOutcome.ANSWERED, 100.9); // sent before the report
        finishAttempt(AttemptOutcome.ANSWERED, 102); // a draining node may execute attempts
        assertEquals(AttemptRefusal.NODE_UNCONFIRMED, gate.refusalFor(nodeState, 105));
        finishHealthCheck(AttemptOutcome.ANSWERED, 103);
        assertEquals(AttemptRefusal.NONE, gate.refusalFor(nodeState, 105));
    }

    /** Guards against a draining node that gets attempts because it flaps in the list. */
    @ParameterizedTest
    @CsvSource({"0, NODE_UNCONFIRMED", "101.5, NONE"})
    void reportOfDrainingEndsWithTheProcessThatMadeIt(double returnsWithStartAt, AttemptRefusal expected) {
        finishHealthCheck(AttemptOutcome.DRAINING, 101);
        var endpoint = new Endpoint(node, Endpoint.State.READY, false, returnsWithStartAt);
        var returned = new NodeState(node, nodeState.replicaSet, 10, 3);
        NodeLifecycle.onReturned(nodeState, returned, endpoint);
        for (NodeState state : List.of(returned, nodeState)) {
            NodeLifecycle.onListed(state, endpoint, true, 102);
            assertEquals(expected, gate.refusalFor(state, 103));
        }
    }

    /**
     * Guards against a report of a new process that is dropped because the list shows the start of that process late.
     */
    @Test
    void reportOfDrainingByNewProcessRemainsWhenTheListShowsItsStart() {
        finishHealthCheck(AttemptOutcome.DRAINING, 101.6);
        var endpoint = new Endpoint(node, Endpoint.State.READY, false, 101.5);
        var returned = new NodeState(node, nodeState.replicaSet, 10, 3);
        NodeLifecycle.onReturned(nodeState, returned, endpoint);
        NodeLifecycle.onListed(returned, endpoint, true, 102);
        assertEquals(AttemptRefusal.NODE_UNCONFIRMED, gate.refusalFor(returned, 103));
    }

    /** Guards against a node that gets nothing for good where no health check could show that it drains no more. */
    @Test
    void ignoresReportOfDrainingIfHealthChecksAreNotAllowed() {
        finishHealthCheck(AttemptOutcome.DRAINING, 101);
        assertEquals(AttemptRefusal.NONE, gateWithoutChecks.refusalFor(nodeState, 105));
    }

    @Test
    void admitsAllListedNodesAgainOnceTheListIsRenewed() {
        lease.onConfirmed(EXPIRED_AT, EXPIRED_AT);
        assertEquals(AttemptRefusal.NONE, gate.refusalFor(nodeState, EXPIRED_AT + 1));
    }

    /** A draining node may continue to execute attempts, so that an answered attempt is no confirmation. */
    @ParameterizedTest
    @EnumSource(AttemptOutcome.class)
    void ignoresAttemptOutcomesIfHealthChecksAreAllowed(AttemptOutcome outcome) {
        finishAttempt(outcome, EXPIRED_AT);
        assertEquals(AttemptRefusal.NODE_UNCONFIRMED, gate.refusalFor(nodeState, EXPIRED_AT + 0.5));
    }

    @ParameterizedTest
    @EnumSource(AttemptOutcome.class)
    void acceptsOnlyAnswersAsConfirmationIfHealthChecksAreNotAllowed(AttemptOutcome outcome) {
        finishAttempt(outcome, EXPIRED_AT);
        boolean answered = outcome == AttemptOutcome.ANSWERED;
        assertEquals(
                answered ? AttemptRefusal.NONE : AttemptRefusal.NODE_UNCONFIRMED,
                gateWithoutChecks.refusalFor(nodeState, EXPIRED_AT + 3.9));
        assertEquals(AttemptRefusal.NODE_UNCONFIRMED, gateWithoutChecks.refusalFor(nodeState, EXPIRED_AT + 4));
    }

    /** A node that rejects attempts without executing them may have begun to drain. */
    @ParameterizedTest
    @EnumSource(AttemptOutcome.class)
    void rejectedAttemptRevokesEarlierPassedHealthCheck(AttemptOutcome outcome) {
        finishHealthCheck(AttemptOutcome.ANSWERED, EXPIRED_AT);
        finishAttempt(outcome, EXPIRED_AT + 0.5);
        boolean rejected = outcome == AttemptOutcome.OVERLOADED || outcome == AttemptOutcome.CONNECT_FAILED;
        assertEquals(
                rejected ? AttemptRefusal.NODE_UNCONFIRMED : AttemptRefusal.NONE,
                gate.refusalFor(nodeState, EXPIRED_AT + 1));
        finishHealthCheck(AttemptOutcome.ANSWERED, EXPIRED_AT + 1);
        assertEquals(AttemptRefusal.NONE, gate.refusalFor(nodeState, EXPIRED_AT + 1.1));
    }

    @ParameterizedTest
    @EnumSource(AttemptOutcome.class)
    void failedHealthCheckRevokesEarlierPassedHealthCheck(AttemptOutcome outcome) {
        finishHealthCheck(AttemptOutcome.ANSWERED, EXPIRED_AT);
        finishHealthCheck(outcome, EXPIRED_AT + 0.5);
        boolean failed = outcome == AttemptOutcome.ERROR
                || outcome == AttemptOutcome.DRAINING
                || outcome == AttemptOutcome.OVERLOADED
                || outcome == AttemptOutcome.CONNECT_FAILED;
        assertEquals(
                failed ? AttemptRefusal.NODE_UNCONFIRMED : AttemptRefusal.NONE,
                gate.refusalFor(nodeState, EXPIRED_AT + 1));
    }

    /** After a stall a router may process the answer to an earlier health check after a later rejection. */
    @Test
    void passedHealthCheckSentBeforeRejectionIsNoConfirmation() {
        finishAttempt(AttemptOutcome.OVERLOADED, EXPIRED_AT + 0.5);
        nodeState.onHealthCheckResult(EXPIRED_AT + 0.4, AttemptOutcome.ANSWERED, EXPIRED_AT + 0.6);
        assertEquals(AttemptRefusal.NODE_UNCONFIRMED, gate.refusalFor(nodeState, EXPIRED_AT + 0.6));
    }

    /** Guards against a node that has begun to drain since its health check, of which the router counts as notified. */
    @Test
    void passedHealthCheckConfirmsForAPartOfTheGracePeriodWhereListsArePushed() {
        var pushed = EndpointListLease.of(new EndpointListDelivery(true, 0.6), true, 100);
        var pushedGate = new AttemptGate(pushed, true);
        assertEquals(AttemptRefusal.NODE_UNCONFIRMED, pushedGate.refusalFor(nodeState, 100.5));
        finishHealthCheck(AttemptOutcome.ANSWERED, 101);
        assertEquals(AttemptRefusal.NONE, pushedGate.refusalFor(nodeState, 101.39));
        assertEquals(AttemptRefusal.NODE_UNCONFIRMED, pushedGate.refusalFor(nodeState, 101.41));
    }

    @Test
    void loadReportAndRoleAreNoConfirmation() {
        nodeState.reportedLoad = 5;
        nodeState.claimPrimary(EXPIRED_AT);
        nodeState.lastSeenAt = EXPIRED_AT;
        assertEquals(AttemptRefusal.NODE_UNCONFIRMED, gate.refusalFor(nodeState, EXPIRED_AT + 0.1));
    }
}
