package clayhook.serve;

/**
 * The times of the steps of a graceful shutdown, in seconds after the shutdown request. Each step leaves time for the
 * next one before the platform kills the process, even with very short client timeouts.
 *
 * @param acceptUntil the time at which sessions stop admitting requests
 * @param failPendingAt the time from which pending and newly received requests are rejected or failed
 * @param exitAt the time at which the process exits even if clients are still connected
 */
record ShutdownSchedule(double acceptUntil, double failPendingAt, double exitAt) {
    /** The minimum of {@link #acceptUntil}: the platform may send new connections for 0.4 s after its signal. */
    static final double MIN_ACCEPT_SECONDS = 0.5;
    /**
     * The time between the longest client timeout, limited to {@link #MAX_COUNTED_TIMEOUT_SECONDS}, and the time at
     * which the platform kills the process.
     */
    private static final double KILL_MARGIN_SECONDS = 0.7;

    private static final double MAX_COUNTED_TIMEOUT_SECONDS = 3;
    /**
     * The share of the time before the final answers during which requests are admitted. In the rest, open requests are
     * answered and clients move to another router, which may be the next to shut down.
     */
    private static final double ACCEPT_SHARE = 0.75;
    /** The time for writing the final answers and exiting; at most half of the time left after {@code acceptUntil}. */
    private static final double FINAL_ANSWER_SECONDS = 0.4;

    /**
     * Creates the schedule of a shutdown.
     *
     * @param longestClientTimeout the longest client timeout of all request classes, in seconds
     */
    static ShutdownSchedule of(double longestClientTimeout) {
        double killedAt = killDeadline(longestClientTimeout);
        double acceptUntil = Math.max(MIN_ACCEPT_SECONDS, (killedAt - FINAL_ANSWER_SECONDS) * ACCEPT_SHARE);
        double failPendingAt = Math.max(killedAt - FINAL_ANSWER_SECONDS, (acceptUntil + killedAt) / 2);
        return new ShutdownSchedule(acceptUntil, failPendingAt, (failPendingAt + killedAt) / 2);
    }

    /** The time at which the platform kills the process, in seconds after the shutdown request. */
    static double killDeadline(double longestClientTimeout) {
        return Math.min(longestClientTimeout, MAX_COUNTED_TIMEOUT_SECONDS) + KILL_MARGIN_SECONDS;
    }
}
