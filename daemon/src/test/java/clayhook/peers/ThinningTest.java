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
class ThinningTest {
    private static final double START = 1e9;
    private final Members members = new Members(
            MemberSettings.DEFAULT,
            new Peer(new Member("r", 1), new Address("127.0.0.1", 1)),
            List.of(),
            1,
            START,
            new Members.Listener() {});
    private final State state = new State(members, List.of(Evidence.KIND, Fate.KIND), StateSettings.DEFAULT, 1, START);
    private final Looks looks = new Looks(members, new SplittableRandom(1));
    private final Doubts doubts = new Doubts(state, Fate.KIND);

    private Evidence after(AttemptOutcome outcome, Role role, double now) {
        looks.saw(
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
        looks.turn(state, key -> 0, START + now);
        return state.get(Evidence.KIND, "n");
    }

    @Test
    void aLookIsToldWhereTheLastWordIsOldOrItSaysSomethingElse() {
        Evidence first = after(AttemptOutcome.ANSWERED, Role.REPLICA, 0);
        assertEquals(
                List.of(START - 1, START - 0.001),
                List.of(first.position().value(), first.heard().at()));
        assertEquals(1, first.lag().value(), 0.01);
        assertEquals(first, after(AttemptOutcome.ANSWERED, Role.REPLICA, Looks.FRESH - 0.01));
        Evidence second = after(AttemptOutcome.ANSWERED, Role.REPLICA, Looks.FRESH + Looks.EVERY);
        assertTrue(second.heard().at() > first.heard().at());
        Evidence primary = after(AttemptOutcome.ANSWERED, Role.PRIMARY, Looks.FRESH + 2.5 * Looks.EVERY);
        assertTrue(primary.primary().at() > primary.replica().at());
        Evidence failed = after(AttemptOutcome.TIMED_OUT, Role.UNKNOWN, Looks.FRESH + 4 * Looks.EVERY);
        assertEquals(
                List.of(1, "r"),
                List.of(
                        failed.strikes().get(0).count(),
                        failed.strikes().get(0).sight().by()));
        assertEquals(failed, after(AttemptOutcome.CANCELLED, Role.UNKNOWN, Looks.FRESH + 6 * Looks.EVERY));
    }

    private void told(String key, boolean ran, double now) {
        var sent = Fate.Sent.of(START, 1, "post", null);
        doubts.told(
                key, ran ? Fate.ran(sent, Fate.Witness.of(START + now, "r", "n")) : Fate.unknown(sent), START + now);
        doubts.turn(START + now);
    }

    @ParameterizedTest
    @ValueSource(ints = {0, Doubts.MOST_RAN})
    void onlyDoubtsAreToldAndWhatEndsThemAsLongAsItIsRemembered(int later) {
        told("a", true, 1);
        assertEquals(0, state.size(Fate.KIND));
        for (int i = 0; i < later; i++) {
            told("other " + i, true, 2);
        }
        told("a", false, 3);
        told("b", false, 3);
        told("b", true, 4);
        assertEquals(
                later == 0 ? Knowledge.RAN : Knowledge.UNKNOWN,
                state.get(Fate.KIND, "a").knowledge());
        assertEquals(
                List.of(Knowledge.RAN, 2), List.of(state.get(Fate.KIND, "b").knowledge(), state.size(Fate.KIND)));
    }
}
