package clayhook.fleet.types;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.BitSet;

/**
 * The positions of the last writes of all sessions at one moment, for threads that serve requests. Immutable, and read
 * without locks or allocation. Successive snapshots share the shards that have not changed.
 *
 * <p>Sessions are identified by a 64-bit hash. Two sessions with equal hashes both get the higher position, which is
 * safe.
 */
public final class SessionWriteSnapshot {
    /**
     * Number of shards. At the bound of retained writes, a shard has about 50 entries: few to copy for one write, while
     * the array of shards remains short.
     */
    static final int SHARD_COUNT = 2048;
    /**
     * Largest number of entries per shard. Bounds the time to copy a shard if session names are chosen so that they
     * hash to the same shard.
     */
    static final int MAX_ENTRIES_PER_SHARD = 256;

    private static final double NONE = Double.NEGATIVE_INFINITY;
    /** Marks a free slot, in place of a hash. */
    private static final long FREE = 0;
    /** Number of array elements per slot: the hash of a session and the bits of its position. */
    private static final int SLOT_WIDTH = 2;

    private static final int MIN_SHARD_LENGTH = 16;
    /** Minimum number of array elements per entry, so that at most half of the slots are used. */
    private static final int MIN_ELEMENTS_PER_ENTRY = 2 * SLOT_WIDTH;

    /** A snapshot without writes that is complete up to no time. */
    public static final SessionWriteSnapshot EMPTY = new SessionWriteSnapshot(new long[SHARD_COUNT][], NONE, NONE);

    /**
     * Hash tables with open addressing, one per shard; null for an empty shard. Each is one array, for locality. An
     * entry is in the slot of its hash, or in the first free slot after it.
     */
    private final long[][] shards;

    private final double evictionFloor;
    private final double completeUpTo;

    private SessionWriteSnapshot(long[][] shards, double evictionFloor, double completeUpTo) {
        this.shards = shards;
        this.evictionFloor = evictionFloor;
        this.completeUpTo = completeUpTo;
    }

    private static long hash(String session) {
        long hash = Hashing.komihash5_0().hashCharsToLong(session);
        return hash == FREE ? 1 : hash;
    }

    private static int shardOf(long hash) {
        return (int) (hash >>> (Long.SIZE - Integer.numberOfTrailingZeros(SHARD_COUNT)));
    }

    static int shardOf(String session) {
        return shardOf(hash(session));
    }

    /** Returns the index of a hash in a shard; if it is absent, the index of the free slot to insert it at. */
    private static int slotOf(long[] shard, long hash) {
        int mask = shard.length - 1;
        int index = (int) (SLOT_WIDTH * hash) & mask;
        while (shard[index] != FREE && shard[index] != hash) {
            index = (index + SLOT_WIDTH) & mask;
        }
        return index;
    }

    private static double positionAt(long[] shard, int slot) {
        return Double.longBitsToDouble(shard[slot + 1]);
    }

    /** Returns the position of a session's last write, in seconds since 1970; negative infinity if there is none. */
    public double position(String session) {
        long hash = hash(session);
        long[] shard = shards[shardOf(hash)];
        if (shard == null) {
            return NONE;
        }
        int slot = slotOf(shard, hash);
        return shard[slot] == FREE ? NONE : positionAt(shard, slot);
    }

    /** Returns the position up to which writes may be missing, in seconds since 1970; negative infinity for none. */
    public double evictionFloor() {
        return evictionFloor;
    }

    /** Returns the time up to which the writes published by other routers are included, in seconds since 1970. */
    public double completeUpTo() {
        return completeUpTo;
    }

    /** Builds the successor of a snapshot. Not thread-safe; must not be used after {@link #build}. */
    static final class Builder {
        private static final long[] EMPTY_SHARD = {};

