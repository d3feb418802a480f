package clayhook.fleet;

import java.util.Comparator;

/**
 * One incarnation of a router, which is one run of its process.
 *
 * @param name the name of the router, which stays the same after a restart
 * @param incarnation the start time of the process in milliseconds since 1970; of two incarnations with the same name,
 *     the later one replaces the earlier one
 */
public record Member(String name, long incarnation) implements Comparable<Member> {
    private static final Comparator<Member> NAME_THEN_INCARNATION =
            Comparator.comparing(Member::name).thenComparingLong(Member::incarnation);

    /** Compares by name, then by incarnation. */
    @Override
    public int compareTo(Member other) {
        return NAME_THEN_INCARNATION.compare(this, other);
    }
}
