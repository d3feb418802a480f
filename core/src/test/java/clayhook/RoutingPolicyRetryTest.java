package clayhook;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import clayhook.Decision.RoutingAction;
import clayhook.Endpoint.State;
import clayhook.RequestClass.Idempotency;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests retries, hold times, attempt timeouts and the final answers of requests. */
class RoutingPolicyRetryTest {
    private final RoutingFixture fixture = RoutingFixture.builder().build();

    @ParameterizedTest
    @CsvSource({
        "IDEMPOTENT, RESET, 0.1, SEND",
        "IDEMPOTENT_WITH_KEY, RESET, 0.1, SEND",
        "IDEMPOTENT_WITH_KEY, RESET, 1.1, FAIL",
        "IDEMPOTENT_WITH_KEY, RESET, 1.5, FAIL",
        "NON_IDEMPOTENT, RESET, 0.1, FAIL",
        "NON_IDEMPOTENT, TIMED_OUT, 0.1, FAIL",
        "NON_IDEMPOTENT, OVERLOADED, 0.1, WAIT",
        "NON_IDEMPOTENT, ERROR, 0.1, FAIL"
    })
    void possiblyExecutedRequestIsRetriedOnlyAsItsIdempotencyAllows(
            Idempotency idempotency, AttemptOutcome outcome, double secondsLater, RoutingAction expectedAction) {
        Attempt first = fixture.send(fixture.primaryClass(idempotency));
        fixture.now += secondsLater;
        fixture.reportAllPositions(fixture.now);
        Decision next = fixture.finish(first, outcome, Role.PRIMARY, fixture.now);
        if (expectedAction == RoutingAction.SEND) {
            fixture.reportAllPositions(fixture.now + 0.01);
            fixture.finish(fixture.send(fixture.session), AttemptOutcome.ANSWERED, Role.REPLICA, fixture.now);
            assertFalse(next.action() == RoutingAction.REJECT || next.action() == RoutingAction.FAIL);
        } else {
            assertEquals(expectedAction, next.action());
        }
    }

    @Test
    void nonIdempotentRequestInFlightIsNeverResent() {
        Attempt write = fixture.send(fixture.primaryClass(Idempotency.NON_IDEMPOTENT));
        fixture.now += 3;
        fixture.reportAllPositions(fixture.now);
        assertEquals(
                RoutingAction.WAIT,
                fixture.policy.route(write.request, fixture.now).action());
    }

    @ParameterizedTest
    @CsvSource({"IDEMPOTENT, REJECT", "NON_IDEMPOTENT, FAIL", "IDEMPOTENT_WITH_KEY, FAIL"})
    void requestIsAnsweredAtItsDeadlineWithoutAnAttemptResult(Idempotency idempotency, RoutingAction expectedAction) {
        Attempt write = fixture.send(fixture.primaryClass(idempotency));
        assertEquals(
                expectedAction,
                fixture.policy.route(write.request, write.request.deadline).action());
    }

    @Test
    void readPastItsLatencyObjectiveIsRejectedAndCancelled() {
        Attempt read = fixture.send(fixture.bounded);
        Decision decision = fixture.policy.route(read.request, fixture.now + fixture.bounded.latencyObjectiveSeconds());
        assertEquals(RoutingAction.REJECT, decision.action());
        assertEquals(List.of(read), decision.attemptsToCancel());
    }

    @ParameterizedTest
    @CsvSource({"0.02, WAIT", "0.2, REJECT"})
    void readWaitsForASmallFractionOfItsLatencyObjective(double secondsHeld, RoutingAction expectedAction) {
        Request read = fixture.request(fixture.bounded, 0);
        fixture.policy.onEndpointList(List.of(), true, fixture.now);
        assertEquals(
                expectedAction,
                fixture.policy.route(read, fixture.now + secondsHeld).action());
    }

    @ParameterizedTest
    @CsvSource({
        "READY, 0.05, false, true",
        "DRAINING, 0.05, false, false",
        "READY, 0.35, false, false",
        "READY, 0.41, false, false",
        "READY, 0.05, true, false"
    })
    void attemptThatWaitedForAConnectionIsSentOnlyIfStillAllowed(
            State state, double secondsLater, boolean completed, boolean expectedSent) {
        Attempt attempt = fixture.send(fixture.bounded);
        fixture.now += secondsLater;
        fixture.updateEndpoint(attempt.node, state, 0);
        attempt.request.completed = completed;
        assertEquals(expectedSent, fixture.policy.mayStillSend(attempt, fixture.now));
    }

    @ParameterizedTest
    @CsvSource({"0.44, WAIT", "0.46, REJECT"})
    void writeWithoutAPrimaryIsRejectedBeforeHalfItsTimeout(double timeoutFraction, RoutingAction expectedAction) {
        fixture.updateEndpoint(fixture.primary, State.DRAINING, 0);
        Request write = fixture.request(fixture.write, 0);
        assertEquals(
                RoutingAction.WAIT, fixture.policy.route(write, fixture.now).action());
        fixture.now += timeoutFraction * fixture.write.clientTimeoutSeconds();
        assertEquals(expectedAction, fixture.policy.route(write, fixture.now).action());
    }

    @ParameterizedTest
    @CsvSource({"0.09, 0.071", "0.25, 0.22", "10, 0.4"})
    void attemptTimesOutShortlyBeforeTheClientDeadline(double remainingSeconds, double expectedTimeout) {
        Request read = new Request(fixture.eventual, 1, null, 0, fixture.now, fixture.now + 0.1 + remainingSeconds);
        assertEquals(Math.min(0.1 + expectedTimeout, 0.4), fixture.route(read).attempt().timeoutAt - fixture.now, 1e-9);
    }

    @ParameterizedTest
    @CsvSource({"1.0, true", "1.1, false", "1.25, false"})
    void retryThatWaitedForAConnectionIsSentOnlyWithinTheDeduplicationWindow(
            double secondsLater, boolean expectedSent) {
        Attempt first = fixture.send(fixture.write);
        Decision again = fixture.finish(first, AttemptOutcome.RESET, Role.UNKNOWN, 0);
        for (int i = 0; i < 20 && again.action() == RoutingAction.WAIT; i++) {
            fixture.now += 0.05;
            fixture.reportPosition(fixture.primary, Role.PRIMARY, fixture.now);
            again = fixture.route(first.request);
        }
        first.request.attempts.add(again.attempt());
        assertEquals(expectedSent, fixture.policy.mayStillSend(again.attempt(), 1000 + secondsLater));
    }
}
