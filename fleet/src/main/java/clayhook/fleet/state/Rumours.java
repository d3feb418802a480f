package clayhook.fleet.state;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What was changed lately and is told on, least told first and of those the latest first. One entry is one rumour,
 * whatever changes: it always tells the value as it is now. A rumour ends when it was told a number of times, when it
 * is too old, or at the bound.
 */
final class Rumours {
    /** Rounds in which a rumour is told at most; enough for any fleet. */
    private static final int MOST_ROUNDS = 15;

    private static final class Rumour {
        final Table<?> table;
        final String key;
        final long hash;
        /** Member, number, rounds told, and again; at most {@link Word#MOST_TAGS} of them. */
        long[] tags = new long[0];
        /** Rounds in which it was told, or heard from others, since it changed last. */
        int told;

        double since;
        Rumour before = this;
        Rumour behind = this;

        Rumour(Table<?> table, String key, long hash) {
            this.table = table;
            this.key = key;
            this.hash = hash;
        }

        void unlink() {
            before.behind = behind;
            behind.before = before;
            before = this;
            behind = this;
        }

        void linkBehind(Rumour head) {
            before = head;
            behind = head.behind;
            behind.before = this;
            head.behind = this;
        }

        void tag(long member, long number) {
            int most = 3 * Word.MOST_TAGS;
            int from = tags.length == most ? 3 : 0;
            long[] more = Arrays.copyOfRange(tags, from, tags.length + 3);
            more[more.length - 3] = member;
            more[more.length - 2] = number;
            more[more.length - 1] = 0;
            tags = more;
        }

        /** What was told often enough need not be told with the next change. */
        void age(int rounds) {
            int kept = 0;
            for (int i = 0; i < tags.length; i += 3) {
                if (++tags[i + 2] < rounds) {
                    System.arraycopy(tags, i, tags, kept, 3);
                    kept += 3;
                }
            }
            tags = Arrays.copyOf(tags, kept);
        }

        long[] numbers() {
            long[] out = new long[tags.length / 3 * 2];
            for (int i = 0; i < out.length / 2; i++) {
                out[2 * i] = tags[3 * i];
                out[2 * i + 1] = tags[3 * i + 1];
            }
            return out;
        }
    }

    /** By table and key; holds {@link #most} rumours, which go as said above. */
    private final Map<Table<?>, Map<String, Rumour>> byKey = new HashMap<>();
    /** Rings by rounds told; each head stands before the latest one. */
    private final Rumour[] rings = new Rumour[MOST_ROUNDS];

    private final int most;
    private final double lasts;
    private final StateCounts counts;
    private int size;

    Rumours(Iterable<Table<?>> tables, StateSettings settings, StateCounts counts) {
        most = settings.mostNews();
        lasts = settings.newsFor();
        this.counts = counts;
        tables.forEach(table -> {
            byKey.put(table, new HashMap<>());
            table.onDrop(key -> forget(byKey.get(table).get(key)));
        });
        Arrays.setAll(rings, any -> new Rumour(null, null, 0));
    }

    boolean isEmpty() {
        return size == 0;
    }

    /** That entry was changed, or is known to hold what those members put in: ids and numbers in turn. */
    void heat(Table<?> table, String key, long hash, long[] tags, int tagged, double now) {
        Rumour rumour = byKey.get(table).get(key);
        if (rumour == null) {
            rumour = new Rumour(table, key, hash);
            byKey.get(table).put(key, rumour);
            size++;
        }
        for (int i = 0; i < tagged; i += 2) {
            rumour.tag(tags[i], tags[i + 1]);
        }
        rumour.told = 0;
        rumour.since = now;
        rumour.unlink();
        rumour.linkBehind(rings[0]);
        if (size > most) {
            leave(last());
        }
    }

    /** Someone else told that entry as it is here: one telling less is needed. */
    void again(Table<?> table, String key, int rounds) {
        Rumour rumour = byKey.get(table).get(key);
        if (rumour != null) {
            advance(rumour, rounds);
        }
    }

    /** The most told and of those the oldest. */
    private Rumour last() {
        for (int ring = MOST_ROUNDS - 1; ring >= 0; ring--) {
            if (rings[ring].before != rings[ring]) {
                return rings[ring].before;
            }
        }
        throw new IllegalStateException("no rumour");
    }

    /**
     * Guards against an entry that is put in anew under the numbers of one that went: its value does not hold those.
     */
    private void forget(Rumour rumour) {
        if (rumour != null) {
            drop(rumour);
        }
    }

    private void leave(Rumour rumour) {
        counts.leftToDigests++;
        drop(rumour);
    }

    private void drop(Rumour rumour) {
        rumour.unlink();
        byKey.get(rumour.table).remove(rumour.key);
        size--;
    }

    /** Ends what is too old to be news. */
    void cool(double now) {
        for (Rumour ring : rings) {
            while (ring.before != ring && ring.before.since + lasts < now) {
                leave(ring.before);
            }
        }
    }

    /** Takes what is to be told next, in parts of at most that many bytes, and counts it as told. */
    List<List<Word.Told>> next(int parts, int bytes, int rounds) {
        var out = new ArrayList<List<Word.Told>>();
        var taken = new ArrayList<Rumour>();
        int room = 0;
        all:
        for (Rumour ring : rings) {
            for (Rumour rumour = ring.behind; rumour != ring; rumour = rumour.behind) {
                byte[] value = rumour.table.bytes(rumour.key, rumour.hash);
                var told = new Word.Told(rumour.table.kind.typeNumber(), rumour.key, value, rumour.numbers());
                if (told.room() > room) {
                    if (out.size() == parts) {
                        break all;
                    }
                    out.add(new ArrayList<>());
                    room = bytes;
                }
                taken.add(rumour);
                out.get(out.size() - 1).add(told);
                room -= told.room();
            }
        }
        taken.forEach(each -> advance(each, rounds));
        return out;
    }

    private void advance(Rumour rumour, int rounds) {
        rumour.age(rounds);
        if (++rumour.told >= Math.min(rounds, MOST_ROUNDS)) {
            drop(rumour);
        } else {
            rumour.unlink();
            rumour.linkBehind(rings[rumour.told]);
        }
    }
}
