package clayhook;

import java.util.List;

/**
 * What to do with a command now.
 *
 * @param dispatch what to send, with {@link RoutingAction#SEND}
 * @param advice how long the client had best stay away, with {@link RoutingAction#REJECT}; 0 for no advice
 * @param recall dispatches of the command that are wanted no longer
 */
public record Decision(
        RoutingAction action, Attempt attempt, double retryAfterSeconds, List<Attempt> attemptsToCancel) {

    /** NOT_YET leaves the command in hand until this router is asked again; DONE says it has its final answer. */
    public enum RoutingAction {
        SEND,
        WAIT,
        REJECT,
        FAIL,
        DONE
    }

    static Decision waitForNextTick() {
        return new Decision(RoutingAction.WAIT, null, 0, List.of());
    }

    static Decision send(Attempt dispatch) {
        return new Decision(RoutingAction.SEND, dispatch, 0, List.of());
    }
}
