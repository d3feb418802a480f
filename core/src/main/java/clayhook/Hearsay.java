package clayhook;

/**
 * What another router has seen of a node. Times are seconds since 1970, when it was so there; negative infinity for never.
 *
 * @param startedAt the node's start, as listed there; 0 for long ago
 * @param position the furthest log position that it told there
 * @param lag how far it was behind its primary when it last told that
 * @param toldAt when that was
 * @param heardAt when it last answered anything there
 * @param primaryAt the newest evidence that it is primary, and {@code replicaAt} that it is not
 * @param load the commands that it last reported to hold, and when; below 0 for none
 * @param failedAt when a dispatch or probe last failed there
 */
public record Hearsay(double startedAt, double position, double lag, double toldAt, double heardAt, double primaryAt,
        double replicaAt, double load, double failedAt) {
}
