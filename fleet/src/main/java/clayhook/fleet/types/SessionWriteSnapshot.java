package clayhook.fleet.types;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.BitSet;

/**
 * The marks of sessions at one moment, for threads that serve requests: it never changes, and looking one up takes no
 * lock and makes nothing. A next one shares the shards that have not changed.
 *
 * <p>Sessions stand by a hash of 64 bits. Two that ever meet in one have the further mark of both, which is safe.
 */
public final class SessionWriteSnapshot {
    /**
     * Some fifty marks in each at the most that are kept: little to copy for one mark, nor is the list of shards long.
     */
    static final int SHARD_COUNT = 2048;
    /** Marks in a shard. Guards against long copies where names of sessions are made to meet in one. */
    static final int MAX_ENTRIES_PER_SHARD = 256;

    private static final double NONE = Double.NEGATIVE_INFINITY;

    /** Nothing known: no mark, and no certainty of any. */
    public static final SessionWriteSnapshot EMPTY = new SessionWriteSnapshot(new long[SHARD_COUNT][], NONE, NONE);

    /**
     * Each null, or pairs of a session's hash and its position's bits, so that a look-up touches little memory. A pair
     * is at its hash's place or in the first free one from there; hash 0 is a free place, and never over half are
     * taken.
     */
    private final long[][] shards;

    private final double evictionFloor, completeUpTo;

    private SessionWriteSnapshot(long[][] shards, double floor, double certainUpTo) {
        this.shards = shards;
        this.evictionFloor = floor;
        this.completeUpTo = certainUpTo;
    }

    private static long hash(String session) {
        long hash = Hashing.komihash5_0().hashCharsToLong(session);
        return hash == 0 ? 1 : hash;
    }

    private static int shardOf(long hash) {
        return (int) (hash >>> Long.SIZE - Integer.numberOfTrailingZeros(SHARD_COUNT));
    }

    static int shardOf(String session) {
        return shardOf(hash(session));
    }

    private static int slotOf(long[] pairs, long hash) {
        int mask = pairs.length - 1;
        int place = (int) (2 * hash) & mask;
        while (pairs[place] != 0 && pairs[place] != hash) {
            place = place + 2 & mask;
        }
        return place;
    }

    /** The session's mark, seconds since 1970; negative infinity where there is none. */
    public double position(String session) {
        long hash = hash(session);
        long[] pairs = shards[shardOf(hash)];
        if (pairs == null) {
            return NONE;
        }
        int place = slotOf(pairs, hash);
        return pairs[place] == 0 ? NONE : Double.longBitsToDouble(pairs[place + 1]);
    }

    /** Marks up to that position may be missing, seconds since 1970. */
    public double evictionFloor() {
        return evictionFloor;
    }

    /** Up to when it has the marks that other routers put in, seconds since 1970. */
    public double completeUpTo() {
        return completeUpTo;
    }

    /** What the next snapshot will be; for one thread, to be used until it is done. */
    static final class Builder {
        private static final long[] NO_PAIRS = {};

        private final long[][] shards;
        /** Those that are this draft's own and may be changed, and how many marks they have. */
        private final BitSet ownedShards = new BitSet(SHARD_COUNT);

        private final int[] shardSizes = new int[SHARD_COUNT];
        /** The newest position that was dropped for want of room. */
        private double newestDropped = NONE;

        Builder(SessionWriteSnapshot from) {
            shards = from.shards.clone();
        }

        /** That session's mark is at least so far. */
        void raise(String session, double position) {
            long hash = hash(session);
            int number = shardOf(hash);
            if (!ownedShards.get(number) || 4 * (shardSizes[number] + 1) > shards[number].length) {
                copyShard(number, NONE);
            }
            put(number, hash, position);
            if (shardSizes[number] > MAX_ENTRIES_PER_SHARD) {
                double oldest = oldestPosition(shards[number]);
                newestDropped = Math.max(newestDropped, oldest);
                copyShard(number, Math.nextUp(oldest));
            }
        }

        private void put(int number, long hash, double position) {
            long[] pairs = shards[number];
            int place = slotOf(pairs, hash);
            boolean known = pairs[place] != 0;
            shardSizes[number] += known ? 0 : 1;
            pairs[place] = hash;
            pairs[place + 1] = Double.doubleToLongBits(
                    known ? Math.max(position, Double.longBitsToDouble(pairs[place + 1])) : position);
        }

        /** Makes the shard this draft's own, with its marks from that position on and room for one more. */
        private void copyShard(int number, double from) {
            long[] old = shards[number] == null ? NO_PAIRS : shards[number];
            int left = 0;
            for (int i = 0; i < old.length; i += 2) {
                left += old[i] != 0 && Double.longBitsToDouble(old[i + 1]) >= from ? 1 : 0;
            }
            shards[number] = new long[Math.max(16, 4 * Integer.highestOneBit(2 * left + 1))];
            shardSizes[number] = 0;
            ownedShards.set(number);
            for (int i = 0; i < old.length; i += 2) {
                double position = Double.longBitsToDouble(old[i + 1]);
                if (old[i] != 0 && position >= from) {
                    put(number, old[i], position);
                }
            }
        }

        private static double oldestPosition(long[] pairs) {
            double oldest = Double.POSITIVE_INFINITY;
            for (int i = 0; i < pairs.length; i += 2) {
                oldest = pairs[i] != 0 ? Math.min(oldest, Double.longBitsToDouble(pairs[i + 1])) : oldest;
            }
            return oldest;
        }

        /** Drops what is before that position from one shard, if it has any. */
        void removeBefore(int number, double before) {
            if (shards[number] != null && oldestPosition(shards[number]) < before) {
                copyShard(number, before);
                if (shardSizes[number] == 0) {
                    shards[number] = null;
                    ownedShards.clear(number);
                }
            }
        }

        double newestDropped() {
            return newestDropped;
        }

        SessionWriteSnapshot build(double floor, double certainUpTo) {
            return new SessionWriteSnapshot(shards, floor, certainUpTo);
        }
    }
}
