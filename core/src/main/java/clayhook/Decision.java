package clayhook;

import java.util.List;

/**
 * The decision of the {@link RoutingPolicy} on how to proceed with a request now.
 *
 * @param attempt the attempt to send if the action is {@link RoutingAction#SEND}; otherwise null
 * @param retryAfterSeconds how long the client should wait before it retries if the action is
 *     {@link RoutingAction#REJECT}; 0 for no advice
 * @param attemptsToCancel outstanding attempts of the request whose results are no longer needed
 */
public record Decision(
        RoutingAction action, Attempt attempt, double retryAfterSeconds, List<Attempt> attemptsToCancel) {

    /** The action on a request. */
    public enum RoutingAction {
        /** Send an attempt. */
        SEND,
        /** Route the request again at the next tick or after the result of an attempt. */
        WAIT,
        /** Tell the client to retry later: the request was not executed, or repeating it is safe. */
        REJECT,
        /** Tell the client that the request failed; it may have been executed. */
        FAIL,
        /** Send nothing: the request already has its final answer, or its client has gone. */
        DONE
    }

    static Decision waitForNextTick() {
        return new Decision(RoutingAction.WAIT, null, 0, List.of());
    }

    /** Returns this decision with another action. */
    public Decision withAction(RoutingAction other) {
        return new Decision(other, attempt, retryAfterSeconds, attemptsToCancel);
    }

    static Decision send(Attempt attempt) {
        return new Decision(RoutingAction.SEND, attempt, 0, List.of());
    }

    static Decision end(RoutingAction action, double retryAfterSeconds, List<Attempt> attemptsToCancel) {
        return new Decision(action, null, retryAfterSeconds, attemptsToCancel);
    }
}
