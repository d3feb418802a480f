package clayhook.lab.sharing;

import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

/**
 * What goes wrong among routers.
 *
 * @param at seconds from the start
 * @param whom routers by number, from 0 on; none stands for all of them
 * @param lasts seconds until it is over
 * @param amount as the kind says; 0 where it says nothing
 */
public record SharingFault(double at, Kind kind, List<Integer> whom, double lasts, double amount) {
    /** What befalls them. */
    public enum Kind {
        /** Of the packets that they send, that part is lost. */
        LOSS,
        /** What they send takes longer, by so many seconds on average. */
        DELAY,
        /** That part of what they send arrives twice. */
        DOUBLE,
        /** That part of what they send is held back, so that later packets overtake it. */
        REORDER,
        /** Nothing comes from the first of them to the second; the way back stands. */
        CUT,
        /** They hear one another, and so do the others; nothing comes from one side to the other. */
        SPLIT,
        /** What they send passes at so many bytes a second, each. */
        SLOW,
        /** That part of what they send has a byte spoilt. */
        GARBLE,
        /** They stand still, then go on as if nothing had been. */
        FREEZE,
        /** They are killed, and come back in a new life that knows nothing. */
        KILL,
        /**
         * As if killed and back at once, with the clock ahead by so many seconds; at the end the same again with it
         * right.
         */
        CLOCK_OFF,
        /** The clock gains so many seconds a second. */
        CLOCK_DRIFT;

        String word() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    public SharingFault {
        whom = List.copyOf(whom);
    }

    /** Seconds from the start. */
    public double end() {
        return at + lasts;
    }

    boolean strikes(int router) {
        return whom.isEmpty() || whom.contains(router);
    }

    /** Whether nothing comes from the one to the other. */
    boolean parts(int from, int to) {
        return switch (kind) {
            case CUT -> from == whom.get(0) && to == whom.get(1);
            case SPLIT -> whom.contains(from) != whom.contains(to);
            default -> false;
        };
    }

    SharingFault shorter(double seconds) {
        return new SharingFault(at, kind, whom, seconds, amount);
    }

    /** As an experiment's file has it. */
    @Override
    public String toString() {
        return String.format(
                Locale.ROOT,
                "{ at = %.3f, kind = \"%s\", whom = [%s], lasts = %.3f, amount = %s }",
                at,
                kind.word(),
                whom.stream().map(String::valueOf).collect(Collectors.joining(", ")),
                lasts,
                amount);
    }
}
