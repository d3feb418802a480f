package clayhook.fleet.state;

import java.util.Arrays;

/**
 * How old each entry of a table is, and heaps with the oldest first; an entry is in one heap at most. 16 bytes an
 * entry.
 */
final class EntryTimestamps {
    private double[] timestamps = new double[0];
    /** Where in its heap each one stands. */
    private int[] heapPositions = new int[0];

    double timestamp(int slot) {
        return timestamps[slot];
    }

    void setTimestamp(int slot, double time) {
        timestamps[slot] = time;
    }

    void grow(int slots) {
        timestamps = Arrays.copyOf(timestamps, slots);
        heapPositions = Arrays.copyOf(heapPositions, slots);
    }

    /** Emptied by its table, which bounds it. */
    final class AgeHeap {
        private int[] slots = new int[16];
        private int size;

        /** Negative for none. */
        int oldest() {
            return size == 0 ? -1 : slots[0];
        }

        void add(int slot) {
            slots = size == slots.length ? Arrays.copyOf(slots, 2 * size) : slots;
            siftUp(size++, slot);
        }

        void remove(int slot) {
            int hole = heapPositions[slot];
            int last = slots[--size];
            if (last != slot) {
                siftUp(hole, last);
                siftDown(heapPositions[last], last);
            }
        }

        private void siftUp(int from, int slot) {
            int i = from;
            for (int up = (i - 1) >> 1; i > 0 && timestamps[slots[up]] > timestamps[slot]; up = (i - 1) >> 1) {
                placeAt(i, slots[up]);
                i = up;
            }
            placeAt(i, slot);
        }

        private void siftDown(int from, int slot) {
            int i = from;
            for (int down = 2 * i + 1; down < size; down = 2 * i + 1) {
                if (down + 1 < size && timestamps[slots[down + 1]] < timestamps[slots[down]]) {
                    down++;
                }
                if (timestamps[slots[down]] >= timestamps[slot]) {
                    break;
                }
                placeAt(i, slots[down]);
                i = down;
            }
            placeAt(i, slot);
        }

        private void placeAt(int i, int slot) {
            slots[i] = slot;
            heapPositions[slot] = i;
        }
    }
}
