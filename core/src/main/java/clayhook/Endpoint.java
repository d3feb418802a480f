package clayhook;

/**
 * The endpoint list's entry for one node.
 *
 * @param primary whether the list calls the node the primary of its replica set; the list is late
 * @param startedAt when the node's process last started, in seconds since 1970; 0 for long ago
 */
public record Endpoint(Node node, State state, boolean primary, double startedAt) {

    /** The state of an endpoint; the order of the constants is that of the simulator's wire. */
    public enum State {
        /** It takes requests. */
        READY,
        /** It is shutting down gracefully: it finishes what it has and gets nothing new. */
        DRAINING,
        /** It was removed from the list. */
        GONE
    }
}
