package clayhook.fleet;

import java.util.Comparator;

/**
 * One life of one router.
 *
 * @param name of the router, the same after a restart
 * @param boot when this life began, in milliseconds since 1970; of two lives of one name the later one counts
 */
public record Member(String name, long boot) implements Comparable<Member> {
    private static final Comparator<Member> ORDER =
            Comparator.comparing(Member::name).thenComparingLong(Member::boot);

    @Override
    public int compareTo(Member other) {
        return ORDER.compare(this, other);
    }
}
