package clayhook.scattergather;

import java.util.List;

/**
 * Rows become groups of equal columns, each with its figures. The answer has the columns {@code by}, then the measures.
 *
 * @param by empty for one group of all rows, which is there without any row too, as in PostgreSQL
 */
public record Grouping(List<String> by, List<Aggregate> aggregates) {
    public Grouping {
        by = List.copyOf(by);
        aggregates = List.copyOf(aggregates);
    }
}
