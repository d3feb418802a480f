package clayhook.fleet.state;

/**
 * How copies are kept alike. Times in seconds, sizes in bytes.
 *
 * @param round time between two rounds of news while there is any
 * @param fanout members told in a round
 * @param newsParts parts that each of them is told in a round at most
 * @param newsBytes of news sent a second at most; what finds no room is left to the digests
 * @param newsFor time after which what was changed is news no more, told or not
 * @param mostNews changed entries waiting to be told at most; beyond that the oldest are left to the digests
 * @param digestEvery usual time between two comparisons with some member
 * @param digestBytes that comparisons take a second on the whole; a costly one is followed by a longer rest
 * @param answerWait time after which a question is asked again; doubled for each further time
 * @param silence time after which a member that answers nothing is given up for another
 * @param window questions under way to one member at most
 * @param catchUpBytes of entries a second that are asked for, and that are handed to others
 * @param pushBytes of entries that one comparison sends the other way; one that lacks more asks by itself
 * @param pairsEvery time between two pieces of what is known of each member's numbers
 * @param clockBound by which the clock of a member that is heard may be off
 * @param margin before its end from which an entry is left out of digests, so that two clocks do not fight over it
 * @param aloneAfter time after the start at which a router that found no one knowing more holds its copy for whole
 * @param stood time without a turn after which this router compares at once
 * @param sweep entries dropped or left out of the digests in one turn at most
 */
public record StateSettings(
        double broadcastInterval,
        int fanout,
        int maxMessagesPerRound,
        double broadcastBytesPerSecond,
        double deltaLifetime,
        int maxPendingDeltas,
        double antiEntropyInterval,
        double antiEntropyBytesPerSecond,
        double retryTimeout,
        double peerTimeout,
        int maxOutstandingRequests,
        double catchUpBytesPerSecond,
        double maxPushBytes,
        double versionGossipInterval,
        double maxClockSkew,
        double digestExclusionMargin,
        double bootstrapTimeout,
        double stallThreshold,
        int maxSweptEntries) {
    /** For up to a thousand routers in one network. */
    public static final StateSettings DEFAULT = new StateSettings(
            0.05, 3, 8, 512 << 10, 2, 8_192, // five or six rounds reach a hundred routers
            1, 16 << 10, // a root is some 30 bytes a kind
            0.2, 1, 64, 4 << 20, 64 << 10, // 100,000 marks of 50 bytes in a second and a quarter
            0.125, // eight pieces of 1,150 bytes a second
            1, 4, // the margin holds the clock's bound, a step of the cut-off and a walk
            10, 1, 2_000);

    /** The same but for {@link #bootstrapTimeout}, for fleets that start all at once and need not wait for anyone. */
    public StateSettings withBootstrapTimeout(double seconds) {
        return new StateSettings(
                broadcastInterval,
                fanout,
                maxMessagesPerRound,
                broadcastBytesPerSecond,
                deltaLifetime,
                maxPendingDeltas,
                antiEntropyInterval,
                antiEntropyBytesPerSecond,
                retryTimeout,
                peerTimeout,
                maxOutstandingRequests,
                catchUpBytesPerSecond,
                maxPushBytes,
                versionGossipInterval,
                maxClockSkew,
                digestExclusionMargin,
                seconds,
                stallThreshold,
                maxSweptEntries);
    }
}