        private final long[][] shards;
        /** The shards that were copied from the previous snapshot, and may therefore be modified. */
        private final BitSet ownedShards = new BitSet(SHARD_COUNT);
        /** Number of entries of each owned shard. */
        private final int[] shardSizes = new int[SHARD_COUNT];
        /** Newest position evicted from a full shard; negative infinity for none. */
        private double newestEvictedPosition = NONE;

        Builder(SessionWriteSnapshot previous) {
            shards = previous.shards.clone();
        }

        /**
         * Raises the position of a session to at least the given one. Evicts the oldest entries of the shard if it is
         * full.
         */
        void raise(String session, double position) {
            long hash = hash(session);
            int shard = shardOf(hash);
            if (!ownedShards.get(shard) || isFull(shard)) {
                copyShard(shard, NONE);
            }
            put(shard, hash, position);
            if (shardSizes[shard] > MAX_ENTRIES_PER_SHARD) {
                double oldest = oldestPosition(shards[shard]);
                newestEvictedPosition = Math.max(newestEvictedPosition, oldest);
                copyShard(shard, Math.nextUp(oldest));
            }
        }

        private boolean isFull(int shard) {
            return MIN_ELEMENTS_PER_ENTRY * (shardSizes[shard] + 1) > shards[shard].length;
        }

        private void put(int shardIndex, long hash, double position) {
            long[] shard = shards[shardIndex];
            int slot = slotOf(shard, hash);
            double raised = position;
            if (shard[slot] == FREE) {
                shardSizes[shardIndex]++;
            } else {
                raised = Math.max(position, positionAt(shard, slot));
            }
            shard[slot] = hash;
            shard[slot + 1] = Double.doubleToLongBits(raised);
        }

        /** Copies the entries of a shard that are at or after a position, with capacity for one more. */
        private void copyShard(int shardIndex, double from) {
            long[] old = shards[shardIndex] == null ? EMPTY_SHARD : shards[shardIndex];
            shards[shardIndex] = new long[lengthFor(countFrom(old, from))];
            shardSizes[shardIndex] = 0;
            ownedShards.set(shardIndex);
            for (int slot = 0; slot < old.length; slot += SLOT_WIDTH) {
                if (old[slot] != FREE && positionAt(old, slot) >= from) {
                    put(shardIndex, old[slot], positionAt(old, slot));
                }
            }
        }

        /** Returns the array length of a shard for the given number of entries and one more; a power of 2. */
        private static int lengthFor(int entries) {
            return Math.max(MIN_SHARD_LENGTH, MIN_ELEMENTS_PER_ENTRY * Integer.highestOneBit(2 * entries + 1));
        }

        private static int countFrom(long[] shard, double from) {
            int count = 0;
            for (int slot = 0; slot < shard.length; slot += SLOT_WIDTH) {
                if (shard[slot] != FREE && positionAt(shard, slot) >= from) {
                    count++;
                }
            }
            return count;
        }

        private static double oldestPosition(long[] shard) {
            double oldest = Double.POSITIVE_INFINITY;
            for (int slot = 0; slot < shard.length; slot += SLOT_WIDTH) {
                if (shard[slot] != FREE) {
                    oldest = Math.min(oldest, positionAt(shard, slot));
                }
            }
            return oldest;
        }

        /** Removes the entries of one shard that are before a position. */
        void removeBefore(int shardIndex, double position) {
            if (shards[shardIndex] == null || oldestPosition(shards[shardIndex]) >= position) {
                return;
            }
            copyShard(shardIndex, position);
            if (shardSizes[shardIndex] == 0) {
                shards[shardIndex] = null;
                ownedShards.clear(shardIndex);
            }
        }

        /** Returns the newest position evicted from a full shard; negative infinity for none. */
        double newestEvictedPosition() {
            return newestEvictedPosition;
        }

        SessionWriteSnapshot build(double evictionFloor, double completeUpTo) {
            return new SessionWriteSnapshot(shards, evictionFloor, completeUpTo);
        }
    }
}
