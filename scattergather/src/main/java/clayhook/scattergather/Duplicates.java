package clayhook.scattergather;

import java.util.List;
import java.util.Set;

/**
 * Which copy of a row stays where several have the same key; nulls are the same, as for DISTINCT.
 *
 * @param key columns that make rows copies of one another
 * @param rules the first that tells two copies apart decides; after all of them the part's number, then the place in
 *     the part
 * @param fillNulls whether columns without a value are filled from the best copy that has one
 */
public record Duplicates(List<String> key, List<Rule> rules, boolean fillNulls) {
    /** One way to tell which of two copies is better. */
    public sealed interface Rule {
        /** The larger value in that column; none is the least. */
        record Newest(String column) implements Rule {}

        /**
         * From the part that was read at the newer position. It is known at a part's end only, so all rows are held
         * until then.
         */
        record Position() implements Rule {}

        /** From the part that stands first here; parts that are not named come after. */
        record Source(List<String> parts) implements Rule {}

        /**
         * By what a column says: knowledge over doubt.
         *
         * @param levels texts, the best level first; any other text, or none, comes after
         * @param conflict what the column shows when copies at the best level there is differ; null to let the other
         *     rules decide
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

    /** By key alone: the copy of the part with the lowest number stays. */
    public static Duplicates of(String... key) {
        return new Duplicates(List.of(key), List.of(), false);
    }
}
