package clayhook.discovery;

/** What the watch on the endpoint list shows of the age of the list, apart from what it reports. */
public sealed interface WatchEvent {
    /** All changes that the service had before so many seconds ago have been reported. */
    record Confirmed(double secondsAgo) implements WatchEvent {}

    /** The service has accepted a watch, which waits for changes for so many seconds from now. */
    record Accepted(double remainingSeconds) implements WatchEvent {}

    /** The watch has ended; {@code wasAlive}: until then it would have reported changes. */
    record Ended(boolean wasAlive) implements WatchEvent {}

    /** The service refuses connections. */
    record Unreachable() implements WatchEvent {}
}
