package clayhook.fleet.state;

import java.util.Arrays;

/**
 * How old each entry of a table is, and heaps with the oldest first; an entry is in one heap at most. 16 bytes an
 * entry.
 */
final class Ages {
    private double[] at = new double[0];
    /** Where in its heap each one stands. */
    private int[] place = new int[0];

    double at(int slot) {
        return at[slot];
    }

    void set(int slot, double time) {
        at[slot] = time;
    }

    void grow(int slots) {
        at = Arrays.copyOf(at, slots);
        place = Arrays.copyOf(place, slots);
    }

    /** Emptied by its table, which bounds it. */
    final class Heap {
        private int[] slots = new int[16];
        private int size;

        /** Negative for none. */
        int oldest() {
            return size == 0 ? -1 : slots[0];
        }

        void add(int slot) {
            slots = size == slots.length ? Arrays.copyOf(slots, 2 * size) : slots;
            rise(size++, slot);
        }

        void remove(int slot) {
            int hole = place[slot];
            int last = slots[--size];
            if (last != slot) {
                rise(hole, last);
                sink(place[last], last);
            }
        }

        private void rise(int from, int slot) {
            int i = from;
            for (int up = (i - 1) >> 1; i > 0 && at[slots[up]] > at[slot]; up = (i - 1) >> 1) {
                stand(i, slots[up]);
                i = up;
            }
            stand(i, slot);
        }

        private void sink(int from, int slot) {
            int i = from;
            for (int down = 2 * i + 1; down < size; down = 2 * i + 1) {
                if (down + 1 < size && at[slots[down + 1]] < at[slots[down]]) {
                    down++;
                }
                if (at[slots[down]] >= at[slot]) {
                    break;
                }
                stand(i, slots[down]);
                i = down;
            }
            stand(i, slot);
        }

        private void stand(int i, int slot) {
            slots[i] = slot;
            place[slot] = i;
        }
    }
}
