package clayhook.discovery;

/** An event of the watch on the endpoint list that changes the known upper bound on the age of the list. */
public sealed interface WatchEvent {
    /** The kind of the poll that was answered. */
    enum PollKind {
        /** A liveness check, which does not wait for changes. */
        CHECK,
        /** A long poll of the watch, which waits for changes. */
        WATCH
    }

    /**
     * An answer confirmed the list: all changes that the service had up to a moment in the past have been reported.
     *
     * @param secondsAgo the age of that moment in seconds
     * @param kind the kind of the answered poll
     * @param polledSecondsAgo the time since the answered poll was sent, in seconds
     * @param version the list version of the answer
     */
    record Confirmed(double secondsAgo, PollKind kind, double polledSecondsAgo, long version) implements WatchEvent {}

    /**
     * The service rejected a poll of the watch. It may have had changes to report since that poll was sent, even if it
     * answered checks: while a watch is open, checks only repeat what the watch has reported.
     *
     * @param polledSecondsAgo the time since the rejected poll was sent, in seconds
     */
    record Rejected(double polledSecondsAgo) implements WatchEvent {}

    /**
     * The service refused a connection.
     *
     * @param begunSecondsAgo the time since the start of the connection attempt, in seconds
     */
    record Unreachable(double begunSecondsAgo) implements WatchEvent {}
}
