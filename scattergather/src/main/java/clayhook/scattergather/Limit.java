package clayhook.scattergather;

/**
 * Where an answer is cut.
 *
 * @param rows of the answer
 * @param bytes of the answer's rows as messages; the first row that goes beyond them and all after it are left out
 * @param depth rows of each part: what its statement was limited to. A part that has as many may have more.
 */
public record Limit(long rows, long bytes, long depth) {
    public static final Limit NONE = new Limit(Long.MAX_VALUE, Long.MAX_VALUE, Long.MAX_VALUE);

    public static Limit rows(long rows) {
        return new Limit(rows, Long.MAX_VALUE, Long.MAX_VALUE);
    }

    /** Parts are asked for that many rows. */
    public Limit depth(long deep) {
        return new Limit(rows, bytes, deep);
    }
}
