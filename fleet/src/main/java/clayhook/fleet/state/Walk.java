package clayhook.fleet.state;

import clayhook.fleet.Member;
import clayhook.fleet.Outbox;
import clayhook.fleet.Packet;
import clayhook.fleet.Peer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * One comparison with one member, from the roots down to what differs, so that afterwards this copy has all that the
 * other had. Several questions are under way at a time; each is asked again until it is answered, and each answer makes
 * sense by itself, so that late, doubled or reordered ones do no harm. Whatever was got before it is given up stays:
 * the next one, with whomever, finds those ranges alike.
 */
final class Walk {
    private static final int FIRST_WINDOW = 4;
    /** Ranges with no more entries on either side are asked for entry by entry. */
    private static final int FEW = 24;

    /** Something still to be found out. */
    private sealed interface Step {
        record Numbers(long[] ids) implements Step {}

        record AllRoots() implements Step {}

        record Node(Table<?> table, int level, int index) implements Step {}

        record Range(Table<?> table, long from, long to) implements Step {}
    }

    /** A question under way; {@code keys} of the entries that it told in brief. */
    private static final class Asked {
        final Step step;
        final Word word;
        final List<String> keys;
        final int bytes;
        int times;
        double again;

        Asked(Step step, Word word, List<String> keys, int bytes) {
            this.step = step;
            this.word = word;
            this.keys = keys;
            this.bytes = bytes;
        }
    }

    final Peer peer;
    private final long id;
    private final Copy copy;
    private final StateSettings settings;
    private final StateCounts counts;
    private final Allowance allowance;
    /** Last in, first out, so that no more than a few ranges a level wait. */
    private final Deque<Step> steps = new ArrayDeque<>();
    /** At most {@link StateSettings#window()}. */
    private final Map<Integer, Asked> asked = new HashMap<>();
    /** What the other had before the roots were compared. */
    private final List<Word.Pair> pairs = new ArrayList<>();

    private int number;
    private int window = FIRST_WINDOW;
    private double heardAt;
    private boolean rootsAsked;
    private boolean peerWhole;
    /** All kinds were compared, and nothing that came was refused that should be here. */
    private boolean complete = true;

    private boolean done;
    private double pushed;
    private double bytes;

    Walk(
            Peer peer,
            long id,
            List<Member> lacking,
            Copy copy,
            StateSettings settings,
            StateCounts counts,
            Allowance allowance,
            double now) {
        this.peer = peer;
        this.id = id;
        this.copy = copy;
        this.settings = settings;
        this.counts = counts;
        this.allowance = allowance;
        heardAt = now;
        for (int i = 0; i < lacking.size(); i += Word.MOST_IDS) {
            List<Member> some = lacking.subList(i, Math.min(lacking.size(), i + Word.MOST_IDS));
            steps.push(new Step.Numbers(some.stream().mapToLong(Keys::id).toArray()));
        }
    }

    boolean done() {
        return done;
    }

    /** Whether all that the other had is here now. */
    boolean complete() {
        return done && complete;
    }

    /** The other was brought up itself. */
    boolean peerWhole() {
        return peerWhole;
    }

    List<Word.Pair> pairs() {
        return pairs;
    }

    double bytes() {
        return bytes;
    }

    boolean silent(double now) {
        return now - heardAt > settings.silence();
    }

    /** Asks what is due, and again what got no answer. */
    void go(double now, Outbox out) {
        for (Asked each : asked.values()) {
            if (each.again <= now) {
                counts.askedAgain++;
                window = Math.max(2, window / 2);
                send(each, now, out);
            }
        }
        while (!done && asked.size() < window && allowance.open(now)) {
            Step step = steps.poll();
            if (step != null) {
                ask(step, now, out);
            } else if (!asked.isEmpty()) {
                return;
            } else if (rootsAsked) {
                done = true;
            } else {
                rootsAsked = true;
                ask(new Step.AllRoots(), now, out);
            }
        }
    }

    private void ask(Step step, double now, Outbox out) {
        number++;
        Asked question;
        if (step instanceof Step.Numbers numbers) {
            question = new Asked(
                    step, new Word.AskPairs(id, number, numbers.ids), List.of(), Word.FRAME + 9 * numbers.ids.length);
        } else if (step instanceof Step.Node node) {
            question = new Asked(
                    step,
                    new Word.AskNode(id, number, node.table.kind.typeNumber(), node.table.cutoff(), node.level, node.index),
                    List.of(),
                    Word.FRAME);
        } else if (step instanceof Step.Range range) {
            question = range(range);
        } else {
            List<Word.Root> roots = copy.tables().stream().map(Copy::root).toList();
            question = new Asked(
                    step, new Word.AskRoots(id, number, roots), List.of(), Word.FRAME + Word.ROOT * roots.size());
        }
        // A pause for want of allowance is no silence of the other.
        heardAt = asked.isEmpty() ? now : heardAt;
        asked.put(number, question);
        send(question, now, out);
    }

