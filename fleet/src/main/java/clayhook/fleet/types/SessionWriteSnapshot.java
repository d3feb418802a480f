package clayhook.fleet.types;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.BitSet;

/**
 * The positions of all sessions' last writes at one moment, for threads that serve requests: immutable, and read
 * without locks or allocation. Successive snapshots share the shards that have not changed.
 *
 * <p>Sessions are identified by a hash of 64 bits. Two with equal hashes both get the further position, which is safe.
 */
public final class SessionWriteSnapshot {
    /**
     * At the bound of retained writes, a shard has some fifty entries: few to copy for one write, and the array of
     * shards is short.
     */
    static final int SHARD_COUNT = 2048;
    /** Bounds the time to copy a shard where session names are chosen to hash into one. */
    static final int MAX_ENTRIES_PER_SHARD = 256;

    private static final double NONE = Double.NEGATIVE_INFINITY;
    /** The hash in a free slot. */
    private static final long FREE = 0;
    /** Array elements of a slot: the hash of a session and the bits of its position. */
    private static final int SLOT_WIDTH = 2;

    private static final int MIN_SHARD_LENGTH = 16;
    /** Array elements for each entry, so that at most half of the slots are taken. */
    private static final int MIN_ELEMENTS_PER_ENTRY = 2 * SLOT_WIDTH;

    /** Without any write, and complete up to no time. */
    public static final SessionWriteSnapshot EMPTY = new SessionWriteSnapshot(new long[SHARD_COUNT][], NONE, NONE);

    /**
     * Hash tables with open addressing, each in one array for locality, or null. An entry is in the slot of its hash or
     * in the first free one after it.
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

    /** Returns the index of the hash in a shard, or of the free slot where it belongs. */
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

    /** Returns the position up to which writes may be missing, in seconds since 1970. */
    public double evictionFloor() {
        return evictionFloor;
    }

    /** Returns up to which time the writes published by other routers are included, in seconds since 1970. */
    public double completeUpTo() {
        return completeUpTo;
    }

    /** Builds the snapshot that follows another one. For one thread, and not to be used after {@link #build}. */
    static final class Builder {
        private static final long[] EMPTY_SHARD = {};

        private final long[][] shards;
        /** The shards that were copied, and may be changed. */
        private final BitSet ownedShards = new BitSet(SHARD_COUNT);
        /** Entries of each owned shard. */
        private final int[] shardSizes = new int[SHARD_COUNT];
        /** The newest position that was evicted from a full shard. */
        private double newestDropped = NONE;

        Builder(SessionWriteSnapshot previous) {
            shards = previous.shards.clone();
        }

        /** Raises a session's position to at least the given one. */
        void raise(String session, double position) {
            long hash = hash(session);
            int shard = shardOf(hash);
            if (!ownedShards.get(shard) || isFull(shard)) {
                copyShard(shard, NONE);
            }
            put(shard, hash, position);
            if (shardSizes[shard] > MAX_ENTRIES_PER_SHARD) {
                double oldest = oldestPosition(shards[shard]);
                newestDropped = Math.max(newestDropped, oldest);
                copyShard(shard, Math.nextUp(oldest));
            }
        }

        private boolean isFull(int shard) {
            return MIN_ELEMENTS_PER_ENTRY * (shardSizes[shard] + 1) > shards[shard].length;
        }

        private void put(int number, long hash, double position) {
            long[] shard = shards[number];
            int slot = slotOf(shard, hash);
            double raised = position;
            if (shard[slot] == FREE) {
                shardSizes[number]++;
            } else {
                raised = Math.max(position, positionAt(shard, slot));
            }
            shard[slot] = hash;
            shard[slot + 1] = Double.doubleToLongBits(raised);
        }

        /** Copies a shard with its entries from a position on, and room for one more. */
        private void copyShard(int number, double from) {
            long[] old = shards[number] == null ? EMPTY_SHARD : shards[number];
            shards[number] = new long[lengthFor(countFrom(old, from))];
            shardSizes[number] = 0;
            ownedShards.set(number);
            for (int slot = 0; slot < old.length; slot += SLOT_WIDTH) {
                if (old[slot] != FREE && positionAt(old, slot) >= from) {
                    put(number, old[slot], positionAt(old, slot));
                }
            }
        }

        /** Returns the length of a shard for so many entries and one more: a power of 2. */
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

        /** Removes the entries of one shard that are before a position, if there are any. */
        void removeBefore(int number, double position) {
            if (shards[number] == null || oldestPosition(shards[number]) >= position) {
                return;
            }
            copyShard(number, position);
            if (shardSizes[number] == 0) {
                shards[number] = null;
                ownedShards.clear(number);
            }
        }

        /** Returns the newest position that was evicted from a full shard; negative infinity for none. */
        double newestDropped() {
            return newestDropped;
        }

        SessionWriteSnapshot build(double evictionFloor, double completeUpTo) {
            return new SessionWriteSnapshot(shards, evictionFloor, completeUpTo);
        }
    }
}
