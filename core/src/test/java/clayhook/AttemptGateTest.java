package clayhook;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class AttemptGateTest {
    private static final double LAPSED_AT = 106;
    private final Node node = new Node("n", "a", 1);
    private final NodeState state = new NodeState(node, new ReplicaSet(1, null, null), 10, 3);
    private final EndpointListLease lease = new EndpointListLease(100);
    private final AttemptGate gate = new AttemptGate(lease, true);
    private final AttemptGate gateWithoutChecks = new AttemptGate(lease, false);

    AttemptGateTest() {
        state.endpoint = new Endpoint(node, Endpoint.State.READY, false, 0);
    }

    private void finish(AttemptOutcome outcome, double sentAt) {
        state.onAttemptResult(new Attempt(null, node, false, sentAt, sentAt + 1), outcome, sentAt + 0.01);
    }

    private void check(AttemptOutcome outcome, double sentAt) {
        state.onHealthCheckResult(sentAt, outcome, sentAt + 0.01);
    }

    @Test
    void admitsAnyListedNodeWhileTheListIsValid() {
        check(AttemptOutcome.ERROR, 101);
        assertEquals(AttemptRefusal.NONE, gate.refusalFor(state, 101.5));
    }

    @Test
    void refusesADrainingNodeHoweverLatelyItAnswered() {
        finish(AttemptOutcome.ANSWERED, 101);
        check(AttemptOutcome.ANSWERED, 101);
        state.endpoint = new Endpoint(node, Endpoint.State.DRAINING, false, 0);
        assertEquals(AttemptRefusal.NODE_DRAINING, gate.refusalFor(state, 101));
    }

    @Test
    void admitsANodeForFourSecondsAfterACheckThatItPassedOnceTheListHasLapsed() {
        assertEquals(AttemptRefusal.NODE_UNCONFIRMED, gate.refusalFor(state, LAPSED_AT));
        check(AttemptOutcome.ANSWERED, LAPSED_AT - 1);
        assertEquals(AttemptRefusal.NONE, gate.refusalFor(state, LAPSED_AT));
        assertEquals(AttemptRefusal.NODE_UNCONFIRMED, gate.refusalFor(state, LAPSED_AT + 3));
    }

    @Test
    void admitsAllListedNodesAgainOnceTheListIsRenewed() {
        lease.onConfirmed(LAPSED_AT);
        assertEquals(AttemptRefusal.NONE, gate.refusalFor(state, LAPSED_AT + 1));
    }

    /** A draining node may go on to execute attempts. */
    @ParameterizedTest
    @EnumSource(AttemptOutcome.class)
    void takesNoAttemptForASignWhereHealthChecksAreAllowed(AttemptOutcome outcome) {
        finish(outcome, LAPSED_AT);
        assertEquals(AttemptRefusal.NODE_UNCONFIRMED, gate.refusalFor(state, LAPSED_AT + 0.5));
    }

    @ParameterizedTest
    @EnumSource(AttemptOutcome.class)
    void takesOnlyAnAnswerForASignWhereHealthChecksAreNotAllowed(AttemptOutcome outcome) {
        finish(outcome, LAPSED_AT);
        boolean answered = outcome == AttemptOutcome.ANSWERED;
        assertEquals(
                answered ? AttemptRefusal.NONE : AttemptRefusal.NODE_UNCONFIRMED,
                gateWithoutChecks.refusalFor(state, LAPSED_AT + 3.9));
        assertEquals(AttemptRefusal.NODE_UNCONFIRMED, gateWithoutChecks.refusalFor(state, LAPSED_AT + 4));
    }

    /** A node that rejects attempts unseen may have begun to drain. */
    @ParameterizedTest
    @EnumSource(AttemptOutcome.class)
    void aRejectedAttemptTakesTheSignOfACheckBack(AttemptOutcome outcome) {
        check(AttemptOutcome.ANSWERED, LAPSED_AT);
        finish(outcome, LAPSED_AT + 0.5);
        boolean rejected = outcome == AttemptOutcome.OVERLOADED || outcome == AttemptOutcome.CONNECT_FAILED;
        assertEquals(
                rejected ? AttemptRefusal.NODE_UNCONFIRMED : AttemptRefusal.NONE,
                gate.refusalFor(state, LAPSED_AT + 1));
        check(AttemptOutcome.ANSWERED, LAPSED_AT + 1);
        assertEquals(AttemptRefusal.NONE, gate.refusalFor(state, LAPSED_AT + 1.1));
    }

    @ParameterizedTest
    @EnumSource(AttemptOutcome.class)
    void aFailedCheckTakesTheSignOfAnEarlierOneBack(AttemptOutcome outcome) {
        check(AttemptOutcome.ANSWERED, LAPSED_AT);
        check(outcome, LAPSED_AT + 0.5);
        boolean failed = outcome == AttemptOutcome.ERROR
                || outcome == AttemptOutcome.OVERLOADED
                || outcome == AttemptOutcome.CONNECT_FAILED;
        assertEquals(
                failed ? AttemptRefusal.NODE_UNCONFIRMED : AttemptRefusal.NONE, gate.refusalFor(state, LAPSED_AT + 1));
    }

    /** A stalled router may see the answer to an early check after a rejection. */
    @Test
    void aCheckThatWasSentBeforeARejectionProvesNothing() {
        finish(AttemptOutcome.OVERLOADED, LAPSED_AT + 0.5);
        state.onHealthCheckResult(LAPSED_AT + 0.4, AttemptOutcome.ANSWERED, LAPSED_AT + 0.6);
        assertEquals(AttemptRefusal.NODE_UNCONFIRMED, gate.refusalFor(state, LAPSED_AT + 0.6));
    }

    @Test
    void neitherALoadReportNorARoleIsASign() {
        state.reportedLoad = 5;
        state.claimPrimary(LAPSED_AT);
        state.lastSeenAt = LAPSED_AT;
        assertEquals(AttemptRefusal.NODE_UNCONFIRMED, gate.refusalFor(state, LAPSED_AT + 0.1));
    }
}
