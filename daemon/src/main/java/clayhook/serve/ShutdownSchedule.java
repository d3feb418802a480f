package clayhook.serve;

/**
 * The steps of a planned end, in seconds after the request to end. Each leaves time before the platform's kill, however
 * short the client timeouts are.
 *
 * @param takesUntil sessions take no more commands from then on
 * @param givesUpAt whatever is in hand, or still comes, gets its final answer at once
 * @param leavesAt the process ends, whoever still stays
 */
record ShutdownSchedule(double acceptUntil, double failPendingAt, double exitAt) {
    /** New connections keep coming for up to 0.4 s. */
    static final double MIN_ACCEPT_SECONDS = 0.5;
    /**
     * The platform kills no sooner than this after the longest client timeout, or after three seconds if that is less.
     */
    private static final double KILL_MARGIN_SECONDS = 0.7;

    private static final double MAX_COUNTED_TIMEOUT_SECONDS = 3;
    /** The rest is for clients to come to another router, which may be the next to end, and for what they sent last. */
    private static final double ACCEPT_SHARE = 0.75;
    /** To write the last answers and end; half of what is left once no more is taken, where that is less. */
    private static final double FINAL_ANSWER_SECONDS = 0.4;

    /** {@code longest}: the longest client timeout. */
    static ShutdownSchedule of(double longest) {
        double killedAt = killDeadline(longest);
        double takesUntil = Math.max(MIN_ACCEPT_SECONDS, (killedAt - FINAL_ANSWER_SECONDS) * ACCEPT_SHARE);
        double givesUpAt = Math.max(killedAt - FINAL_ANSWER_SECONDS, (takesUntil + killedAt) / 2);
        return new ShutdownSchedule(takesUntil, givesUpAt, (givesUpAt + killedAt) / 2);
    }

    static double killDeadline(double longest) {
        return Math.min(longest, MAX_COUNTED_TIMEOUT_SECONDS) + KILL_MARGIN_SECONDS;
    }
}
