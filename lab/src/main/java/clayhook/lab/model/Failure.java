package clayhook.lab.model;

/**
 * What goes wrong, when and for how long, in seconds from the start.
 *
 * @param target a node ({@code 1p} is the primary of group 1 as it is then, {@code 1r2} its second replica) or a zone
 * @param amount the part of the machine that a neighbour takes, or how many times longer applying takes
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
