package clayhook.fleet.state;

/**
 * Sums of the marks of entries by the front bits of their keys' hashes: a root, 16, 256 and 4,096 ranges. A sum knows
 * no order, so that equal sets have equal sums whatever way they came about. 52 KB.
 */
final class Tree {
    /** Ranges that each is made of. */
    static final int FAN = 16;
    /** The level of the smallest ranges. */
    static final int LEAVES = 3;
    /** Where each level begins. */
    private static final int[] LEVEL = {0, 1, 17, 273};

    private static final int BITS = 4;

    private final long[] sums = new long[4369];
    private final int[] counts = new int[sums.length];

    void add(long hash, long mark) {
        change(hash, mark, 1);
    }

    void remove(long hash, long mark) {
        change(hash, -mark, -1);
    }

    private void change(long hash, long mark, int count) {
        for (int level = 0; level <= LEAVES; level++) {
            int i = LEVEL[level] + (level == 0 ? 0 : (int) (hash >>> shift(level)));
            sums[i] += mark;
            counts[i] += count;
        }
    }

    private static int shift(int level) {
        return Long.SIZE - BITS * level;
    }

    /** First hash of a range. */
    static long from(int level, int index) {
        return level == 0 ? 0 : (long) index << shift(level);
    }

    /** Last hash of a range. */
    static long to(int level, int index) {
        return level == 0 ? -1 : from(level, index) + (1L << shift(level)) - 1;
    }

    static int ranges(int level) {
        return 1 << BITS * level;
    }

    long sum(int level, int index) {
        return sums[LEVEL[level] + index];
    }

    int count(int level, int index) {
        return counts[LEVEL[level] + index];
    }
}
