package clayhook;

/**
 * What came back from a node. Positions are clock times in seconds; 0 where none was told.
 *
 * @param took the time since the send
 * @param position the log position that the node told with this answer
 * @param reportedPosition the same from its load report, as old as that report
 * @param load the commands that the node reported to hold or to have waiting; below 0 where it told none
 */
public record AttemptResult(
        AttemptOutcome outcome,
        double elapsedSeconds,
        Role role,
        double appliedPosition,
        Role reportedRole,
        double reportedPosition,
        double reportedLoad) {

    /** Nothing was told, or nothing that can be believed. */
    public static AttemptResult withoutReport(AttemptOutcome outcome, double took) {
        return new AttemptResult(outcome, took, Role.UNKNOWN, 0, Role.UNKNOWN, 0, -1);
    }
}
