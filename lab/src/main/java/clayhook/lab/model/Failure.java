package clayhook.lab.model;

/**
 * An injected failure; times are in seconds from the start.
 *
 * @param target a node ({@code 1p} is the current primary of group 1, {@code 1r2} its second replica) or a zone
 * @param amount fraction of the machine that another program uses, or the factor by which applying takes longer
 */
public record Failure(Kind kind, String target, double at, double lasts, double amount) {
    public enum Kind {
        CRASH,
        HANG,
        PAUSE,
        NEIGHBOUR,
        SLOW_LOG,
        STALL_LOG,
        DRAIN,
        ZONE_LOSS
    }
}
