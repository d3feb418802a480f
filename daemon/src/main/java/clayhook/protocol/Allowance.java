package clayhook.protocol;

/** The memory that long messages of all connections of a kind together may take. */
public final class Allowance {
    /** What a message takes while it is read, held and passed on, for each byte of it. */
    private static final int COPIES = 4;

    private long left;

    public Allowance(long bytes) {
        left = bytes;
    }

    public boolean take(int length) {
        boolean enough = left >= (long) length * COPIES;
        left -= enough ? (long) length * COPIES : 0;
        return enough;
    }

    public void give(int length) {
        left += (long) length * COPIES;
    }
}
