package clayhook.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.AttemptOutcome;
import clayhook.AttemptResult;
import clayhook.Role;
import clayhook.fleet.Address;
import clayhook.fleet.Member;
import clayhook.fleet.Peer;
import clayhook.fleet.members.Membership;
import clayhook.fleet.members.MembershipListener;
import clayhook.fleet.members.MembershipSettings;
import clayhook.fleet.state.ReplicatedState;
import clayhook.fleet.state.StateSettings;
import clayhook.fleet.types.NodeObservation;
import clayhook.fleet.types.WriteOutcome;
import clayhook.fleet.types.WriteOutcome.OutcomeStatus;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests which observations and write outcomes a router publishes. Runs in virtual time with a single router, whose
 * probability of publishing is always 1, so that the results do not depend on random numbers.
 */
class ObservationPublishingTest {
    private static final double START = 1e9;
    private final Membership membership = new Membership(
            MembershipSettings.DEFAULT,
            new Peer(new Member("r", 1), new Address("127.0.0.1", 1)),
            List.of(),
            1,
            START,
            new MembershipListener() {});
    private final ReplicatedState state = new ReplicatedState(
            membership, List.of(NodeObservation.TYPE, WriteOutcome.TYPE), StateSettings.DEFAULT, 1, START);
    private final NodeObservations observations = new NodeObservations(membership, new SplittableRandom(1));
    private final InDoubtWrites inDoubtWrites = new InDoubtWrites(state, WriteOutcome.TYPE);

    private NodeObservation publishedAfter(AttemptOutcome outcome, Role role, double now) {
        observations.recordResult(
                "n",
                new AttemptResult(
                        outcome,
                        outcome == AttemptOutcome.TIMED_OUT ? 1 : 0.002,
                        role,
                        role == Role.UNKNOWN ? 0 : START + now - 1,
                        Role.UNKNOWN,
                        0,
                        -1),
                START + now);
        observations.publish(state, key -> 0, START + now);
        return state.get(NodeObservation.TYPE, "n");
    }

    @Test
    void publishesWhenPublishedValueIsOldOrContradicted() {
        NodeObservation first = publishedAfter(AttemptOutcome.ANSWERED, Role.REPLICA, 0);
        assertEquals(
                List.of(START - 1, START - 0.001),
                List.of(first.appliedPosition().value(), first.lastSeen().observedAt()));
        assertEquals(1, first.lag().value(), 0.01);
        assertEquals(first, publishedAfter(AttemptOutcome.ANSWERED, Role.REPLICA, NodeObservations.FRESHNESS - 0.01));
        NodeObservation second = publishedAfter(
                AttemptOutcome.ANSWERED, Role.REPLICA, NodeObservations.FRESHNESS + NodeObservations.PUBLISH_INTERVAL);
        assertTrue(second.lastSeen().observedAt() > first.lastSeen().observedAt());
        NodeObservation primary = publishedAfter(
                AttemptOutcome.ANSWERED,
                Role.PRIMARY,
                NodeObservations.FRESHNESS + 2.5 * NodeObservations.PUBLISH_INTERVAL);
        assertTrue(primary.primaryClaim().observedAt() > primary.replicaClaim().observedAt());
        NodeObservation failed = publishedAfter(
                AttemptOutcome.TIMED_OUT,
                Role.UNKNOWN,
                NodeObservations.FRESHNESS + 4 * NodeObservations.PUBLISH_INTERVAL);
        assertEquals(
                List.of(1, "r"),
                List.of(
                        failed.failureStreaks().get(0).count(),
                        failed.failureStreaks().get(0).source().router()));
        assertEquals(
                failed,
                publishedAfter(
                        AttemptOutcome.CANCELLED,
                        Role.UNKNOWN,
                        NodeObservations.FRESHNESS + 6 * NodeObservations.PUBLISH_INTERVAL));
    }

    private void recordOutcome(String key, boolean executed, double now) {
        var sent = WriteOutcome.SentWrite.of(START, 1, "post", null);
        inDoubtWrites.recordOutcome(
                key,
                executed
                        ? WriteOutcome.ran(sent, WriteOutcome.OutcomeObservation.of(START + now, "r", "n"))
                        : WriteOutcome.unknown(sent),
                START + now);
        inDoubtWrites.publishResolved(START + now);
    }

    @ParameterizedTest
    @ValueSource(ints = {0, InDoubtWrites.MAX_EXECUTED})
    void publishesOutcomesOnlyForWritesInDoubt(int laterWrites) {
        recordOutcome("a", true, 1);
        assertEquals(0, state.size(WriteOutcome.TYPE));
        for (int i = 0; i < laterWrites; i++) {
            recordOutcome("other " + i, true, 2);
        }
        recordOutcome("a", false, 3);
        recordOutcome("b", false, 3);
        recordOutcome("b", true, 4);
        assertEquals(
                laterWrites == 0 ? OutcomeStatus.RAN : OutcomeStatus.UNKNOWN,
                state.get(WriteOutcome.TYPE, "a").status());
        assertEquals(
                List.of(OutcomeStatus.RAN, 2),
                List.of(state.get(WriteOutcome.TYPE, "b").status(), state.size(WriteOutcome.TYPE)));
    }
}
