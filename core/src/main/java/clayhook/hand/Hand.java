package clayhook.hand;

import clayhook.Choice;
import clayhook.Choice.Verdict;
import clayhook.Command;
import clayhook.Decide;
import clayhook.Dispatch;
import clayhook.Pause;
import clayhook.Reply;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** The commands in hand and the time to ask about them again. It asks the module and decides nothing itself. */
public final class Hand {
    /** More than a clock of seconds since 1970 is rounded by, in a double. */
    private static final double ROUNDING = 1e-6;

    /** What the module wants done with a command. */
    public record Order(Command command, Choice choice) {}

    /**
     * What is to be carried out now.
     *
     * @param wake settle again after so many seconds; 0 if an earlier call already asked for that in time
     */
    public record Turn(List<Order> orders, Pause pause, double wake) {}

    private final Decide decide;
    /** Each leaves with its final answer and the last outcome of its dispatches. */
    private final Set<Command> held = new LinkedHashSet<>();

    private List<Order> orders = new ArrayList<>();
    /** No dispatch that is out ends before. */
    private double nextLimit = Double.POSITIVE_INFINITY;

    private double dueAt = Double.POSITIVE_INFINITY;

    private final Consumer<RuntimeException> faults;

    /** {@code faults} hears of failures of the module; if it returns, the command concerned fails. */
    public Hand(Decide decide, Consumer<RuntimeException> faults) {
        this.decide = decide;
        this.faults = faults;
    }

    public void taken(Command command, double now) {
        held.add(command);
        order(command, () -> decide.where(command, now));
    }

    /** The same when nothing is sent any more: the final answer is due at once. */
    public void takenTooLate(Command command) {
        held.add(command);
        order(command, () -> decide.giveUp(command));
    }

    /** A dispatch ended; {@code over} tells that this gave the command its final answer. */
    public void ended(Dispatch dispatch, Reply reply, boolean over, double now) {
        Command command = dispatch.command;
        command.over |= over;
        order(command, () -> decide.after(dispatch, reply, command.over, now));
    }

    /** The client has gone: nothing is owed any more. */
    public void left(Command command) {
        command.over = true;
        release(command);
    }

    /** What is out of a command that nobody waits for, as far as it may be recalled. */
    public List<Dispatch> unwanted(Command command) {
        return decide.giveUp(command).recall();
    }

    /** All that is in hand gets its final answer now. */
    public void giveUp() {
        for (Command command : List.copyOf(held)) {
            if (!command.over) {
                order(command, () -> decide.giveUp(command));
            }
        }
    }

    /** The dispatches whose time limit has passed. */
    public List<Dispatch> overdue(double now) {
        if (now < nextLimit) {
            return List.of();
        }
        var overdue = new ArrayList<Dispatch>();
        nextLimit = Double.POSITIVE_INFINITY;
        for (Command command : held) {
            for (Dispatch dispatch : command.dispatches) {
                if (dispatch.outcome == null && now >= dispatch.limit) {
                    overdue.add(dispatch);
                } else if (dispatch.outcome == null) {
                    nextLimit = Math.min(nextLimit, dispatch.limit);
                }
            }
        }
        return overdue;
    }

    /** Asks again about every command in hand, if it is time, and returns all that was decided since. */
    public Turn settle(double now) {
        if (now >= dueAt - ROUNDING) {
            dueAt = Double.POSITIVE_INFINITY;
            for (Command command : List.copyOf(held)) {
                if (!command.over) {
                    order(command, () -> decide.where(command, now));
                }
            }
        }
        Pause pause = decide.pause(now);
        boolean sooner = now + pause.seconds() < dueAt;
        dueAt = sooner ? now + pause.seconds() : dueAt;
        var turn = new Turn(orders, pause, sooner ? pause.seconds() : 0);
        orders = new ArrayList<>();
        return turn;
    }

    /** The time until commands are asked about again; a clock that was corrected may reach it late. */
    public double remaining(double now) {
        return Math.max(0, dueAt - now);
    }

    /** How many commands are held or out. */
    public int size() {
        return held.size();
    }

    private void order(Command command, Supplier<Choice> question) {
        Choice choice;
        try {
            choice = question.get();
        } catch (RuntimeException e) {
            faults.accept(e);
            choice = new Choice(Verdict.FAIL, null, 0, List.of());
        }
        if (choice.verdict() == Verdict.SEND) {
            command.dispatches.add(choice.dispatch());
            nextLimit = Math.min(nextLimit, choice.dispatch().limit);
        } else if (choice.verdict() == Verdict.THROTTLE || choice.verdict() == Verdict.FAIL) {
            command.over = true;
        }
        if (choice.verdict() != Verdict.NOT_YET) {
            orders.add(new Order(command, choice));
        }
        release(command);
    }

    private void release(Command command) {
        if (command.finished()) {
            held.remove(command);
        }
    }
}
