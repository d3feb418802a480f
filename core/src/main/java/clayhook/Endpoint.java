package clayhook;

/**
 * The entry of one node in the endpoint list.
 *
 * @param primary whether the node is the primary of its replica set according to the list, which may be out of date
 * @param startedAt when the node's process last started, in seconds since 1970; 0 for long ago
 */
public record Endpoint(Node node, State state, boolean primary, double startedAt) {

    /** The state of an endpoint; the ordinals of the constants are wire values of the simulator. */
    public enum State {
        /** The node accepts requests. */
        READY,
        /** The node is shutting down gracefully: it finishes its requests and must get no new ones. */
        DRAINING,
        /** The node was removed from the list. */
        GONE
    }
}
