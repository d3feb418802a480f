package clayhook.fleet.kinds;

import java.util.BitSet;

/**
 * The marks of sessions at one moment, for threads that serve requests: it never changes, and looking one up takes no lock
 * and makes nothing. A next one shares the shards that have not changed.
 */
public final class MarkSnapshot {
    /** Some fifty marks in each at the most that are kept: little to copy for one mark, nor is the list of shards long. */
    static final int SHARDS = 2048;
    /** Marks in a shard. Guards against long copies where names of sessions are made to meet in one. */
    static final int MOST_IN_SHARD = 256;
    private static final double NONE = Double.NEGATIVE_INFINITY;

    /** Open addressing: the name is in the first free place from its own on. Never over half full. */
    private static final class Shard {
        static final Shard EMPTY = new Shard(8);
        final String[] names;
        final double[] positions;
        int size;

        Shard(int room) {
            names = new String[room];
            positions = new double[room];
        }

        int place(String name, int hash) {
            int mask = names.length - 1;
            int place = hash & mask;
            while (names[place] != null && !names[place].equals(name)) {
                place = place + 1 & mask;
            }
            return place;
        }

        /** A copy of those from that position on, with room for one more. */
        Shard copy(double from) {
            int left = 0;
            for (int i = 0; i < names.length; i++) {
                left += names[i] != null && positions[i] >= from ? 1 : 0;
            }
            var copy = new Shard(Math.max(EMPTY.names.length, Integer.highestOneBit(2 * left + 2) * 2));
            for (int i = 0; i < names.length; i++) {
                if (names[i] != null && positions[i] >= from) {
                    copy.put(names[i], positions[i], copy.place(names[i], hash(names[i])));
                }
            }
            return copy;
        }

        void put(String name, double position, int place) {
            size += names[place] == null ? 1 : 0;
            names[place] = name;
            positions[place] = position;
        }

        double oldest() {
            double oldest = Double.POSITIVE_INFINITY;
            for (int i = 0; i < names.length; i++) {
                oldest = names[i] != null ? Math.min(oldest, positions[i]) : oldest;
            }
            return oldest;
        }
    }

    /** Nothing known: no mark, and no certainty of any. */
    public static final MarkSnapshot EMPTY = new MarkSnapshot(new Shard[SHARDS], NONE, NONE);

    private final Shard[] shards;
    private final double floor, certainUpTo;

    private MarkSnapshot(Shard[] shards, double floor, double certainUpTo) {
        this.shards = shards;
        this.floor = floor;
        this.certainUpTo = certainUpTo;
    }

    private static int hash(String name) {
        int hash = name.hashCode() * 0x9E3779B9; // the golden ratio spreads neighbours
        return hash ^ hash >>> 15;
    }

    private static int shard(int hash) {
        return hash >>> 32 - Integer.numberOfTrailingZeros(SHARDS);
    }

    /** The session's mark, seconds since 1970; negative infinity where there is none. */
    public double position(String session) {
        int hash = hash(session);
        Shard shard = shards[shard(hash)];
        if (shard == null) {
            return NONE;
        }
        int place = shard.place(session, hash);
        return shard.names[place] == null ? NONE : shard.positions[place];
    }

    /** Marks up to that position may be missing, seconds since 1970. */
    public double floor() {
        return floor;
    }

    /** Up to when it has the marks that other routers put in, seconds since 1970. */
    public double certainUpTo() {
        return certainUpTo;
    }

    /** What the next snapshot will be; for one thread, to be used until it is done. */
    static final class Draft {
        private final Shard[] shards;
        /** Those that are this draft's own, and may be changed. */
        private final BitSet copied = new BitSet(SHARDS);
        /** The newest position that was dropped for want of room. */
        private double dropped = NONE;

        Draft(MarkSnapshot from) {
            shards = from.shards.clone();
        }

        private Shard own(int number, double from) {
            Shard shard = shards[number] == null ? Shard.EMPTY : shards[number];
            boolean room = copied.get(number) && shard != Shard.EMPTY && 2 * (shard.size + 1) <= shard.names.length;
            if (!room || from > NONE) {
                shards[number] = shard.copy(from);
                copied.set(number);
            }
            return shards[number];
        }

        /** That session's mark is at least so far. */
        void raise(String session, double position) {
            int hash = hash(session);
            int number = shard(hash);
            Shard shard = own(number, NONE);
            int place = shard.place(session, hash);
            if (shard.names[place] != null) {
                shard.positions[place] = Math.max(shard.positions[place], position);
                return;
            }
            shard.put(session, position, place);
            if (shard.size > MOST_IN_SHARD) {
                double oldest = shard.oldest();
                dropped = Math.max(dropped, oldest);
                own(number, Math.nextUp(oldest));
            }
        }

        /** Drops what is before that position from one shard, if it has any. */
        void forget(int number, double before) {
            if (shards[number] != null && shards[number].oldest() < before) {
                shards[number] = own(number, before).size == 0 ? null : shards[number];
            }
        }

        double dropped() {
            return dropped;
        }

        MarkSnapshot done(double floor, double certainUpTo) {
            return new MarkSnapshot(shards, floor, certainUpTo);
        }
    }
}
