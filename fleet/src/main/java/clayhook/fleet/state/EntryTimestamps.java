package clayhook.fleet.state;

import java.util.Arrays;

/**
 * The timestamp of each slot of a table, and heaps of slots with the oldest first. An entry is in one heap at most, so
 * the heaps share one array of positions. Takes 16 bytes an entry. Not thread-safe.
 */
final class EntryTimestamps {
    private double[] timestamps = new double[0];
    /** The index of each slot in its heap. */
    private int[] heapPositions = new int[0];

    /** Seconds since 1970. */
    double timestamp(int slot) {
        return timestamps[slot];
    }

    /** Sets the timestamp of a slot that is in no heap. */
    void setTimestamp(int slot, double timestamp) {
        timestamps[slot] = timestamp;
    }

    /** Makes room for all slots below {@code capacity}. */
    void ensureCapacity(int capacity) {
        if (timestamps.length < capacity) {
            timestamps = Arrays.copyOf(timestamps, capacity);
            heapPositions = Arrays.copyOf(heapPositions, capacity);
        }
    }

    /** A binary min-heap of slots by their timestamps. Bounded by its table, which removes entries from it. */
    final class AgeHeap {
        private static final int INITIAL_CAPACITY = 16;

        private int[] slots = new int[INITIAL_CAPACITY];
        private int size;

        /** The slot with the least timestamp; negative if the heap is empty. */
        int oldest() {
            return size == 0 ? EntrySlots.NO_SLOT : slots[0];
        }

        void add(int slot) {
            if (size == slots.length) {
                slots = Arrays.copyOf(slots, 2 * size);
            }
            size++;
            siftUp(size - 1, slot);
        }

        /** Removes a slot that is in this heap. */
        void remove(int slot) {
            int hole = heapPositions[slot];
            size--;
            int last = slots[size];
            if (last != slot) {
                siftUp(hole, last);
                siftDown(heapPositions[last], last);
            }
        }

        private void siftUp(int start, int slot) {
            int position = start;
            while (position > 0) {
                int parent = (position - 1) >> 1;
                if (timestamps[slots[parent]] <= timestamps[slot]) {
                    break;
                }
                placeAt(position, slots[parent]);
                position = parent;
            }
            placeAt(position, slot);
        }

        private void siftDown(int start, int slot) {
            int position = start;
            int child = 2 * position + 1;
            while (child < size) {
                if (child + 1 < size && timestamps[slots[child + 1]] < timestamps[slots[child]]) {
                    child++;
                }
                if (timestamps[slots[child]] >= timestamps[slot]) {
                    break;
                }
                placeAt(position, slots[child]);
                position = child;
                child = 2 * position + 1;
            }
            placeAt(position, slot);
        }

        private void placeAt(int position, int slot) {
            slots[position] = slot;
            heapPositions[slot] = position;
        }
    }
}
