package clayhook.scattergather;

/**
 * A figure over the rows of a group. Nulls do not count, as in PostgreSQL; without values it is null, and a count 0.
 *
 * @param function the figure
 * @param column what it is over; null for a count of rows
 * @param countColumn for a mean of sums the column of their counts; else null
 * @param share of a quantile, 0 to 1; else 0
 * @param name of its column in the answer
 */
public record Aggregate(Function function, String column, String countColumn, double share, String name) {
    /** Kinds of figures. */
    public enum Function {
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
        return new Aggregate(Function.COUNT, null, null, 0, name);
    }

    public static Aggregate of(Function function, String column, String name) {
        return new Aggregate(function, column, null, 0, name);
    }

    /** A mean of values of which parts tell the sum and the count. */
    public static Aggregate mean(String sum, String count, String name) {
        return new Aggregate(Function.MEAN_OF_SUMS, sum, count, 0, name);
    }

    public static Aggregate quantile(String column, double share, String name) {
        return new Aggregate(Function.QUANTILE, column, null, share, name);
    }

    public Aggregate {
        if (((column == null) != (function == Function.COUNT) && function != Function.COUNT)
                || (countColumn == null) == (function == Function.MEAN_OF_SUMS)
                || !(share >= 0 && share <= 1)) {
            throw new IllegalArgumentException(
                    "invalid aggregate: " + function + " of " + column + " by " + countColumn + ", share " + share);
        }
    }
}
