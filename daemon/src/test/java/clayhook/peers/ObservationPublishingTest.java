package clayhook.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.AttemptOutcome;
import clayhook.AttemptResult;
import clayhook.Role;
import clayhook.fleet.Address;
import clayhook.fleet.Member;
import clayhook.fleet.Peer;
import clayhook.fleet.kinds.Evidence;
import clayhook.fleet.kinds.Fate;
import clayhook.fleet.kinds.Fate.Knowledge;
import clayhook.fleet.members.MemberSettings;
import clayhook.fleet.members.Members;
import clayhook.fleet.state.State;
import clayhook.fleet.state.StateSettings;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What of all that a router sees is told to others; in virtual time, at one router alone, so that no chance acts. */
class ObservationPublishingTest {
    private static final double START = 1e9;
    private final Members members = new Members(
            MemberSettings.DEFAULT,
            new Peer(new Member("r", 1), new Address("127.0.0.1", 1)),
            List.of(),
            1,
            START,
            new Members.Listener() {});
    private final State state = new State(members, List.of(Evidence.KIND, Fate.KIND), StateSettings.DEFAULT, 1, START);
    private final NodeObservations observations = new NodeObservations(members, new SplittableRandom(1));
    private final InDoubtWrites inDoubtWrites = new InDoubtWrites(state, Fate.KIND);

    private Evidence publishedAfter(AttemptOutcome outcome, Role role, double now) {
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
        return state.get(Evidence.KIND, "n");
    }

    @Test
    void publishesWhenPublishedValueIsOldOrContradicted() {
        Evidence first = publishedAfter(AttemptOutcome.ANSWERED, Role.REPLICA, 0);
        assertEquals(
                List.of(START - 1, START - 0.001),
                List.of(first.position().value(), first.heard().at()));
        assertEquals(1, first.lag().value(), 0.01);
        assertEquals(first, publishedAfter(AttemptOutcome.ANSWERED, Role.REPLICA, NodeObservations.FRESHNESS - 0.01));
        Evidence second = publishedAfter(AttemptOutcome.ANSWERED, Role.REPLICA, NodeObservations.FRESHNESS + NodeObservations.PUBLISH_INTERVAL);
        assertTrue(second.heard().at() > first.heard().at());
        Evidence primary = publishedAfter(AttemptOutcome.ANSWERED, Role.PRIMARY, NodeObservations.FRESHNESS + 2.5 * NodeObservations.PUBLISH_INTERVAL);
        assertTrue(primary.primary().at() > primary.replica().at());
        Evidence failed = publishedAfter(AttemptOutcome.TIMED_OUT, Role.UNKNOWN, NodeObservations.FRESHNESS + 4 * NodeObservations.PUBLISH_INTERVAL);
        assertEquals(
                List.of(1, "r"),
                List.of(
                        failed.strikes().get(0).count(),
                        failed.strikes().get(0).sight().by()));
        assertEquals(failed, publishedAfter(AttemptOutcome.CANCELLED, Role.UNKNOWN, NodeObservations.FRESHNESS + 6 * NodeObservations.PUBLISH_INTERVAL));
    }

    private void recordOutcome(String key, boolean ran, double now) {
        var sent = Fate.Sent.of(START, 1, "post", null);
        inDoubtWrites.recordOutcome(
                key, ran ? Fate.ran(sent, Fate.Witness.of(START + now, "r", "n")) : Fate.unknown(sent), START + now);
        inDoubtWrites.publishResolved(START + now);
    }

    @ParameterizedTest
    @ValueSource(ints = {0, InDoubtWrites.MAX_EXECUTED})
    void publishesOutcomesOnlyForWritesInDoubt(int later) {
        recordOutcome("a", true, 1);
        assertEquals(0, state.size(Fate.KIND));
        for (int i = 0; i < later; i++) {
            recordOutcome("other " + i, true, 2);
        }
        recordOutcome("a", false, 3);
        recordOutcome("b", false, 3);
        recordOutcome("b", true, 4);
        assertEquals(
                later == 0 ? Knowledge.RAN : Knowledge.UNKNOWN,
                state.get(Fate.KIND, "a").knowledge());
        assertEquals(
                List.of(Knowledge.RAN, 2), List.of(state.get(Fate.KIND, "b").knowledge(), state.size(Fate.KIND)));
    }
}
