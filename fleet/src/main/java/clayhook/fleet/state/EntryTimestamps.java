package clayhook.fleet.state;

import java.util.Arrays;

/**
 * The timestamps of the entries of a table, and min-heaps of slots ordered by these timestamps. Each slot is in at most
 * one heap, so that all heaps share one array of positions. Takes 16 bytes per entry. Not thread-safe.
 */
final class EntryTimestamps {
    private double[] timestamps = new double[0];
    /** The index of each slot in its heap; undefined for slots that are in no heap. */
    private int[] heapPositions = new int[0];

    /** Returns the timestamp of a slot, in seconds since 1970. */
    double timestamp(int slot) {
        return timestamps[slot];
    }

    /** Sets the timestamp of a slot; the slot must not be in a heap, since the order would be violated. */
    void setTimestamp(int slot, double timestamp) {
        timestamps[slot] = timestamp;
    }

    /** Ensures that timestamps of all slots below {@code capacity} can be stored. */
    void ensureCapacity(int capacity) {
        if (timestamps.length < capacity) {
            timestamps = Arrays.copyOf(timestamps, capacity);
            heapPositions = Arrays.copyOf(heapPositions, capacity);
        }
    }

    /** A binary min-heap of slots, ordered by their timestamps. Its size is bounded by that of the table. */
    final class TimestampHeap {
        private static final int INITIAL_CAPACITY = 16;

        private int[] slots = new int[INITIAL_CAPACITY];
        private int size;

        /** Returns the slot with the lowest timestamp; negative if the heap is empty. */
        int oldestSlot() {
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
            int freePosition = heapPositions[slot];
            size--;
            int last = slots[size];
            if (last != slot) {
                siftUp(freePosition, last);
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
