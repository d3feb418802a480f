package clayhook;

import static org.junit.jupiter.api.Assertions.assertEquals;

import clayhook.Decision.RoutingAction;
import clayhook.Endpoint.State;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Attempts on a node in slow start that wait for a connection. Tokens live for a third of the window of 3 s. */
class RoutingPolicySlowStartTest {
    private static final double TOKEN_LIFETIME = 1;

    private final RoutingFixture fixture = RoutingFixture.builder().build();

    @BeforeEach
    void replicaStartsAndTheOtherDrains() {
        fixture.updateEndpoint(fixture.replica, State.READY, fixture.now);
        fixture.updateEndpoint(fixture.otherReplica, State.DRAINING, 0);
    }

    /** Asks until a read that may wait gets the token for the replica in slow start. */
    private Attempt attemptInSlowStart() {
        for (int i = 0; i < 10_000; i++) {
            fixture.now += 0.01;
            fixture.reportAll(fixture.now);
            Request read = fixture.request(fixture.report, 0);
            Decision decision = fixture.policy.route(read, fixture.now);
            if (decision.action() == RoutingAction.SEND
                    && decision.attempt().node.equals(fixture.replica)) {
                read.attempts.add(decision.attempt());
                return decision.attempt();
            }
        }
        throw new AssertionError("no token in " + 10_000 + " attempts");
    }

    private AttemptRefusal refusalAfter(Attempt attempt, double seconds) {
        return fixture.policy.refusalOf(attempt, attempt.sentAt + seconds);
    }

    @Test
    void anAttemptThatWaitsForItsConnectionIsRefusedOnceItsTokenHasExpired() {
        Attempt attempt = attemptInSlowStart();
        assertEquals(AttemptRefusal.NONE, refusalAfter(attempt, TOKEN_LIFETIME / 2));
        assertEquals(AttemptRefusal.NO_SLOW_START_TOKEN, refusalAfter(attempt, TOKEN_LIFETIME + 0.1));
    }

    @Test
    void anAttemptThatWaitsForItsConnectionIsRefusedOnceItsNodeHasStartedAgain() {
        Attempt attempt = attemptInSlowStart();
        fixture.updateEndpoint(fixture.replica, State.READY, attempt.sentAt + 0.01);
        assertEquals(AttemptRefusal.NO_SLOW_START_TOKEN, refusalAfter(attempt, 0.1));
    }

    /** Else all requests that waited for a dead node would reach it together when it is back. */
    @Test
    void anAttemptOnAWarmNodeIsRefusedOnceTheNodeHasStartedAgain() {
        fixture.updateEndpoint(fixture.replica, State.READY, 0);
        Attempt attempt = attemptInSlowStart();
        assertEquals(AttemptRefusal.NONE, refusalAfter(attempt, TOKEN_LIFETIME + 0.1));
        fixture.updateEndpoint(fixture.replica, State.READY, attempt.sentAt + 0.5);
        assertEquals(AttemptRefusal.NO_SLOW_START_TOKEN, refusalAfter(attempt, 0.6));
    }
}
