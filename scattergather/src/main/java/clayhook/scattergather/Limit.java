package clayhook.scattergather;

/**
 * Limits of an answer.
 *
 * @param rows maximum number of rows of the answer
 * @param bytes maximum bytes of the row messages of the answer; the first row that exceeds it and all later rows are
 *     left out
 * @param depth maximum number of rows of each part, the limit in its statement. A part that sends as many may have
 *     more.
 */
public record Limit(long rows, long bytes, long depth) {
    public static final Limit NONE = new Limit(Long.MAX_VALUE, Long.MAX_VALUE, Long.MAX_VALUE);

    public static Limit rows(long rows) {
        return new Limit(rows, Long.MAX_VALUE, Long.MAX_VALUE);
    }

    /** Sets the maximum number of rows requested from each part. */
    public Limit depth(long deep) {
        return new Limit(rows, bytes, deep);
    }
}
