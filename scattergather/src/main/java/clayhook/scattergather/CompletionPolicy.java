package clayhook.scattergather;

/** Which parts an answer needs. */
public sealed interface CompletionPolicy {
    /** Every part. */
    record All() implements CompletionPolicy {}

    /**
     * That many whole and fresh parts, whichever they are; the others are recalled then. Made for parts that hold the
     * same. Rows begin to go out when so many parts are whole, or have more than is held of one: of the latter one may
     * still fail.
     */
    record Quorum(int parts) implements CompletionPolicy {}

    /** Whatever is there by the deadline. */
    record Best() implements CompletionPolicy {}
}
