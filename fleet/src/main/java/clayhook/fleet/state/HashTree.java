package clayhook.fleet.state;

/**
 * Sums of the marks of entries by the front bits of their keys' hashes: a root, 16, 256 and 4,096 ranges. A sum knows
 * no order, so that equal sets have equal sums whatever way they came about. 52 KB.
 */
final class HashTree {
    /** Ranges that each is made of. */
    static final int FANOUT = 16;
    /** The level of the smallest ranges. */
    static final int LEAF_LEVEL = 3;
    /** Where each level begins. */
    private static final int[] LEVEL_OFFSETS = {0, 1, 17, 273};

    private static final int BITS_PER_LEVEL = 4;

    private final long[] hashSums = new long[4369];
    private final int[] entryCounts = new int[hashSums.length];

    void add(long hash, long mark) {
        update(hash, mark, 1);
    }

    void remove(long hash, long mark) {
        update(hash, -mark, -1);
    }

    private void update(long hash, long mark, int count) {
        for (int level = 0; level <= LEAF_LEVEL; level++) {
            int i = LEVEL_OFFSETS[level] + (level == 0 ? 0 : (int) (hash >>> prefixShift(level)));
            hashSums[i] += mark;
            entryCounts[i] += count;
        }
    }

    private static int prefixShift(int level) {
        return Long.SIZE - BITS_PER_LEVEL * level;
    }

    /** First hash of a range. */
    static long firstHash(int level, int index) {
        return level == 0 ? 0 : (long) index << prefixShift(level);
    }

    /** Last hash of a range. */
    static long lastHash(int level, int index) {
        return level == 0 ? -1 : firstHash(level, index) + (1L << prefixShift(level)) - 1;
    }

    static int nodeCount(int level) {
        return 1 << BITS_PER_LEVEL * level;
    }

    long hashSum(int level, int index) {
        return hashSums[LEVEL_OFFSETS[level] + index];
    }

    int entryCount(int level, int index) {
        return entryCounts[LEVEL_OFFSETS[level] + index];
    }
}