    /** Asks for the range, or for as much of it as what is here can be told of in brief; the rest of it waits. */
    private Asked range(Step.Range range) {
        Table<?> table = range.table;
        long[] briefs = new long[Word.MOST_BRIEFS];
        var keys = new ArrayList<String>();
        long to = range.to;
        for (int slot = table.firstFrom(range.from);
                slot >= 0 && Long.compareUnsigned(table.hash(slot), range.to) <= 0;
                slot = table.after(slot)) {
            if (!table.counted(slot)) {
                continue;
            }
            if (keys.size() == Word.MOST_BRIEFS) {
                to = table.hash(slot) - 1;
                steps.push(new Step.Range(table, to + 1, range.to));
                break;
            }
            briefs[keys.size()] = Keys.brief(table.mark(slot), id);
            keys.add(table.key(slot));
        }
        return new Asked(
                new Step.Range(table, range.from, to),
                new Word.AskRange(id, number, table.kind.typeNumber(), range.from, to, Arrays.copyOf(briefs, keys.size())),
                keys,
                Word.FRAME + 5 * keys.size());
    }

    private void send(Asked question, double now, Outbox out) {
        question.again = now + settings.answerWait() * (1 << Math.min(question.times++, 6));
        spend(question.bytes);
        counts.walkBytes += question.bytes;
        out.add(peer.address(), question.word);
    }

    private void spend(int much) {
        allowance.spend(much);
        bytes += much;
    }

    /** The question that this answers; null for none of this walk that is still open. */
    private Asked answered(Peer from, long walk, int ask, int size, double now) {
        Asked question = walk == id && from.member().equals(peer.member()) ? asked.remove(ask) : null;
        if (question != null) {
            heardAt = now;
            window = Math.min(settings.window(), window + 1);
            spend(size);
        }
        return question;
    }

    void heard(Peer from, Word.Pairs answer, double now) {
        if (answered(
                        from,
                        answer.walk(),
                        answer.ask(),
                        Word.FRAME + Word.TAG * answer.pairs().size(),
                        now)
                != null) {
            pairs.addAll(answer.pairs());
        }
    }

    void heard(Peer from, Word.Roots answer, double now) {
        if (answered(
                        from,
                        answer.walk(),
                        answer.ask(),
                        Word.FRAME + Word.ROOT * answer.roots().size(),
                        now)
                == null) {
            return;
        }
        peerWhole = answer.whole();
        int compared = 0;
        for (Word.Root root : answer.roots()) {
            Table<?> table = copy.table(root.kind());
            if (table != null && copy.hears(from.member(), table)) {
                compared++;
                copy.align(from.member(), table, root.cutoff(), root.floor(), now);
                if (table.tree.sum(0, 0) != root.sum()) {
                    steps.push(new Step.Node(table, 0, 0));
                }
            }
        }
        complete &= compared == copy.tables().size();
    }

    void heard(Peer from, Word.Node answer, double now) {
        Asked question = answered(from, answer.walk(), answer.ask(), Word.FRAME + 12 * Tree.FAN, now);
        if (question == null || !(question.step instanceof Step.Node node)) {
            return;
        }
        copy.align(from.member(), node.table, answer.cutoff(), answer.floor(), now);
        int level = node.level + 1;
        for (int i = 0; i < Tree.FAN; i++) {
            int index = node.index * Tree.FAN + i;
            int here = node.table.tree.count(level, index);
            if (node.table.tree.sum(level, index) != answer.sums()[i] || here != answer.counts()[i]) {
                boolean few = level == Tree.LEAVES || here <= FEW && answer.counts()[i] <= FEW;
                steps.push(
                        few
                                ? new Step.Range(node.table, Tree.from(level, index), Tree.to(level, index))
                                : new Step.Node(node.table, level, index));
            }
        }
    }

    /** @param settled whether all that came with it is here now or rightly not */
    void heard(Peer from, Word.Entries answer, boolean settled, double now, Outbox out) {
        int size = Word.FRAME
                + answer.entries().stream().mapToInt(Word.Entry::room).sum();
        Asked question = answered(from, answer.walk(), answer.ask(), size, now);
        if (question == null || !(question.step instanceof Step.Range range)) {
            return;
        }
        complete &= settled;
        if (Long.compareUnsigned(answer.upTo(), range.to) < 0) {
            steps.push(new Step.Range(range.table, answer.upTo() + 1, range.to));
        }
        push(range.table, question.keys, answer.had(), out);
    }

    /** Sends the other what it lacks, as far as one walk may. */
    private void push(Table<?> table, List<String> keys, long had, Outbox out) {
        var entries = new ArrayList<Word.Entry>();
        int room = Packet.MAX_MESSAGE_BYTES - Word.FRAME;
        for (int i = 0; i < keys.size() && pushed < settings.pushBytes(); i++) {
            byte[] value = (had >>> i & 1) == 0 ? table.bytes(keys.get(i), Keys.hash(keys.get(i))) : null;
            if (value == null) {
                continue;
            }
            var entry = new Word.Entry(keys.get(i), value);
            if (entry.room() > room) {
                push(table, entries, out);
                entries = new ArrayList<>();
                room = Packet.MAX_MESSAGE_BYTES - Word.FRAME;
            }
            entries.add(entry);
            room -= entry.room();
        }
        push(table, entries, out);
    }

    private void push(Table<?> table, List<Word.Entry> entries, Outbox out) {
        if (!entries.isEmpty()) {
            int size = Word.FRAME + entries.stream().mapToInt(Word.Entry::room).sum();
            pushed += size;
            spend(size);
            counts.walkBytes += size;
            out.add(
                    peer.address(),
                    new Word.Entries(0, 0, table.kind.typeNumber(), table.floor(), 0, 0, List.copyOf(entries)));
        }
    }
}
