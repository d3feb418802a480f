package clayhook.fleet;

import java.util.Comparator;

/**
 * One incarnation of a router: its process from a start to its end.
 *
 * @param name of the router, the same after a restart
 * @param incarnation when the process started, in milliseconds since 1970; of two incarnations of one name the later
 *     counts
 */
public record Member(String name, long incarnation) implements Comparable<Member> {
    private static final Comparator<Member> NAME_THEN_INCARNATION =
            Comparator.comparing(Member::name).thenComparingLong(Member::incarnation);

    /** Orders by name, then by incarnation. */
    @Override
    public int compareTo(Member other) {
        return NAME_THEN_INCARNATION.compare(this, other);
    }
}
