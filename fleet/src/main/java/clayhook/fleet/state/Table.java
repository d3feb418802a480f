package clayhook.fleet.state;

import clayhook.fleet.ReplicatedType;
import clayhook.fleet.ReplicatedStore;
import clayhook.fleet.FieldWriter;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;

/**
 * The entries of one kind, kept by the hash of their keys so that ranges of hashes come in order. Holds at most
 * {@link ReplicatedType#maxEntries()} entries; they go when they are past their time or at the bound. An entry out of its time is never
 * taken, so that nothing that was dropped comes back and nothing has to be remembered of it.
 *
 * <p>An entry takes some 56 bytes beside its key and value, measured with 100,000; just after the arrays grew half as
 * much again. Arrays do not shrink.
 */
final class Table<V> {
    /** Bytes of key and value; leaves room for the frame of any part that holds just this one. */
    static final int LONGEST_ENTRY = 1000;

    private static final int LEAST_BITS = 6;
    private static final int FIRST_SLOTS = 16;

    final ReplicatedType<V> kind;
    final Tree tree = new Tree();
    /** Bounded by who calls {@link ReplicatedStore#addListener} once at the start. */
    private final List<ReplicatedStore.ChangeListener<V>> listeners = new ArrayList<>();

    private Consumer<String> dropped = key -> {};
    private final double clockBound;
    private final double margin;
    private final double step;

    /** Slots: what each holds. Free ones are linked from {@link #free} by {@link #next}. */
    private String[] keys = new String[0];

    private Object[] values = new Object[0];
    private long[] hashes = new long[0];
    private long[] marks = new long[0];
    private int[] next = new int[0];
    private int free = -1;
    private int size;
    /** First slots by the front bits of the hash; each chain in the order of hashes. */
    private int[] heads;

    private int bits = LEAST_BITS;

    private final Ages ages = new Ages();
    /** Those in the digests, younger than {@link #cutoff}, and the others. */
    private final Ages.Heap counted = ages.new Heap();

    private final Ages.Heap fading = ages.new Heap();
    private double cutoff = Double.NEGATIVE_INFINITY;
    private double floor = Double.NEGATIVE_INFINITY;

    Table(ReplicatedType<V> kind, StateSettings settings) {
        this.kind = kind;
        clockBound = settings.clockBound();
        // A kind that is kept for seconds would else never be compared.
        margin = Math.min(settings.margin(), kind.retentionSeconds() / 4);
        step = Math.min(1, margin / 2);
        heads = new int[1 << bits];
        Arrays.fill(heads, -1);
    }

    void listen(ReplicatedStore.ChangeListener<V> listener) {
        listeners.add(listener);
    }

    void onDrop(Consumer<String> hears) {
        dropped = hears;
    }

    int size() {
        return size;
    }

    double floor() {
        return floor;
    }

    /** What was true then or earlier is left out of the digests. */
    double cutoff() {
        return cutoff;
    }

    /** Joins that value in. */
    Fate merge(String key, long hash, V value, double now) {
        double at = kind.timestamp(value);
        if (!Double.isFinite(at) || kind.clockDependent() && at > now + clockBound) {
            return Fate.FUTURE;
        }
        if (at + kind.retentionSeconds() <= now) {
            return Fate.EXPIRED;
        }
        if (at <= floor) {
            return Fate.FLOORED;
        }
        int slot = find(key, hash);
        V joined = slot < 0 ? value : kind.merge(value(slot), value);
        if (slot >= 0 && joined.equals(value(slot))) {
            return Fate.SAME;
        }
        byte[] bytes = encode(joined);
        if (!fits(key, bytes)) {
            return Fate.UNFIT;
        }
        slot = slot < 0 ? insert(key, hash) : detach(slot);
        attach(slot, joined, Keys.mark(hash, bytes));
        while (size > kind.maxEntries()) {
            floor = ages.at(oldest().oldest());
            dropTo(floor, Integer.MAX_VALUE);
        }
        if (find(key, hash) < 0) {
            return Fate.FLOORED;
        }
        listeners.forEach(listener -> listener.onChange(key, joined, now));
        return Fate.CHANGED;
    }

    private static boolean fits(String key, byte[] value) {
        int bytes = Keys.bytes(key);
        return bytes > 0 && bytes <= ReplicatedStore.MAX_KEY_BYTES && bytes + value.length <= LONGEST_ENTRY;
    }

    /** Whether the copy has just that value under that key, as far as hashes tell. */
    boolean has(String key, long hash, byte[] value) {
        int slot = find(key, hash);
        return slot >= 0 && marks[slot] == Keys.mark(hash, value);
    }

    V get(String key) {
        int slot = find(key, Keys.hash(key));
        return slot < 0 ? null : value(slot);
    }

    /** Null where there is none. */
    byte[] bytes(String key, long hash) {
        int slot = find(key, hash);
        return slot < 0 ? null : encode(value(slot));
    }

    @SuppressWarnings("unchecked") // only attach() stores
    V value(int slot) {
        return (V) values[slot];
    }

    byte[] encode(V value) {
        var out = new FieldWriter();
        kind.write(value, out);
        return out.toByteArray();
    }

    String key(int slot) {
        return keys[slot];
    }

    long hash(int slot) {
        return hashes[slot];
    }

    long mark(int slot) {
        return marks[slot];
    }

    boolean counted(int slot) {
        return ages.at(slot) > cutoff;
    }

