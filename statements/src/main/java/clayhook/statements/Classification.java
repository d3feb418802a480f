package clayhook.statements;

/**
 * The result of classifying one statement: its verdict, its expected cost, and the request class and replica set that
 * the operator's rules assign to it.
 *
 * @param shape the shape of the statement; null if the shape was not analyzed
 * @param requestClass the name of the request class; empty if the statement is refused
 * @param replicaSetId the id of the replica set
 * @param cost the expected service time in seconds
 * @param high the 95th percentile of the service time of the shape in seconds; equal to the cost if not measured
 * @param rule the name of the rule that matched, {@code default} if none did; empty if the verdict was a refusal before
 *     any rule was evaluated
 * @param reason the part of the statement that determined the verdict, or the reason of the refusal
 * @param timeoutSeconds the client timeout in seconds; 0 if the rule sets none
 * @param outcomeKey the literal by which nodes discard duplicates of the statement, or null
 * @param mayChangeSession whether the statement may change the state of the database session in which a node runs it
 */
public record Classification(
        StatementEffect verdict,
        Shape shape,
        String requestClass,
        int replicaSetId,
        double cost,
        double high,
        String rule,
        String reason,
        double timeoutSeconds,
        String outcomeKey,
        boolean mayChangeSession) {

    /** The fingerprint of the shape; empty if the shape was not analyzed. */
    public String fingerprint() {
        return shape == null ? "" : shape.fingerprint();
    }

    Classification refused(String reason) {
        return new Classification(StatementEffect.REFUSED, shape, "", 0, cost, high, rule, reason, 0, null, false);
    }

    Classification withReplicaSet(int newReplicaSetId) {
        return new Classification(
                verdict,
                shape,
                requestClass,
                newReplicaSetId,
                cost,
                high,
                rule,
                reason,
                timeoutSeconds,
                outcomeKey,
                mayChangeSession);
    }
}
