package clayhook;

/**
 * The result of an attempt or a health check, with the state that the node reported. Positions are clock times in
 * seconds; 0 if the node reported none.
 *
 * @param elapsedSeconds the time since the attempt was sent
 * @param role the role that this response shows
 * @param appliedPosition the applied position that the node reported in this response
 * @param reportedRole the role in the node's load report, which is older than the response
 * @param reportedPosition the applied position in the load report, about as old as the report
 * @param reportedLoad the number of executing and queued requests in the load report; negative without a report
 */
public record AttemptResult(
        AttemptOutcome outcome,
        double elapsedSeconds,
        Role role,
        double appliedPosition,
        Role reportedRole,
        double reportedPosition,
        double reportedLoad) {

    /** Returns a result without any reported state of the node, or without any that can be trusted. */
    public static AttemptResult withoutReport(AttemptOutcome outcome, double elapsedSeconds) {
        return new AttemptResult(outcome, elapsedSeconds, Role.UNKNOWN, 0, Role.UNKNOWN, 0, -1);
    }
}
