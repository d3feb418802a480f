package clayhook.inflight;

import clayhook.Attempt;
import clayhook.AttemptResult;
import clayhook.Decision;
import clayhook.Decision.RoutingAction;
import clayhook.Request;
import clayhook.RoutingPolicy;
import clayhook.TickResult;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** The commands in hand and the time to ask about them again. It asks the module and decides nothing itself. */
public final class InFlightRequests {
    /** More than a clock of seconds since 1970 is rounded by, in a double. */
    private static final double CLOCK_ROUNDING_SECONDS = 1e-6;

    /** What the module wants done with a command. */
    public record RoutedRequest(Request request, Decision decision) {}

    /**
     * What is to be carried out now.
     *
     * @param wake settle again after so many seconds; 0 if an earlier call already asked for that in time
     */
    public record DecisionBatch(List<RoutedRequest> routedRequests, TickResult tickResult, double wakeAfterSeconds) {}

    private final RoutingPolicy policy;
    /** Each leaves with its final answer and the last outcome of its dispatches. */
    private final Set<Request> requests = new LinkedHashSet<>();

    private List<RoutedRequest> routedRequests = new ArrayList<>();
    /** No dispatch that is out ends before. */
    private double earliestTimeoutAt = Double.POSITIVE_INFINITY;

    private double nextTickAt = Double.POSITIVE_INFINITY;

    private final Consumer<RuntimeException> faultHandler;

    /** {@code faults} hears of failures of the module; if it returns, the command concerned fails. */
    public InFlightRequests(RoutingPolicy decide, Consumer<RuntimeException> faults) {
        this.policy = decide;
        this.faultHandler = faults;
    }

    public void admit(Request command, double now) {
        requests.add(command);
        decide(command, () -> policy.route(command, now));
    }

    /** The same when nothing is sent any more: the final answer is due at once. */
    public void rejectOrFail(Request command) {
        requests.add(command);
        decide(command, () -> policy.rejectOrFail(command));
    }

    /** A dispatch ended; {@code over} tells that this gave the command its final answer. */
    public void onAttemptFinished(Attempt dispatch, AttemptResult reply, boolean over, double now) {
        Request command = dispatch.request;
        command.completed |= over;
        decide(command, () -> policy.onAttemptFinished(dispatch, reply, command.completed, now));
    }

    /** The client has gone: nothing is owed any more. */
    public void onClientGone(Request command) {
        command.completed = true;
        removeIfSettled(command);
    }

    /** What is out of a command that nobody waits for, as far as it may be recalled. */
    public List<Attempt> cancellableAttempts(Request command) {
        return policy.rejectOrFail(command).attemptsToCancel();
    }

    /** All that is in hand gets its final answer now. */
    public void rejectOrFailAll() {
        for (Request command : List.copyOf(requests)) {
            if (!command.completed) {
                decide(command, () -> policy.rejectOrFail(command));
            }
        }
    }

    /** The dispatches whose time limit has passed. */
    public List<Attempt> timedOutAttempts(double now) {
        if (now < earliestTimeoutAt) {
            return List.of();
        }
        var overdue = new ArrayList<Attempt>();
        earliestTimeoutAt = Double.POSITIVE_INFINITY;
        for (Request command : requests) {
            for (Attempt dispatch : command.attempts) {
                if (dispatch.outcome == null && now >= dispatch.timeoutAt) {
                    overdue.add(dispatch);
                } else if (dispatch.outcome == null) {
                    earliestTimeoutAt = Math.min(earliestTimeoutAt, dispatch.timeoutAt);
                }
            }
        }
        return overdue;
    }

    /** Asks again about every command in hand, if it is time, and returns all that was decided since. */
    public DecisionBatch tick(double now) {
        if (now >= nextTickAt - CLOCK_ROUNDING_SECONDS) {
            nextTickAt = Double.POSITIVE_INFINITY;
            for (Request command : List.copyOf(requests)) {
                if (!command.completed) {
                    decide(command, () -> policy.route(command, now));
                }
            }
        }
        TickResult pause = policy.tick(now);
        boolean sooner = now + pause.nextTickSeconds() < nextTickAt;
        nextTickAt = sooner ? now + pause.nextTickSeconds() : nextTickAt;
        var turn = new DecisionBatch(routedRequests, pause, sooner ? pause.nextTickSeconds() : 0);
        routedRequests = new ArrayList<>();
        return turn;
    }

    /** The time until commands are asked about again; a clock that was corrected may reach it late. */
    public double secondsUntilNextTick(double now) {
        return Math.max(0, nextTickAt - now);
    }

    /** How many commands are held or out. */
    public int size() {
        return requests.size();
    }

    private void decide(Request command, Supplier<Decision> question) {
        Decision choice;
        try {
            choice = question.get();
        } catch (RuntimeException e) {
            faultHandler.accept(e);
            choice = new Decision(RoutingAction.FAIL, null, 0, List.of());
        }
        if (choice.action() == RoutingAction.SEND) {
            command.attempts.add(choice.attempt());
            earliestTimeoutAt = Math.min(earliestTimeoutAt, choice.attempt().timeoutAt);
        } else if (choice.action() == RoutingAction.REJECT || choice.action() == RoutingAction.FAIL) {
            command.completed = true;
        }
        if (choice.action() != RoutingAction.WAIT) {
            routedRequests.add(new RoutedRequest(command, choice));
        }
        removeIfSettled(command);
    }

    private void removeIfSettled(Request command) {
        if (command.isRemovable()) {
            requests.remove(command);
        }
    }
}
