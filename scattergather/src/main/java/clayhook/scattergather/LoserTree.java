package clayhook.scattergather;

import java.util.Arrays;

/**
 * A tree of losers over the first rows of many sorted parts: the least of all is at the top, and the next one is found
 * in one comparison a level (Knuth, The Art of Computer Programming 3, 5.4.1). A part without rows loses against all.
 */
final class LoserTree {
    private final RowComparator order;
    private final Row[] heads;
    /** Of each head: most comparisons look no further. */
    private final long[] sortPrefixes;
    /** By inner node, from 1: who lost there. At 0: who won all. */
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
        int keyed = order.compareKeys(heads[a], heads[b]);
        return keyed < 0 || (keyed == 0 && a < b);
    }

    /** All matches anew, from the leaves up. */
    private void rebuild() {
        int count = heads.length;
        int[] winners = new int[2 * count];
        Arrays.setAll(winners, node -> node - count); // the leaves; inner nodes are overwritten
        for (int node = count - 1; node >= 1; node--) {
            int left = winners[2 * node];
            int right = winners[2 * node + 1];
            boolean leftFirst = before(left, right);
            winners[node] = leftFirst ? left : right;
            losers[node] = leftFirst ? right : left;
        }
        losers[0] = winners[1];
    }

    /** The slot of the least row. */
    int winner() {
        return losers[0];
    }

    /** The least row; null when there are no more. */
    Row least() {
        return heads[losers[0]];
    }

    /** The first row of that slot is now this one; null for none. */
    void put(int slot, Row row) {
        heads[slot] = row;
        sortPrefixes[slot] = row == null ? Long.MAX_VALUE : row.sortPrefix;
        if (slot != losers[0]) { // its path was not the winner's: rare, when a part is dropped
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
