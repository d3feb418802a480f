package clayhook.scattergather;

import java.util.List;
import java.util.Set;

/**
 * Removes duplicates: which copy of a row is kept if several rows have the same key. Nulls are equal to each other, as
 * for DISTINCT.
 *
 * @param key columns whose equal values make rows duplicates
 * @param rules the first rule that distinguishes two copies decides; if none does, the lower part number, then the
 *     lower row number
 * @param fillNulls whether columns without a value are filled from the best copy that has one
 */
public record Duplicates(List<String> key, List<Rule> rules, boolean fillNulls) {
    /** A criterion that prefers one of two copies. */
    public sealed interface Rule {
        /** Prefers the larger value in the column; null is the smallest. */
        record Newest(String column) implements Rule {}

        /**
         * Prefers the part that was read at the newer applied position. The position is only known at the end of a
         * part, so all rows are buffered until then.
         */
        record Position() implements Rule {}

        /** Prefers the part that is listed first; unlisted parts come last. */
        record Source(List<String> parts) implements Rule {}

        /**
         * Prefers definite values of a column over uncertain ones.
         *
         * @param levels texts by level, best level first; any other text, or null, comes last
         * @param conflict text shown in the column if copies at the best level present differ; null leaves the decision
         *     to the other rules
         */
        record Ranking(String column, List<Set<String>> levels, String conflict) implements Rule {
            public Ranking {
                levels = levels.stream().map(Set::copyOf).toList();
            }
        }
    }

    public Duplicates {
        key = List.copyOf(key);
        rules = List.copyOf(rules);
        for (int i = 1; i < rules.size(); i++) {
            if (rules.get(i) instanceof Rule.Ranking ranking && ranking.conflict() != null) {
                throw new IllegalArgumentException("a ranking that shows conflicts must be the first rule");
            }
        }
    }

    /** Compares by key only and keeps the copy of the part with the lowest number. */
    public static Duplicates of(String... key) {
        return new Duplicates(List.of(key), List.of(), false);
    }
}
