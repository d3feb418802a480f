package clayhook.hand;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;

import clayhook.Choice.Verdict;
import clayhook.Command;
import clayhook.CommandGroup;
import clayhook.CommandGroup.Effect;
import clayhook.CommandGroup.ReadLevel;
import clayhook.CommandGroup.Scope;
import clayhook.Decide;
import clayhook.Dispatch;
import clayhook.Listing;
import clayhook.Listing.State;
import clayhook.Node;
import clayhook.Outcome;
import clayhook.Reply;
import clayhook.Role;
import clayhook.Settings;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class HandTest {
    private static final CommandGroup GROUP =
            new CommandGroup("post", Effect.KEYED, ReadLevel.WRITE, 0.5, 2, 1, 0.5, Scope.GROUP, 5, 0);
    private final Node node = new Node("p", "a", 1);
    private final List<RuntimeException> faults = new ArrayList<>();
    private final Hand hand;
    private final Command command = new Command(GROUP, 1, null, 0, 1000, 1002);

    HandTest() {
        var decide = new Decide(
                new Settings(
                        1,
                        "a",
                        List.of(GROUP),
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
        decide.listed(List.of(new Listing(node, State.READY, true, 0)), true, 1000);
        hand = new Hand(decide, faults::add);
    }

    private static Reply reply(Outcome outcome) {
        return new Reply(outcome, 0.1, Role.PRIMARY, 1000, Role.UNKNOWN, 0, -1);
    }

    @Test
    void aDispatchIsOverdueAtItsLimitAndUntilItsOutcome() {
        hand.taken(command, 1000);
        Dispatch dispatch = hand.settle(1000).orders().get(0).choice().dispatch();
        assertEquals(List.of(), hand.overdue(1001.9));
        assertEquals(List.of(dispatch), hand.overdue(1001.98));
        hand.ended(dispatch, reply(Outcome.TIMED_OUT), false, 1001.98);
        assertEquals(Verdict.FAIL, hand.settle(1001.98).orders().get(0).choice().verdict());
        assertEquals(List.of(), hand.overdue(1003));
        assertEquals(0, hand.size());
    }

    @Test
    void aCommandWhoseClientLeftStaysUntilItsDispatchHasEnded() {
        hand.taken(command, 1000);
        Dispatch dispatch = hand.settle(1000).orders().get(0).choice().dispatch();
        hand.left(command);
        assertEquals(1, hand.size());
        hand.ended(dispatch, reply(Outcome.ANSWERED), false, 1000.1);
        assertEquals(0, hand.size());
    }

    @Test
    void aTurnThatComesEarlyLeavesTheRestOfItsTime() {
        hand.taken(command, 1000);
        double pause = hand.settle(1000).wake();
        assertEquals(0, hand.settle(1000 + pause - 1e-4).wake());
        assertEquals(1e-4, hand.remaining(1000 + pause - 1e-4), 1e-9);
        assertEquals(pause, hand.settle(1000 + pause).wake());
    }

    @Test
    void aCommandThatTheModuleFailsOnIsFailed() {
        hand.ended(
                new Dispatch(command, new Node("unknown", "a", 1), false, 1000, 1001),
                reply(Outcome.RESET),
                false,
                1000);
        assertEquals(1, faults.size());
        Hand.Order order = hand.settle(1000).orders().get(0);
        assertSame(command, order.command());
        assertEquals(Verdict.FAIL, order.choice().verdict());
    }
}
