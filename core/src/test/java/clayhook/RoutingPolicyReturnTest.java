package clayhook;

import static org.junit.jupiter.api.Assertions.assertEquals;

import clayhook.Endpoint.State;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests what remains true of a node that the endpoint list drops and shows again, with the same or a new process. */
class RoutingPolicyReturnTest {
    private static final double LONG_AGO = 0;

    /** Lets attempts on the replica fail until its backoff is at its maximum of a second. */
    private static void failRepeatedly(RoutingFixture fixture) {
        fixture.updateEndpoint(fixture.otherReplica, State.GONE, LONG_AGO);
        for (int i = 0; i < 10; i++) {
            Attempt attempt = fixture.send(fixture.eventual);
            AttemptOutcome outcome =
                    attempt.node.equals(fixture.replica) ? AttemptOutcome.CONNECT_FAILED : AttemptOutcome.ANSWERED;
            fixture.finish(attempt, outcome, Role.UNKNOWN, 0);
            fixture.now += 1.1;
        }
        Attempt last = fixture.send(fixture.eventual);
        assertEquals(fixture.replica, last.node);
        fixture.finish(last, AttemptOutcome.CONNECT_FAILED, Role.UNKNOWN, 0);
    }

    /** Guards against requests that fail at a dead node at once each time that it flaps in the list. */
    @Test
    void backoffOfNodeThatFlapsInTheListGoesOn() {
        RoutingFixture unchecked =
                RoutingFixture.builder().healthChecksAllowed(false).build();
        failRepeatedly(unchecked);
        unchecked.updateEndpoint(unchecked.replica, State.GONE, LONG_AGO);
        unchecked.updateEndpoint(unchecked.replica, State.READY, LONG_AGO);
        assertEquals(0, unchecked.countSentTo(unchecked.replica, unchecked.eventual, 5));
        unchecked.now += 1.1;
        assertEquals(1, unchecked.countSentTo(unchecked.replica, unchecked.eventual, 5));
    }

    /**
     * Guards against an overloaded node that gets more at once each time that it flaps in the list, and against a
     * restarted node that is not used because its former process had failed.
     */
    @ParameterizedTest
    @CsvSource({"0, 2, 2, 1001", "50, 10, 0, -Infinity"})
    void limitAndBackoffRemainUnlessANewProcessHasStarted(
            double returnsWithStartAt, double expectedLimit, int expectedFailures, double expectedBackoffUntil) {
        var node = new Node("n", "north", 1);
        var replicaSet = new ReplicaSet(1, null, null);
        var departed = new NodeState(node, replicaSet, 10, 3);
        departed.concurrencyLimit = 2;
        departed.consecutiveFailures = 2;
        departed.backoffUntil = 1001;
        var returned = new NodeState(node, replicaSet, 10, 3);
        NodeLifecycle.onReturned(departed, returned, new Endpoint(node, State.READY, false, returnsWithStartAt));
        assertEquals(expectedLimit, returned.concurrencyLimit);
        assertEquals(expectedFailures, returned.consecutiveFailures);
        assertEquals(expectedBackoffUntil, returned.backoffUntil);
        // A budget that begins anew within the same slow start would allow more than the node tolerates.
        assertEquals(expectedFailures > 0, returned.slowStartBudget == departed.slowStartBudget);
    }

    /** Guards against a node that counts as accepting requests by what it answered before it was gone from the list. */
    @Test
    void passedHealthCheckDoesNotConfirmNodeThatHasReturnedSince() {
        var lease = new EndpointListLease(1000);
        RoutingFixture expired = RoutingFixture.builder().lease(lease).build();
        expired.now = 1007; // after the end of the lease
        expired.reportPosition(expired.replica, Role.REPLICA, expired.now);
        // The state of a node with an outstanding attempt is not removed.
        assertEquals(expired.replica, expired.send(expired.eventual).node);
        expired.updateEndpoint(expired.replica, State.GONE, LONG_AGO);
        expired.updateEndpoint(expired.replica, State.READY, LONG_AGO);
        assertEquals(0, expired.countSentTo(expired.replica, expired.eventual, 1));
    }
}
