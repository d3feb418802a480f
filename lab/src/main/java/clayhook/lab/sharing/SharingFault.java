package clayhook.lab.sharing;

import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

/**
 * A fault among routers.
 *
 * @param at start in seconds from the start of the run
 * @param routers numbers of the affected routers, from 0; empty for all routers
 * @param lasts duration in seconds
 * @param amount meaning depends on the kind; 0 if the kind uses none
 */
public record SharingFault(double at, Kind kind, List<Integer> routers, double lasts, double amount) {
    /** Kinds of faults. */
    public enum Kind {
        /** Packets sent by the routers are lost with probability {@code amount}. */
        LOSS,
        /** Packets sent by the routers are delayed by {@code amount} seconds on average. */
        DELAY,
        /** Packets sent by the routers are delivered twice with probability {@code amount}. */
        DOUBLE,
        /**
         * Packets sent by the routers are held back with probability {@code amount}, so that later packets overtake
         * them.
         */
        REORDER,
        /** No packet arrives from the first router at the second; the opposite direction works. */
        CUT,
        /** The listed routers can reach each other, and so can the others; no packet passes between the two sides. */
        SPLIT,
        /** Each router sends at most {@code amount} bytes per second. */
        SLOW,
        /** Packets sent by the routers have one corrupted byte with probability {@code amount}. */
        GARBLE,
        /** The routers freeze, then continue from the same state. */
        FREEZE,
        /** The routers are killed, and restart in a new incarnation without state. */
        KILL,
        /**
         * The routers restart at once with the clock ahead by {@code amount} seconds; at the end of the fault they
         * restart again with the clock corrected.
         */
        CLOCK_OFF,
        /** The clock gains {@code amount} seconds per second. */
        CLOCK_DRIFT;

        String keyword() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    public SharingFault {
        routers = List.copyOf(routers);
    }

    /** End of the fault in seconds from the start of the run. */
    public double end() {
        return at + lasts;
    }

    boolean affects(int router) {
        return routers.isEmpty() || routers.contains(router);
    }

    /** Returns whether this fault drops all packets from one router to the other. */
    boolean separates(int from, int to) {
        return switch (kind) {
            case CUT -> from == routers.get(0) && to == routers.get(1);
            case SPLIT -> routers.contains(from) != routers.contains(to);
            default -> false;
        };
    }

    SharingFault withDuration(double seconds) {
        return new SharingFault(at, kind, routers, seconds, amount);
    }

    /** Returns the fault in the form of an experiment file. */
    @Override
    public String toString() {
        return String.format(
                Locale.ROOT,
                "{ at = %.3f, kind = \"%s\", whom = [%s], lasts = %.3f, amount = %s }",
                at,
                kind.keyword(),
                routers.stream().map(String::valueOf).collect(Collectors.joining(", ")),
                lasts,
                amount);
    }
}
