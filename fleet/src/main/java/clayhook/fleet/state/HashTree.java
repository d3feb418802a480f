package clayhook.fleet.state;

/**
 * A tree over the key hashes of a table. Each node stores the number of entries and the sum of the entry hashes in a
 * range of key hashes that share their leading bits. The tree has a root and levels of 16, 256 and 4,096 nodes. The
 * sums are independent of the order of additions, so equal sets of entries have equal trees. Takes 52 KB. Not
 * thread-safe.
 */
final class HashTree {
    static final int ROOT_LEVEL = 0;
    /** The level of the nodes that have no children. */
    static final int LEAF_LEVEL = 3;
    /** The number of children of a node. */
    static final int FANOUT = 16;

    private static final int BITS_PER_LEVEL = 4;
    /** The index of the first node of each level in the arrays, followed by the total number of nodes. */
    private static final int[] LEVEL_OFFSETS = {0, 1, 17, 273, 4369};

    private final long[] hashSums = new long[LEVEL_OFFSETS[LEAF_LEVEL + 1]];
    private final int[] entryCounts = new int[hashSums.length];

    void add(long keyHash, long entryHash) {
        update(keyHash, entryHash, 1);
    }

    void remove(long keyHash, long entryHash) {
        update(keyHash, -entryHash, -1);
    }

    private void update(long keyHash, long hashChange, int countChange) {
        for (int level = ROOT_LEVEL; level <= LEAF_LEVEL; level++) {
            int index = level == ROOT_LEVEL ? 0 : (int) (keyHash >>> prefixShift(level));
            hashSums[LEVEL_OFFSETS[level] + index] += hashChange;
            entryCounts[LEVEL_OFFSETS[level] + index] += countChange;
        }
    }

    private static int prefixShift(int level) {
        return Long.SIZE - BITS_PER_LEVEL * level;
    }

    /** Returns the lowest key hash of a node's range, as an unsigned number. */
    static long firstHash(int level, int index) {
        return level == ROOT_LEVEL ? 0 : (long) index << prefixShift(level);
    }

    /** Returns the highest key hash of a node's range, as an unsigned number. */
    static long lastHash(int level, int index) {
        return level == ROOT_LEVEL ? -1 : firstHash(level, index) + (1L << prefixShift(level)) - 1;
    }

    /** Returns the number of nodes of a level. */
    static int nodeCount(int level) {
        return 1 << (BITS_PER_LEVEL * level);
    }

    /** Returns the sum of the hashes of all entries. */
    long rootSum() {
        return hashSum(ROOT_LEVEL, 0);
    }

    /** Returns the sum of the hashes of the entries in a node's range. */
    long hashSum(int level, int index) {
        return hashSums[LEVEL_OFFSETS[level] + index];
    }

    /** Returns the number of entries in a node's range. */
    int entryCount(int level, int index) {
        return entryCounts[LEVEL_OFFSETS[level] + index];
    }
}
