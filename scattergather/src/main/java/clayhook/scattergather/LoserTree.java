package clayhook.scattergather;

import java.util.Arrays;

/**
 * A loser tree over the first rows of several sorted parts. The smallest row is at the top, and the next one is found
 * with one comparison for each level (Knuth, The Art of Computer Programming 3, 5.4.1). A part without rows loses every
 * comparison.
 */
final class LoserTree {
    private final RowComparator order;
    private final Row[] heads;
    /** Sort prefix of each head, which decides most comparisons. */
    private final long[] sortPrefixes;
    /** Losing slot of each inner node, from index 1; index 0 holds the overall winner. */
    private final int[] losers;

    LoserTree(RowComparator order, Row[] heads) {
        this.order = order;
        this.heads = heads;
        sortPrefixes = new long[heads.length];
        for (int i = 0; i < heads.length; i++) {
            sortPrefixes[i] = heads[i] == null ? Long.MAX_VALUE : heads[i].sortPrefix;
        }
        losers = new int[heads.length];
        rebuild();
    }

    private boolean before(int a, int b) {
        if (sortPrefixes[a] != sortPrefixes[b]) {
            return sortPrefixes[a] < sortPrefixes[b];
        }
        if (heads[a] == null || heads[b] == null) {
            return heads[a] != null;
        }
        int comparison = order.compareKeys(heads[a], heads[b]);
        return comparison < 0 || (comparison == 0 && a < b);
    }

    /** Rebuilds the tree from the leaves up. */
    private void rebuild() {
        int count = heads.length;
        int[] winners = new int[2 * count];
        Arrays.setAll(winners, node -> node - count); // leaves; inner nodes are overwritten below
        for (int node = count - 1; node >= 1; node--) {
            int left = winners[2 * node];
            int right = winners[2 * node + 1];
            boolean leftFirst = before(left, right);
            winners[node] = leftFirst ? left : right;
            losers[node] = leftFirst ? right : left;
        }
        losers[0] = winners[1];
    }

    /** Slot of the smallest row. */
    int winner() {
        return losers[0];
    }

    /** The smallest row; null if there are no more rows. */
    Row least() {
        return heads[losers[0]];
    }

    /** Sets the first row of a slot; null if the slot has no more rows. */
    void put(int slot, Row row) {
        heads[slot] = row;
        sortPrefixes[slot] = row == null ? Long.MAX_VALUE : row.sortPrefix;
        if (slot != losers[0]) { // not the winner's path; rare, only when a part is dropped
            rebuild();
            return;
        }
        int winner = slot;
        for (int node = (slot + heads.length) / 2; node >= 1; node /= 2) {
            if (before(losers[node], winner)) {
                int loser = winner;
                winner = losers[node];
                losers[node] = loser;
            }
        }
        losers[0] = winner;
    }
}
