package clayhook;

import java.util.List;

/**
 * What to do with a command now.
 *
 * @param dispatch what to send, with {@link Verdict#SEND}
 * @param advice how long the client had best stay away, with {@link Verdict#THROTTLE}; 0 for no advice
 * @param recall dispatches of the command that are wanted no longer
 */
public record Choice(Verdict verdict, Dispatch dispatch, double advice, List<Dispatch> recall) {

    /** NOT_YET leaves the command in hand until this router is asked again; DONE says it has its final answer. */
    public enum Verdict {
        SEND,
        NOT_YET,
        THROTTLE,
        FAIL,
        DONE
    }

    static Choice notYet() {
        return new Choice(Verdict.NOT_YET, null, 0, List.of());
    }

    static Choice send(Dispatch dispatch) {
        return new Choice(Verdict.SEND, dispatch, 0, List.of());
    }
}
