package clayhook;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.Endpoint.State;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests how the endpoint list limits the choice of nodes, and when it is polled. */
class RoutingPolicyEndpointListTest {
    private final RoutingFixture fixture = RoutingFixture.builder().build();

    @ParameterizedTest
    @EnumSource(
            value = State.class,
            names = {"DRAINING", "GONE"})
    void drainingOrGoneNodeGetsNoNewAttempts(State state) {
        fixture.updateEndpoint(fixture.replica, state, 0);
        assertEquals(Set.of(fixture.otherReplica), fixture.nodesChosenFor(fixture.bounded, 4));
    }

    @Test
    void nodeMissingFromACompleteEndpointListIsGone() {
        fixture.policy.onEndpointList(
                List.of(
                        new Endpoint(fixture.primary, State.READY, true, 0),
                        new Endpoint(fixture.otherReplica, State.READY, false, 0)),
                true,
                fixture.now);
        assertEquals(Set.of(fixture.otherReplica), fixture.nodesChosenFor(fixture.eventual, 4));
    }

    @ParameterizedTest
    @CsvSource({"true, 0", "false, 2"})
    void goneNodeGetsAttemptsIfGoneIsNotBindingUnlessItWasDraining(boolean goneIsBinding, int expectedReplicas) {
        RoutingFixture goneFixture =
                RoutingFixture.builder().goneIsBinding(goneIsBinding).build();
        goneFixture.updateEndpoint(goneFixture.replica, State.GONE, 0);
        goneFixture.updateEndpoint(goneFixture.otherReplica, State.GONE, 0);
        Set<Node> nodes = goneFixture.nodesChosenFor(goneFixture.eventual, 4);
        nodes.remove(goneFixture.primary);
        assertEquals(expectedReplicas, nodes.size());
        goneFixture.updateEndpoint(goneFixture.replica, State.DRAINING, 0);
        goneFixture.updateEndpoint(goneFixture.replica, State.GONE, 0);
        assertFalse(goneFixture.nodesChosenFor(goneFixture.eventual, 4).contains(goneFixture.replica));
    }

    @ParameterizedTest
    @CsvSource({"true, 0.49, false", "true, 1.51, true", "false, 1.51, false"})
    void failedEndpointListPollIsRetriedAfterADelay(boolean mustBePolled, double secondsLater, boolean expectPoll) {
        RoutingFixture polling =
                RoutingFixture.builder().endpointListMustBePolled(mustBePolled).build();
        assertEquals(mustBePolled, polling.policy.tick(polling.now).pollEndpoints());
        polling.policy.onEndpointListFailed(polling.now);
        assertEquals(expectPoll, polling.policy.tick(polling.now + secondsLater).pollEndpoints());
    }

    /** An idle router schedules its next tick for the due poll, not after the idle interval of 1 s. */
    @Test
    void endpointListIsPolledWhenDueOnAnIdleRouter() {
        RoutingFixture polling =
                RoutingFixture.builder().endpointListMustBePolled(true).build();
        polling.policy.tick(polling.now);
        polling.policy.onEndpointListFailed(polling.now);
        for (int i = 0; i < 3 && !polling.policy.tick(polling.now).pollEndpoints(); i++) {
            polling.now += polling.policy.tick(polling.now).nextTickSeconds();
        }
        assertTrue(polling.now <= 1000 + 1.52, polling.now + "");
    }

    @Test
    void lateEndpointListIsPolledAtOnceButOnlyOnce() {
        RoutingFixture polling =
                RoutingFixture.builder().endpointListMustBePolled(true).build();
        polling.policy.tick(polling.now);
        polling.policy.onEndpointList(List.of(), false, polling.now);
        assertFalse(polling.policy.tick(polling.now + 60).pollEndpoints());
        polling.policy.onEndpointListLate(polling.now + 61);
        assertTrue(polling.policy.tick(polling.now + 61).pollEndpoints());
        polling.policy.onEndpointListLate(polling.now + 62);
        assertFalse(polling.policy.tick(polling.now + 62).pollEndpoints());
    }
}
