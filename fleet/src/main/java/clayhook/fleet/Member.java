package clayhook.fleet;

import java.util.Comparator;

/**
 * One life of one router.
 *
 * @param name of the router, the same after a restart
 * @param boot when this life began, in milliseconds since 1970; of two lives of one name the later one counts
 */
public record Member(String name, long incarnation) implements Comparable<Member> {
    private static final Comparator<Member> NAME_THEN_INCARNATION =
            Comparator.comparing(Member::name).thenComparingLong(Member::incarnation);

    @Override
    public int compareTo(Member other) {
        return NAME_THEN_INCARNATION.compare(this, other);
    }
}
