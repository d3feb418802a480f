package clayhook;

/**
 * The result of an attempt or a health check, with what the node said of itself. Positions are clock times in seconds;
 * 0 where the node told none.
 *
 * @param elapsedSeconds the time since the attempt was sent
 * @param role the role that the node showed with this response
 * @param appliedPosition the log position that the node told with this response
 * @param reportedRole the role in the node's load report, which is older than the response
 * @param reportedPosition the log position in the load report, about as old as the report
 * @param reportedLoad the requests that the node reported to hold or queue; below 0 where it reported none
 */
public record AttemptResult(
        AttemptOutcome outcome,
        double elapsedSeconds,
        Role role,
        double appliedPosition,
        Role reportedRole,
        double reportedPosition,
        double reportedLoad) {

    /** Returns a result of which the node told nothing, or nothing that can be trusted. */
    public static AttemptResult withoutReport(AttemptOutcome outcome, double elapsedSeconds) {
        return new AttemptResult(outcome, elapsedSeconds, Role.UNKNOWN, 0, Role.UNKNOWN, 0, -1);
    }
}
