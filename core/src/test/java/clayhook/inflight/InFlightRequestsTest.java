package clayhook.inflight;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;

import clayhook.Attempt;
import clayhook.AttemptOutcome;
import clayhook.AttemptResult;
import clayhook.Decision.RoutingAction;
import clayhook.Endpoint;
import clayhook.Endpoint.State;
import clayhook.Node;
import clayhook.Request;
import clayhook.RequestClass;
import clayhook.RequestClass.ConsistencyLevel;
import clayhook.RequestClass.DeduplicationScope;
import clayhook.RequestClass.Idempotency;
import clayhook.Role;
import clayhook.RoutingPolicy;
import clayhook.RoutingSettings;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests timeouts, removal, tick times and exceptions of the policy for requests in flight. */
class InFlightRequestsTest {
    private static final RequestClass REQUEST_CLASS = new RequestClass(
            "post",
            Idempotency.IDEMPOTENT_WITH_KEY,
            ConsistencyLevel.WRITE,
            0.5,
            2,
            1,
            0.5,
            DeduplicationScope.REPLICA_SET,
            5,
            0);
    private final Node node = new Node("p", "a", 1);
    private final List<RuntimeException> exceptions = new ArrayList<>();
    private final InFlightRequests inFlight;
    private final Request request = new Request(REQUEST_CLASS, 1, null, 0, 1000, 1002);

    InFlightRequestsTest() {
        var policy = new RoutingPolicy(
                new RoutingSettings(
                        1,
                        "a",
                        List.of(REQUEST_CLASS),
                        false,
                        true,
                        false,
                        true,
                        false,
                        true,
                        true,
                        true,
                        1,
                        3,
                        0.2,
                        10,
                        3,
                        3,
                        1,
                        15),
                1);
        policy.onEndpointList(List.of(new Endpoint(node, State.READY, true, 0)), true, 1000);
        inFlight = new InFlightRequests(policy, exceptions::add);
    }

    private static AttemptResult result(AttemptOutcome outcome) {
        return new AttemptResult(outcome, 0.1, Role.PRIMARY, 1000, Role.UNKNOWN, 0, -1);
    }

    @Test
    void attemptIsTimedOutFromItsTimeoutUntilItsResult() {
        inFlight.admit(request, 1000);
        Attempt attempt = inFlight.tick(1000).routedRequests().get(0).decision().attempt();
        assertEquals(List.of(), inFlight.timedOutAttempts(1001.9));
        assertEquals(List.of(attempt), inFlight.timedOutAttempts(1001.98));
        inFlight.onAttemptFinished(attempt, result(AttemptOutcome.TIMED_OUT), false, 1001.98);
        assertEquals(
                RoutingAction.FAIL,
                inFlight.tick(1001.98).routedRequests().get(0).decision().action());
        assertEquals(List.of(), inFlight.timedOutAttempts(1003));
        assertEquals(0, inFlight.size());
    }

    @Test
    void requestOfGoneClientIsHeldUntilItsAttemptFinishes() {
        inFlight.admit(request, 1000);
        Attempt attempt = inFlight.tick(1000).routedRequests().get(0).decision().attempt();
        inFlight.onClientGone(request);
        assertEquals(1, inFlight.size());
        inFlight.onAttemptFinished(attempt, result(AttemptOutcome.ANSWERED), false, 1000.1);
        assertEquals(0, inFlight.size());
    }

    @Test
    void earlyTickKeepsTheScheduledTickTime() {
        inFlight.admit(request, 1000);
        double wakeAfter = inFlight.tick(1000).wakeAfterSeconds();
        assertEquals(0, inFlight.tick(1000 + wakeAfter - 1e-4).wakeAfterSeconds());
        assertEquals(1e-4, inFlight.secondsUntilNextTick(1000 + wakeAfter - 1e-4), 1e-9);
        assertEquals(wakeAfter, inFlight.tick(1000 + wakeAfter).wakeAfterSeconds());
    }

    @Test
    void requestIsFailedWhenThePolicyThrows() {
        inFlight.onAttemptFinished(
                new Attempt(request, new Node("unknown", "a", 1), false, 1000, 1001),
                result(AttemptOutcome.RESET),
                false,
                1000);
        assertEquals(1, exceptions.size());
        InFlightRequests.RoutedRequest routed =
                inFlight.tick(1000).routedRequests().get(0);
        assertSame(request, routed.request());
        assertEquals(RoutingAction.FAIL, routed.decision().action());
    }
}
