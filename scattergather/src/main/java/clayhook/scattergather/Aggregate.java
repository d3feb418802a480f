package clayhook.scattergather;

/**
 * A figure over the rows of a group. Nulls do not count, as in PostgreSQL; without values it is null, and a count 0.
 *
 * @param what the figure
 * @param column what it is over; null for a count of rows
 * @param by for a mean of sums the column of their counts; else null
 * @param share of a quantile, 0 to 1; else 0
 * @param name of its column in the answer
 */
public record Aggregate(What what, String column, String by, double share, String name) {
    /** Kinds of figures. */
    public enum What {
        /** Rows, or rows with a value. */
        COUNT,
        /** Sum of counts that parts made themselves. */
        COUNTED,
        /**
         * Exact; of int2 and int4 an int8, of int8 a numeric, as in PostgreSQL. Of doubles it is rounded once, at the
         * end.
         */
        SUM,
        LEAST,
        MOST,
        /** A numeric with the digits that PostgreSQL's avg has; of doubles a double. */
        MEAN,
        /** Mean from sums and counts that parts made themselves. */
        MEAN_OF_SUMS,
        /** How many unlike values: exact up to {@link DistinctAggregator#EXACT}, then a sketch. */
        DISTINCT,
        /**
         * The least value that has that share of values at or below it: exact up to {@link QuantileAggregator#EXACT},
         * then a sketch.
         */
        QUANTILE
    }

    public static Aggregate count(String name) {
        return new Aggregate(What.COUNT, null, null, 0, name);
    }

    public static Aggregate of(What what, String column, String name) {
        return new Aggregate(what, column, null, 0, name);
    }

    /** A mean of values of which parts tell the sum and the count. */
    public static Aggregate mean(String sum, String count, String name) {
        return new Aggregate(What.MEAN_OF_SUMS, sum, count, 0, name);
    }

    public static Aggregate quantile(String column, double share, String name) {
        return new Aggregate(What.QUANTILE, column, null, share, name);
    }

    public Aggregate {
        if (((column == null) != (what == What.COUNT) && what != What.COUNT)
                || (by == null) == (what == What.MEAN_OF_SUMS)
                || !(share >= 0 && share <= 1)) {
            throw new IllegalArgumentException(
                    "no measure: " + what + " of " + column + " by " + by + ", share " + share);
        }
    }
}
