package clayhook.scattergather;

/**
 * An aggregate over the rows of a group. Nulls are ignored, as in PostgreSQL; without values the result is null, or 0
 * for a count.
 *
 * @param function the aggregate function
 * @param column column to aggregate; null to count rows
 * @param countColumn for a mean of sums, the column with their counts; otherwise null
 * @param share for a quantile, the fraction from 0 to 1; otherwise 0
 * @param name name of the result column in the answer
 */
public record Aggregate(Function function, String column, String countColumn, double share, String name) {
    /** Aggregate functions. */
    public enum Function {
        /** Number of rows, or of rows with a value in the column. */
        COUNT,
        /** Sum of counts that the parts have computed. */
        COUNTED,
        /**
         * Exact sum. As in PostgreSQL, the result of int2 and int4 is an int8, and that of int8 a numeric. The result
         * of doubles is rounded once, at the end.
         */
        SUM,
        LEAST,
        MOST,
        /** Mean. The result of doubles is a double, otherwise a numeric with as many digits as PostgreSQL's avg. */
        MEAN,
        /** Mean of sums and counts that the parts have computed. */
        MEAN_OF_SUMS,
        /**
         * Number of distinct values: exact up to {@link DistinctAggregator#EXACT} values, then estimated by a sketch.
         */
        DISTINCT,
        /**
         * Smallest value such that the given fraction of values is at or below it: exact up to
         * {@link QuantileAggregator#EXACT} values, then estimated by a sketch.
         */
        QUANTILE
    }

    public static Aggregate count(String name) {
        return new Aggregate(Function.COUNT, null, null, 0, name);
    }

    public static Aggregate of(Function function, String column, String name) {
        return new Aggregate(function, column, null, 0, name);
    }

    /** A mean of values whose sum and count the parts report. */
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
