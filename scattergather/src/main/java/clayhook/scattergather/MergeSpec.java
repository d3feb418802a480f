package clayhook.scattergather;

import java.util.List;

/**
 * What becomes of the rows of the parts.
 *
 * @param order of the answer; of groups it names columns of the groups. Empty: by part, and in it as they came
 * @param sorted whether parts send their rows in that order (of one that does not, the fault is told). Else all rows
 *     are held
 * @param duplicates null where each row counts
 * @param groups null where rows stay rows; else formed of what is left after duplicates
 */
public record MergeSpec(List<SortKey> order, boolean sorted, Duplicates duplicates, Grouping groups, Limit limit) {
    public MergeSpec {
        order = List.copyOf(order);
    }

    /** Parts that are sorted by these. */
    public static MergeSpec by(SortKey... keys) {
        return new MergeSpec(List.of(keys), true, null, null, Limit.NONE);
    }

    /** Parts come in any order. */
    public MergeSpec unsorted() {
        return new MergeSpec(order, false, duplicates, groups, limit);
    }

    public MergeSpec without(Duplicates copies) {
        return new MergeSpec(order, sorted, copies, groups, limit);
    }

    public MergeSpec grouped(Grouping grouping) {
        return new MergeSpec(order, sorted, duplicates, grouping, limit);
    }

    public MergeSpec limit(Limit at) {
        return new MergeSpec(order, sorted, duplicates, groups, at);
    }

    /** Whether rows go through as they come. Else all of them are held to the end. */
    boolean isStreaming() {
        return groups == null && (sorted || order.isEmpty()) && (duplicates == null || duplicatesAreAdjacent());
    }

    /**
     * Copies stand side by side in the order when their key is what the order begins with, and can be judged at once.
     */
    private boolean duplicatesAreAdjacent() {
        int size = duplicates.key().size();
        return sorted
                && size <= order.size()
                && duplicates.rules().stream().noneMatch(Duplicates.Rule.Position.class::isInstance)
                && order.subList(0, size).stream().map(SortKey::column).toList().containsAll(duplicates.key());
    }
}
