package clayhook.fleet.state;

import clayhook.fleet.Outbox;
import clayhook.fleet.Packet;
import clayhook.fleet.Peer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * What this router tells those that compare their copies with its own. Keeps nothing of them but questions that must
 * wait.
 */
final class Answers {
    /** Questions that wait until bytes may be spent again; more are dropped and asked again. */
    private static final int MOST_WAITING = 256;
    /** Answered in one turn, some 30 entries each. */
    private static final int MOST_A_TURN = 32;

    private record Question(Peer from, Word word) {}

    private final Copy copy;
    private final Origins origins;
    private final StateSettings settings;
    private final StateCounts counts;
    private final Allowance allowance;
    private final ArrayDeque<Question> waiting = new ArrayDeque<>();

    Answers(Copy copy, Origins origins, StateSettings settings, StateCounts counts, double now) {
        this.copy = copy;
        this.origins = origins;
        this.settings = settings;
        this.counts = counts;
        allowance = new Allowance(settings.catchUpBytes(), now);
    }

    boolean idle() {
        return waiting.isEmpty();
    }

    void asked(Peer from, Word word, BooleanSupplier whole, double now, Outbox out) {
        if (waiting.isEmpty() && allowance.open(now)) {
            answer(from, word, whole, now, out);
        } else if (waiting.size() < MOST_WAITING) {
            waiting.add(new Question(from, word));
        } else {
            counts.asksDropped++;
        }
    }

    void turn(BooleanSupplier whole, double now, Outbox out) {
        for (int i = 0; i < MOST_A_TURN && !waiting.isEmpty() && allowance.open(now); i++) {
            Question question = waiting.poll();
            answer(question.from, question.word, whole, now, out);
        }
    }

    private void answer(Peer from, Word word, BooleanSupplier whole, double now, Outbox out) {
        if (word instanceof Word.AskPairs ask) {
            List<Word.Pair> pairs = origins.known(ask.ids(), now);
            send(from, new Word.Pairs(ask.walk(), ask.ask(), now, pairs), Word.FRAME + Word.TAG * pairs.size(), out);
        } else if (word instanceof Word.AskRoots ask) {
            List<Word.Root> roots = roots(from, ask, now);
            send(
                    from,
                    new Word.Roots(ask.walk(), ask.ask(), whole.getAsBoolean(), roots),
                    Word.FRAME + Word.ROOT * roots.size(),
                    out);
        } else if (word instanceof Word.AskNode ask && copy.table(ask.kind()) != null) {
            send(from, node(ask, copy.table(ask.kind()), now), Word.FRAME + 2 * Word.TAG / 3 * Tree.FAN, out);
        } else if (word instanceof Word.AskRange ask && copy.table(ask.kind()) != null) {
            Word.Entries entries = range(ask, copy.table(ask.kind()));
            send(
                    from,
                    entries,
                    Word.FRAME
                            + entries.entries().stream()
                                    .mapToInt(Word.Entry::room)
                                    .sum(),
                    out);
        }
    }

    private void send(Peer to, Word word, int bytes, Outbox out) {
        allowance.spend(bytes);
        counts.walkBytes += bytes;
        out.add(to.address(), word);
    }

    /** Of all kinds that both know and that the other may be heard on. */
    private List<Word.Root> roots(Peer from, Word.AskRoots ask, double now) {
        var out = new ArrayList<Word.Root>();
        for (Word.Root root : ask.roots()) {
            Table<?> table = copy.table(root.kind());
            if (table != null && copy.hears(from.member(), table)) {
                copy.align(from.member(), table, root.cutoff(), root.floor(), now);
                out.add(Copy.root(table));
            }
        }
        return out;
    }

    private Word.Node node(Word.AskNode ask, Table<?> table, double now) {
        table.align(ask.cutoff(), now, settings.sweep());
        int level = ask.level() + 1;
        long[] sums = new long[Tree.FAN];
        long[] sizes = new long[Tree.FAN];
        for (int i = 0; i < Tree.FAN; i++) {
            sums[i] = table.tree.sum(level, ask.index() * Tree.FAN + i);
            sizes[i] = table.tree.count(level, ask.index() * Tree.FAN + i);
        }
        return new Word.Node(ask.walk(), ask.ask(), table.cutoff(), table.floor(), sums, sizes);
    }

    /** All that the other lacks in the range, as far as it fits. */
    private <V> Word.Entries range(Word.AskRange ask, Table<V> table) {
        var entries = new ArrayList<Word.Entry>();
        int room = Packet.MAX_MESSAGE_BYTES - Word.FRAME;
        long had = 0;
        long upTo = ask.to();
        boolean full = false;
        for (int slot = table.firstFrom(ask.from());
                slot >= 0 && Long.compareUnsigned(table.hash(slot), ask.to()) <= 0;
                slot = table.after(slot)) {
            if (!table.counted(slot)) {
                continue;
            }
            int at = place(ask.briefs(), Keys.brief(table.mark(slot), ask.walk()));
            if (at >= 0) {
                had |= 1L << at;
            } else if (!full) {
                var entry = new Word.Entry(table.key(slot), table.encode(table.value(slot)));
                room -= entry.room();
                full = room < 0;
                if (full) {
                    upTo = table.hash(slot) - 1;
                } else {
                    entries.add(entry);
                }
            }
        }
        return new Word.Entries(ask.walk(), ask.ask(), ask.kind(), table.floor(), upTo, had, entries);
    }

    private static int place(long[] briefs, int brief) {
        for (int i = 0; i < briefs.length; i++) {
            if ((int) briefs[i] == brief) {
                return i;
            }
        }
        return -1;
    }
}
