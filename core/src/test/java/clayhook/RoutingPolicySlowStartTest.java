package clayhook;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.Decision.RoutingAction;
import clayhook.Endpoint.State;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Attempts and health checks on a node in slow start. A token lives for a third of the overload window of 3 s. */
class RoutingPolicySlowStartTest {
    private static final double TOKEN_LIFETIME = 1;

    private final RoutingFixture fixture = RoutingFixture.builder().build();

    @BeforeEach
    void startReplicaAndDrainTheOther() {
        fixture.updateEndpoint(fixture.replica, State.READY, fixture.now);
        fixture.updateEndpoint(fixture.otherReplica, State.DRAINING, 0);
    }

    /** Routes long reads until one is sent to the replica in slow start, and returns its attempt. */
    private Attempt attemptInSlowStart() {
        for (int i = 0; i < 10_000; i++) {
            fixture.now += 0.01;
            fixture.reportAllPositions(fixture.now);
            Request read = fixture.request(fixture.longRead, 0);
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
    void attemptWaitingForConnectionIsRefusedOnceTokenHasExpired() {
        Attempt attempt = attemptInSlowStart();
        assertEquals(AttemptRefusal.NONE, refusalAfter(attempt, TOKEN_LIFETIME / 2));
        assertEquals(AttemptRefusal.NO_SLOW_START_TOKEN, refusalAfter(attempt, TOKEN_LIFETIME + 0.1));
    }

    @Test
    void attemptWaitingForConnectionIsRefusedOnceNodeHasRestarted() {
        Attempt attempt = attemptInSlowStart();
        fixture.updateEndpoint(fixture.replica, State.READY, attempt.sentAt + 0.01);
        assertEquals(AttemptRefusal.NO_SLOW_START_TOKEN, refusalAfter(attempt, 0.1));
    }

    /** Otherwise all requests that waited for a dead node would reach it at the same time after its restart. */
    @Test
    void attemptOnWarmNodeIsRefusedOnceNodeHasRestarted() {
        fixture.updateEndpoint(fixture.replica, State.READY, 0);
        Attempt attempt = attemptInSlowStart();
        assertEquals(AttemptRefusal.NONE, refusalAfter(attempt, TOKEN_LIFETIME + 0.1));
        fixture.updateEndpoint(fixture.replica, State.READY, attempt.sentAt + 0.5);
        assertEquals(AttemptRefusal.NO_SLOW_START_TOKEN, refusalAfter(attempt, 0.6));
    }

    /**
     * Guards against overload by health checks, the same failure as in {@link SlowStartTest}. Each router with a read
     * for a node in slow start checked it first, even without a token, and each first check opens a connection, which
     * may cost a tenth of a read. With that cost in the simulation, 1,000 routers sent up to 1.28 times the work that
     * overloads the node, and 300 routers up to 1.10 times, although the requests were within their budgets.
     */
    @Test
    void readsHealthCheckNodeInSlowStartOnlyWithToken() {
        int checks = 0;
        int checksOfOthers = 0;
        for (int seed = 0; seed < 100; seed++) {
            RoutingFixture idle =
                    RoutingFixture.builder().seed(seed).routerCount(1000).build();
            idle.now += 60;
            idle.updateEndpoint(idle.replica, State.READY, idle.now - 1);
            for (int i = 0; i < 5; i++) {
                idle.now += 0.2;
                idle.policy.route(idle.request(idle.bounded, 0), idle.now);
                List<Node> checked = idle.policy.tick(idle.now).healthChecks();
                checks += checked.contains(idle.replica) ? 1 : 0;
                checksOfOthers += checked.contains(idle.otherReplica) ? 1 : 0;
            }
        }
        assertEquals(0, checks);
        assertTrue(checksOfOthers > 100, "only " + checksOfOthers);
    }
}
