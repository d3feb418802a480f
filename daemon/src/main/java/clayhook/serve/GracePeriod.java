package clayhook.serve;

/**
 * The steps of a planned end, in seconds after the request to end. Each leaves time before the platform's kill, however
 * short the client timeouts are.
 *
 * @param takesUntil sessions take no more commands from then on
 * @param givesUpAt whatever is in hand, or still comes, gets its final answer at once
 * @param leavesAt the process ends, whoever still stays
 */
record GracePeriod(double takesUntil, double givesUpAt, double leavesAt) {
    /** New connections keep coming for up to 0.4 s. */
    static final double STILL_OPEN = 0.5;
    /**
     * The platform kills no sooner than this after the longest client timeout, or after three seconds if that is less.
     */
    private static final double KILLED_AFTER = 0.7;

    private static final double LONGEST_COUNTED = 3;
    /** The rest is for clients to come to another router, which may be the next to end, and for what they sent last. */
    private static final double TAKING = 0.75;
    /** To write the last answers and end; half of what is left once no more is taken, where that is less. */
    private static final double AT_LAST = 0.4;

    /** {@code longest}: the longest client timeout. */
    static GracePeriod of(double longest) {
        double killedAt = killedAt(longest);
        double takesUntil = Math.max(STILL_OPEN, (killedAt - AT_LAST) * TAKING);
        double givesUpAt = Math.max(killedAt - AT_LAST, (takesUntil + killedAt) / 2);
        return new GracePeriod(takesUntil, givesUpAt, (givesUpAt + killedAt) / 2);
    }

    static double killedAt(double longest) {
        return Math.min(longest, LONGEST_COUNTED) + KILLED_AFTER;
    }
}
