package clayhook.scattergather;

/** Which parts are required for a complete answer. */
public sealed interface CompletionPolicy {
    /** Requires every part. */
    record All() implements CompletionPolicy {}

    /**
     * Requires that many whole and fresh parts, whichever they are; the others are recalled. Intended for parts that
     * hold the same data. Emission starts when the quorum consists of parts that are whole or whose read-ahead buffer
     * is full; a part with a full buffer can still fail afterwards.
     */
    record Quorum(int parts) implements CompletionPolicy {}

    /** Accepts whatever has been received by the deadline. */
    record Best() implements CompletionPolicy {}
}
