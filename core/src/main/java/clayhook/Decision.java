package clayhook;

import java.util.List;

/**
 * What the {@link RoutingPolicy} wants done with a request now.
 *
 * @param attempt what to send, with {@link RoutingAction#SEND}; otherwise null
 * @param retryAfterSeconds how long the client should wait before it retries, with {@link RoutingAction#REJECT}; 0 for
 *     no advice
 * @param attemptsToCancel outstanding attempts of the request whose results are no longer needed
 */
public record Decision(
        RoutingAction action, Attempt attempt, double retryAfterSeconds, List<Attempt> attemptsToCancel) {

    /** What to do with a request. */
    public enum RoutingAction {
        /** Send an attempt. */
        SEND,
        /** Ask again at the next tick, or when the result of an attempt is known. */
        WAIT,
        /** Answer that the client should retry later: the request was not executed, or may safely be repeated. */
        REJECT,
        /** Answer that the request failed; it may have been executed. */
        FAIL,
        /** Nothing: the request already has its final answer, or its client has gone. */
        DONE
    }

    static Decision waitForNextTick() {
        return new Decision(RoutingAction.WAIT, null, 0, List.of());
    }

    static Decision send(Attempt attempt) {
        return new Decision(RoutingAction.SEND, attempt, 0, List.of());
    }

    static Decision end(RoutingAction action, double retryAfterSeconds, List<Attempt> attemptsToCancel) {
        return new Decision(action, null, retryAfterSeconds, attemptsToCancel);
    }
}
