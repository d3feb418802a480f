package clayhook;

import static org.junit.jupiter.api.Assertions.assertEquals;

import clayhook.Choice.Verdict;
import clayhook.CommandGroup.Effect;
import clayhook.CommandGroup.ReadLevel;
import clayhook.CommandGroup.Scope;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A primary and two replicas, all heard of just now, and the router that decides for them. */
final class Fleet {
    final Node primary = new Node("c", "north", 1);
    final Node replica = new Node("b", "north", 1);
    final Node other = new Node("a", "south", 1);
    final CommandGroup bounded = group("bounded", Effect.REPLAYABLE, ReadLevel.BOUNDED, 0.4, 0);
    final CommandGroup session = group("session", Effect.REPLAYABLE, ReadLevel.SESSION, 0.4, 0);
    final CommandGroup any = group("any", Effect.REPLAYABLE, ReadLevel.ANY, 0.4, 0);
    final CommandGroup report = group("report", Effect.REPLAYABLE, ReadLevel.ANY, 4, 0);
    final CommandGroup write = group("write", Effect.KEYED, ReadLevel.WRITE, 0.4, 0.5);
    private final CommandGroup mutating = group("mutating", Effect.MUTATING, ReadLevel.WRITE, 0.4, 0.5);
    private final CommandGroup fresh = group("fresh", Effect.REPLAYABLE, ReadLevel.FRESH, 0.4, 0.5);
    final Decide decide;
    double now = 1000;
    /** What each node answers when it is probed: the last that it told. */
    private final Map<Node, Reply> told = new HashMap<>();

    Fleet() {
        this(true, false);
    }

    Fleet(boolean marksCarried, boolean replicasCheck) {
        this(marksCarried, replicasCheck, false);
    }

    Fleet(boolean marksCarried, boolean replicasCheck, boolean listMustBeAsked) {
        this(3, marksCarried, replicasCheck, listMustBeAsked, true);
    }

    Fleet(int routers, boolean marksCarried, boolean replicasCheck, boolean listMustBeAsked, boolean goneBinds) {
        this(routers, marksCarried, replicasCheck, listMustBeAsked, goneBinds, true);
    }

    Fleet(
            int routers,
            boolean marksCarried,
            boolean replicasCheck,
            boolean listMustBeAsked,
            boolean goneBinds,
            boolean mayProbe) {
        decide = new Decide(
                new Settings(
                        routers,
                        "north",
                        List.of(bounded, session, any, report, write, mutating, fresh),
                        listMustBeAsked,
                        goneBinds,
                        replicasCheck,
                        marksCarried,
                        mayProbe,
                        true,
                        true,
                        true,
                        1,
                        8,
                        0.2,
                        10,
                        3,
                        3,
                        1,
                        15),
                1);
        decide.listed(
                List.of(
                        new Listing(primary, Listing.State.READY, false, 0),
                        new Listing(replica, Listing.State.READY, false, 0),
                        new Listing(other, Listing.State.READY, false, 0)),
                true,
                now);
        tellAll(now);
    }

    private static CommandGroup group(String name, Effect effect, ReadLevel level, double target, double late) {
        return new CommandGroup(name, effect, level, target, 10 * target, 1, late, Scope.GROUP, 1.2, 0.3);
    }

    CommandGroup writes(Effect effect) {
        return switch (effect) {
            case REPLAYABLE -> fresh;
            case KEYED -> write;
            case MUTATING -> mutating;
        };
    }

    void list(Node node, Listing.State state, double startedAt) {
        decide.listed(List.of(new Listing(node, state, false, startedAt)), false, now);
    }

    void tell(Node node, Role role, double position) {
        told.put(node, new Reply(Outcome.ANSWERED, 0.001, Role.UNKNOWN, 0, role, position, -1));
        decide.probed(node, told.get(node), now);
    }

    void tellAll(double position) {
        tell(primary, Role.PRIMARY, position);
        tell(replica, Role.REPLICA, position);
        tell(other, Role.REPLICA, position);
    }

    Command command(CommandGroup group, double wroteAt) {
        return new Command(group, 1, "s", wroteAt, now, now + group.clientTimeout());
    }

    /** Asks where to send a command until it is not held for a probe any more; probes are answered. */
    Choice ask(Command command) {
        Choice choice = decide.where(command, now);
        for (int i = 0; i < 9 && choice.verdict() == Verdict.NOT_YET; i++) {
            decide.pause(now).probes().forEach(node -> decide.probed(node, told.get(node), now));
            choice = decide.where(command, now);
        }
        return choice;
    }

    Dispatch send(CommandGroup group) {
        Choice choice = ask(command(group, 0));
        assertEquals(Verdict.SEND, choice.verdict());
        choice.dispatch().command.dispatches.add(choice.dispatch());
        return choice.dispatch();
    }

    /** Sends until nothing goes out any more; returns how many went. */
    int fill(CommandGroup group) {
        int count = 0;
        while (decide.where(command(group, 0), now).verdict() == Verdict.SEND) {
            count++;
        }
        return count;
    }

    /** The nodes that so many commands, each answered before the next, would go to. */
    Set<Node> nodesOf(CommandGroup group, int commands) {
        var nodes = new HashSet<Node>();
        for (int i = 0; i < commands; i++) {
            Choice choice = decide.where(command(group, 0), now);
            if (choice.verdict() == Verdict.SEND) {
                nodes.add(choice.dispatch().node);
            }
        }
        return nodes;
    }

    int sentTo(Node node, CommandGroup group, int commands) {
        int count = 0;
        for (int i = 0; i < commands; i++) {
            Choice choice = decide.where(command(group, 0), now);
            count += choice.verdict() == Verdict.SEND && choice.dispatch().node.equals(node) ? 1 : 0;
        }
        return count;
    }

    Choice answer(Dispatch dispatch, Outcome outcome, Role role, double position) {
        return decide.after(
                dispatch,
                new Reply(outcome, now - dispatch.sentAt, role, position, Role.UNKNOWN, 0, -1),
                outcome == Outcome.ANSWERED,
                now);
    }
}
