package clayhook.discovery;

/** What the watch on the endpoint list shows of the age of the list, apart from what it reports. */
public sealed interface WatchEvent {
    /** All changes that the service had before so many seconds ago have been reported. */
    record Confirmed(double secondsAgo) implements WatchEvent {}

    /**
     * The service has rejected the poll of the watch, which was sent so many seconds ago. It may have had changes to
     * report since then, however it answered checks: while a watch is open these only repeat what the watch reported.
     */
    record Rejected(double polledSecondsAgo) implements WatchEvent {}

    /** The service refuses connections. */
    record Unreachable() implements WatchEvent {}
}
