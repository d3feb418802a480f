package clayhook;

import clayhook.RequestClass.DeduplicationScope;
import clayhook.RequestClass.Idempotency;

/**
 * Decides what the final answer to a request may tell its client. What counts is what any attempt of the request may
 * have done, not how the last one ended. Pure functions; event loop only, as they read the state of requests.
 */
public final class FinalAnswerPolicy {
    private FinalAnswerPolicy() {}

    /** Whether a node may have executed the request, or may still do so. */
    public static boolean mayHaveBeenExecuted(Request request) {
        return request.firstPossiblyExecutedAttempt() != null;
    }

    /**
     * Whether the client may be told that sending the request again is harmless: it was not executed, or a repeat has
     * no effect at any node.
     */
    public static boolean mayReject(Request request) {
        return request.idempotency() == Idempotency.IDEMPOTENT
                || !mayHaveBeenExecuted(request)
                || isDeduplicatedByAllNodes(request);
    }

    /**
     * Whether the client may get the error with which a node answered an attempt. Clients take such an error as proof
     * that the request has had no effect, and a refusal as leave to send it again.
     *
     * @param attempt the attempt that got the error; if it has no outcome yet, the error proves that it had no effect
     * @param isRefusal whether the error invites the client to send the request again
     */
    public static boolean mayReportError(Request request, Attempt attempt, boolean isRefusal) {
        if (request.idempotency() == Idempotency.IDEMPOTENT) {
            return true;
        }
        boolean executedByOther =
                request.attempts.stream().anyMatch(other -> other != attempt && mayHaveBeenExecuted(other));
        if (!isRefusal) {
            return !executedByOther;
        }
        boolean executedByThis = attempt.outcome != null && mayHaveBeenExecuted(attempt);
        return (!executedByOther && !executedByThis) || isDeduplicatedByAllNodes(request);
    }

    /**
     * Whether a request that a node refused may end, and the same statement be admitted as a new request, which knows
     * nothing of earlier attempts.
     *
     * @param refused the attempt that the node refused to execute
     * @param newClass the request class of the new request; null if it is rejected instead
     */
    public static boolean mayStartAnew(Request request, Attempt refused, RequestClass newClass) {
        return (newClass != null && newClass.idempotency() == Idempotency.IDEMPOTENT)
                || request.attempts.stream().noneMatch(other -> other != refused && mayHaveBeenExecuted(other));
    }

    private static boolean mayHaveBeenExecuted(Attempt attempt) {
        return attempt.outcome == null || !attempt.outcome.notExecuted;
    }

    private static boolean isDeduplicatedByAllNodes(Request request) {
        return request.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY
                && request.requestClass.deduplicationScope() == DeduplicationScope.ALL;
    }
}
