package clayhook.serve;

/**
 * The steps of a graceful shutdown, in seconds after it was requested. Each step leaves time for the next before the
 * platform kills the process, however short the client timeouts are.
 *
 * @param acceptUntil when sessions stop admitting requests
 * @param failPendingAt when all requests that are pending, or still arrive, get their final answer
 * @param exitAt when the process ends, whoever is still connected
 */
record ShutdownSchedule(double acceptUntil, double failPendingAt, double exitAt) {
    /** The platform may send new connections for 0.4 s after its signal. */
    static final double MIN_ACCEPT_SECONDS = 0.5;
    /** The platform kills this long after the longest client timeout, or after three seconds where that is less. */
    private static final double KILL_MARGIN_SECONDS = 0.7;

    private static final double MAX_COUNTED_TIMEOUT_SECONDS = 3;
    /** The rest lets clients move to another router, which may be the next to shut down, and answers what they sent. */
    private static final double ACCEPT_SHARE = 0.75;
    /** To write the final answers and exit; half of what is left after {@code acceptUntil} where that is less. */
    private static final double FINAL_ANSWER_SECONDS = 0.4;

    /** {@code longestClientTimeout}: in seconds, of all request classes. */
    static ShutdownSchedule of(double longestClientTimeout) {
        double killedAt = killDeadline(longestClientTimeout);
        double acceptUntil = Math.max(MIN_ACCEPT_SECONDS, (killedAt - FINAL_ANSWER_SECONDS) * ACCEPT_SHARE);
        double failPendingAt = Math.max(killedAt - FINAL_ANSWER_SECONDS, (acceptUntil + killedAt) / 2);
        return new ShutdownSchedule(acceptUntil, failPendingAt, (failPendingAt + killedAt) / 2);
    }

    /** When the platform kills the process, in seconds after its request to end. */
    static double killDeadline(double longestClientTimeout) {
        return Math.min(longestClientTimeout, MAX_COUNTED_TIMEOUT_SECONDS) + KILL_MARGIN_SECONDS;
    }
}
