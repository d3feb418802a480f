package clayhook.scattergather;

import java.util.List;

/**
 * Groups rows by equal columns and computes aggregates for each group. The answer has the columns {@code by}, followed
 * by the aggregates.
 *
 * @param by columns to group by; empty for a single group of all rows, which exists even without rows, as in PostgreSQL
 */
public record Grouping(List<String> by, List<Aggregate> aggregates) {
    public Grouping {
        by = List.copyOf(by);
        aggregates = List.copyOf(aggregates);
    }
}