    /** The first one whose hash is at least that; negative for none. Hashes are ordered as unsigned numbers. */
    int firstFrom(long hash) {
        int slot = firstIn(bucket(hash));
        while (slot >= 0 && Long.compareUnsigned(hashes[slot], hash) < 0) {
            slot = after(slot);
        }
        return slot;
    }

    int after(int slot) {
        return next[slot] >= 0 ? next[slot] : firstIn(bucket(hashes[slot]) + 1);
    }

    private int firstIn(int fromBucket) {
        for (int i = fromBucket; i < heads.length; i++) {
            if (heads[i] >= 0) {
                return heads[i];
            }
        }
        return -1;
    }

    /**
     * Drops what is past its time or below the floor and takes what is about to go out of the digests, up to so many
     * entries.
     */
    void sweep(double now, int most) {
        int left = dropTo(Math.max(floor, now - kind.retentionSeconds()), most);
        fade(target(now), left);
    }

    /** Steps, so that the digests of two routers that compare at slightly different times leave out the same. */
    private double target(double now) {
        return Double.isInfinite(kind.retentionSeconds())
                ? Double.NEGATIVE_INFINITY
                : Math.floor((now - kind.retentionSeconds() + margin) / step) * step;
    }

    /** Two routers compare by the later of their cut-offs. */
    void align(double theirs, double now, int most) {
        if (theirs <= target(now) + clockBound + step) {
            fade(theirs, most);
        }
    }

    /** Floors join by the higher one. */
    void raise(double theirs, double now, int most) {
        if (theirs > floor && (!kind.clockDependent() || theirs <= now + clockBound) && theirs < Double.POSITIVE_INFINITY) {
            floor = theirs;
            dropTo(floor, most);
        }
    }

    private void fade(double to, int most) {
        for (int left = most; to > cutoff; left--) {
            int slot = counted.oldest();
            if (slot < 0 || ages.at(slot) > to) {
                cutoff = to;
                return;
            }
            if (left <= 0) {
                return;
            }
            // All of one age at once, since what is counted goes by the cut-off alone.
            double at = ages.at(slot);
            for (; slot >= 0 && ages.at(slot) == at; slot = counted.oldest()) {
                counted.remove(slot);
                tree.remove(hashes[slot], marks[slot]);
                fading.add(slot);
            }
            cutoff = at;
        }
    }

    private int dropTo(double limit, int most) {
        int left = most;
        for (int slot = oldest().oldest(); slot >= 0 && ages.at(slot) <= limit && left > 0; slot = oldest().oldest()) {
            remove(slot);
            left--;
        }
        return left;
    }

    private Ages.Heap oldest() {
        return fading.oldest() >= 0 ? fading : counted;
    }

    private int find(String key, long hash) {
        int slot = heads[bucket(hash)];
        while (slot >= 0 && !(hashes[slot] == hash && keys[slot].equals(key))) {
            slot = next[slot];
        }
        return slot;
    }

    private int bucket(long hash) {
        return (int) (hash >>> (Long.SIZE - bits));
    }

    private int insert(String key, long hash) {
        if (free < 0) {
            grow();
        }
        int slot = free;
        free = next[slot];
        keys[slot] = key;
        hashes[slot] = hash;
        size++;
        link(slot);
        return slot;
    }

    private void attach(int slot, V value, long mark) {
        values[slot] = value;
        marks[slot] = mark;
        ages.set(slot, kind.timestamp(value));
        if (counted(slot)) {
            counted.add(slot);
            tree.add(hashes[slot], mark);
        } else {
            fading.add(slot);
        }
    }

    private int detach(int slot) {
        if (counted(slot)) {
            counted.remove(slot);
            tree.remove(hashes[slot], marks[slot]);
        } else {
            fading.remove(slot);
        }
        return slot;
    }

    private void remove(int slot) {
        detach(slot);
        int bucket = bucket(hashes[slot]);
        if (heads[bucket] == slot) {
            heads[bucket] = next[slot];
        } else {
            int before = heads[bucket];
            while (next[before] != slot) {
                before = next[before];
            }
            next[before] = next[slot];
        }
        dropped.accept(keys[slot]);
        keys[slot] = null;
        values[slot] = null;
        next[slot] = free;
        free = slot;
        size--;
    }

    private void link(int slot) {
        int bucket = bucket(hashes[slot]);
        int before = -1;
        int behind = heads[bucket];
        while (behind >= 0 && Long.compareUnsigned(hashes[behind], hashes[slot]) < 0) {
            before = behind;
            behind = next[behind];
        }
        next[slot] = behind;
        if (before < 0) {
            heads[bucket] = slot;
        } else {
            next[before] = slot;
        }
    }

    /** Grows by half, so that little is idle. */
    private void grow() {
        int old = keys.length;
        int slots = Math.max(FIRST_SLOTS, old + old / 2);
        keys = Arrays.copyOf(keys, slots);
        values = Arrays.copyOf(values, slots);
        hashes = Arrays.copyOf(hashes, slots);
        marks = Arrays.copyOf(marks, slots);
        next = Arrays.copyOf(next, slots);
        ages.grow(slots);
        for (int slot = slots - 1; slot >= old; slot--) {
            next[slot] = free;
            free = slot;
        }
        if (slots > 2 * heads.length) {
            spread();
        }
    }

    private void spread() {
        int[] before = heads;
        bits++;
        heads = new int[1 << bits];
        Arrays.fill(heads, -1);
        for (int head : before) {
            for (int slot = head, behind; slot >= 0; slot = behind) {
                behind = next[slot];
                link(slot);
            }
        }
    }
}
