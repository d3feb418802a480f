package clayhook.scattergather;

import java.util.List;

/**
 * How the rows of the parts are merged.
 *
 * @param order sort order of the answer; with groups, its columns are those of the groups. If empty, rows are ordered
 *     by part and keep their order within it.
 * @param sorted whether parts send their rows in that order; a part that does not is reported as a fault. If false, all
 *     rows are buffered.
 * @param duplicates removal of duplicates; null to keep them
 * @param groups grouping of the rows that remain after the removal of duplicates; null for none
 */
public record MergeSpec(List<SortKey> order, boolean sorted, Duplicates duplicates, Grouping groups, Limit limit) {
    public MergeSpec {
        order = List.copyOf(order);
    }

    /** Merges parts that are sorted by the given keys. */
    public static MergeSpec by(SortKey... keys) {
        return new MergeSpec(List.of(keys), true, null, null, Limit.NONE);
    }

    /** Accepts parts whose rows are in any order. */
    public MergeSpec unsorted() {
        return new MergeSpec(order, false, duplicates, groups, limit);
    }

    public MergeSpec deduplicating(Duplicates copies) {
        return new MergeSpec(order, sorted, copies, groups, limit);
    }

    public MergeSpec grouped(Grouping grouping) {
        return new MergeSpec(order, sorted, duplicates, grouping, limit);
    }

    public MergeSpec limit(Limit at) {
        return new MergeSpec(order, sorted, duplicates, groups, at);
    }

    /** Whether rows can be emitted while parts are being read; otherwise all rows are buffered. */
    boolean isStreaming() {
        return groups == null && (sorted || order.isEmpty()) && (duplicates == null || duplicatesAreAdjacent());
    }

    /**
     * Whether duplicates are adjacent in the order, because the order begins with their key, and can be ranked
     * immediately.
     */
    private boolean duplicatesAreAdjacent() {
        int size = duplicates.key().size();
        return sorted
                && size <= order.size()
                && duplicates.rules().stream().noneMatch(Duplicates.Rule.Position.class::isInstance)
                && order.subList(0, size).stream().map(SortKey::column).toList().containsAll(duplicates.key());
    }
}
