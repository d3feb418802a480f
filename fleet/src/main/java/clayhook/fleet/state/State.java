package clayhook.fleet.state;

import clayhook.fleet.ReplicatedType;
import clayhook.fleet.ProtocolHandler;
import clayhook.fleet.Outbox;
import clayhook.fleet.Packet;
import clayhook.fleet.Message;
import clayhook.fleet.Peer;
import clayhook.fleet.FieldReader;
import clayhook.fleet.MembershipView;
import clayhook.fleet.ReplicatedStore;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.function.Function;

/**
 * This router's copy of the values that routers share. What changes here is told on to a few members a round, a bounded
 * number of times; what that misses is found by comparing hash trees with some member about once a second; a copy that
 * lacks much is brought up by the same comparison, from whomever.
 *
 * <p><b>What goes.</b> Entries past their time are dropped and never taken again, so that nothing comes back and no
 * tombstone is needed; a router that was away for longer than a kind is kept brings nothing of it back. At the bound
 * the oldest go, with all of the same age, and the floor rises to them; floors spread and join by the higher one.
 *
 * <p><b>What {@link #certainUpTo} promises.</b> Of each member that the roster says may serve, every value that it put
 * in before that moment (on this router's clock, as far as the skew was measured) was joined into this copy, or is past
 * its time, about to be, or at or below the floor. That is known from the numbers under which each one puts in: all
 * came as news, or the copy was compared, whole, with one that had them. What it does not promise: anything on members
 * that the roster does not know or holds for dead, though they may live beyond a cut; on values still in a queue before
 * {@link #put}; on what members put in before they restarted if all who had it went with them; on a router that started
 * cut off from all others and found nobody for {@link StateSettings#aloneAfter}, which holds itself for the only one.
 * It is negative infinity on the safe side: until someone brought this copy up, while this router doubts itself, and
 * while a member may serve whose clock is off.
 *
 * <p>For one thread. Take a turn at once after putting in a value of an urgent kind.
 */
public final class State implements ProtocolHandler, ReplicatedStore {
    /** Seconds between two times at which members that went are forgotten. */
    private static final double TIDY = 5;
    /** Rounds beyond those in which everyone would hear if no word were lost or wasted. */
    private static final int SPARE_ROUNDS = 2;

    private final MembershipView roster;
    private final StateSettings settings;
    private final SplittableRandom random;
    private final StateCounts counts = new StateCounts();
    private final Copy copy;
    private final Origins origins;
    private final Walks walks;
    private final Answers answers;
    private final Allowance newsAllowance;
    private final Rumours urgent;
    private final Rumours usual;
    private boolean urgentNow;
    private double lastTurn;
    private double nextRound;
    private double nextPairs;
    private double nextTidy;

    /** @param kinds at most 32, numbers below 256 */
    public State(MembershipView roster, List<ReplicatedType<?>> kinds, StateSettings settings, long seed, double now) {
        this.roster = roster;
        this.settings = settings;
        random = new SplittableRandom(seed);
        copy = new Copy(roster, kinds, settings, counts);
        origins = new Origins(roster, settings, random.nextInt(Integer.MAX_VALUE), now);
        walks = new Walks(roster, copy, origins, settings, counts, random.split(), now);
        answers = new Answers(copy, origins, settings, counts, now);
        newsAllowance = new Allowance(settings.newsBytes(), now);
        urgent = new Rumours(copy.tables(true), settings, counts);
        usual = new Rumours(copy.tables(false), settings, counts);
        lastTurn = now;
        nextPairs = now + settings.pairsEvery() * random.nextDouble();
    }

    public StateCounts counts() {
        return counts;
    }

    /** Whether this copy was brought up since the start; until then absence is ignorance. */
    public boolean broughtUp(double now) {
        return walks.whole(now);
    }

    /**
     * {@inheritDoc}
     *
     * <p>Null also for a value from the future beyond the clocks' bound, and for one that is too long with its key
     * (1,000 bytes together); counted by reason.
     */
    @Override
    public <V> V merge(ReplicatedType<V> kind, String key, V value, double now) {
        Table<V> table = copy.table(kind);
        long hash = Keys.hash(key);
        Fate fate = copy.counted(table.merge(key, hash, value, now));
        if (fate == Fate.CHANGED) {
            heat(table, key, hash, new long[] {origins.self(), origins.put()}, 2, now);
        }
        return fate.taken() ? table.get(key) : null;
    }

    private void heat(Table<?> table, String key, long hash, long[] tags, int tagged, double now) {
        rumours(table).heat(table, key, hash, tags, tagged, now);
        urgentNow |= table.kind.urgent();
    }

    private Rumours rumours(Table<?> table) {
        return table.kind.urgent() ? urgent : usual;
    }

    @Override
    public <V> V get(ReplicatedType<V> kind, String key) {
        return copy.table(kind).get(key);
    }

    @Override
    public <V> void forEach(ReplicatedType<V> kind, BiConsumer<String, V> to) {
        Table<V> table = copy.table(kind);
        for (int slot = table.firstFrom(0); slot >= 0; slot = table.after(slot)) {
            to.accept(table.key(slot), table.value(slot));
        }
    }

    @Override
    public <V> void addListener(ReplicatedType<V> kind, ChangeListener<V> listener) {
        copy.table(kind).listen(listener);
    }

    @Override
    public int size(ReplicatedType<?> kind) {
        return copy.table(kind).size();
    }

    @Override
    public double evictionFloor(ReplicatedType<?> kind) {
        return copy.table(kind).floor();
    }

    @Override
    public double completeUpTo(double now) {
        return roster.recentlyStalled(now) || !walks.whole(now) ? Double.NEGATIVE_INFINITY : origins.certain(now);
    }

    @Override
    public long digest(ReplicatedType<?> kind, double now) {
        Table<?> table = copy.table(kind);
        table.sweep(now, settings.sweep());
        return table.tree.sum(0, 0);
    }

    @Override
    public Map<Integer, Function<FieldReader, ? extends Message>> messageReaders() {
        return Word.readers();
    }

    @Override
    public void onMessage(Peer from, Message part, double now, Outbox out) {
        if (part instanceof Word.News news) {
            news(from, news, now);
        } else if (part instanceof Word.Entries entries) {
            walks.heard(from, entries, entries(from, entries, now), now, out);
        } else if (part instanceof Word.Pairs pairs) {
            pairs.pairs().forEach(pair -> origins.told(pair, now));
            walks.heard(from, pairs, true, now, out);
        } else if (part instanceof Word.Roots || part instanceof Word.Node) {
            walks.heard(from, (Word) part, true, now, out);
        } else if (part instanceof Word question) {
            answers.asked(from, question, () -> walks.whole(now), now, out);
        }
        tellUrgent(now, out);
    }

    private void news(Peer from, Word.News news, double now) {
        news.entries().forEach(told -> told(from, told, now));
        origins.told(new Word.Pair(Keys.id(from.member()), news.count(), news.asOf()), now);
    }

    private void told(Peer from, Word.Told told, double now) {
        Table<?> table = copy.table(told.kind());
        if (table == null) {
            // Nothing is missing here: this release would not keep it.
            counts.unknownKinds++;
            fresh(told.tags(), now);
            return;
        }
        long hash = Keys.hash(told.key());
        Fate fate = copy.take(from.member(), table, told.key(), hash, told.value(), now);
        int fresh = fate.settled() ? fresh(told.tags(), now) : 0;
        if (fate == Fate.CHANGED) {
            counts.newsHeard++;
        } else {
            counts.newsAgain++;
        }
        if (fate == Fate.CHANGED || fate == Fate.SAME && fresh > 0) {
            heat(table, told.key(), hash, told.tags(), fresh, now);
        } else if (fate == Fate.SAME) {
            rumours(table).again(table, told.key(), rounds());
        }
    }

    /** Moves the tags that say something new to the front; returns how many numbers they are. */
    private int fresh(long[] tags, double now) {
        int fresh = 0;
        for (int i = 0; i + 1 < tags.length; i += 2) {
            if (origins.holds(tags[i], tags[i + 1], now)) {
                tags[fresh] = tags[i];
                tags[fresh + 1] = tags[i + 1];
                fresh += 2;
            }
        }
        return fresh;
    }

    /** Returns whether all of them are here now or rightly not. */
    private boolean entries(Peer from, Word.Entries entries, double now) {
        Table<?> table = copy.table(entries.kind());
        if (table == null) {
            counts.unknownKinds += entries.entries().size();
            return true;
        }
        copy.align(from.member(), table, Double.NEGATIVE_INFINITY, entries.floor(), now);
        boolean settled = true;
        for (Word.Entry entry : entries.entries()) {
            long hash = Keys.hash(entry.key());
            Fate fate = copy.take(from.member(), table, entry.key(), hash, entry.value(), now);
            settled &= fate.settled();
            counts.newsLate += fate == Fate.CHANGED ? 1 : 0;
            // What crosses a heal in a hurry goes on as news; the rest is for each one's own comparisons.
            if (fate == Fate.CHANGED && table.kind.urgent() && walks.whole(now)) {
                heat(table, entry.key(), hash, new long[0], 0, now);
            }
        }
        return settled;
    }

    @Override
    public double tick(double now, Outbox out) {
        if (now - lastTurn > settings.stood()) {
            walks.stood(now);
        }
        lastTurn = now;
        copy.sweep(now);
        answers.turn(() -> walks.whole(now), now, out);
        round(now, out);
        double next = walks.turn(now, out);
        pairs(now, out);
        if (now >= nextTidy) {
            nextTidy = now + TIDY;
            origins.tidy(now);
        }
        // Never longer than a round, since what is heard or put in meanwhile has its due time too.
        double latest = now + settings.round() / (answers.idle() ? 1 : 10);
        return Math.max(now, Math.min(latest, Math.min(next, nextPairs)));
    }

    private void round(double now, Outbox out) {
        tellUrgent(now, out);
        if (now >= nextRound && !(urgent.isEmpty() && usual.isEmpty())) {
            nextRound = now + settings.round();
            urgent.cool(now);
            usual.cool(now);
            tell(urgent, now, out);
            tell(usual, now, out);
        }
    }

    private void tellUrgent(double now, Outbox out) {
        if (urgentNow) {
            urgentNow = false;
            tell(urgent, now, out);
        }
    }

    private void tell(Rumours rumours, double now, Outbox out) {
        if (rumours.isEmpty() || roster.livePeers().isEmpty() || !newsAllowance.open(now)) {
            return;
        }
        List<List<Word.Told>> parts = rumours.next(settings.newsParts(), Packet.MAX_MESSAGE_BYTES - Word.FRAME, rounds());
        for (Peer peer : some()) {
            for (List<Word.Told> part : parts) {
                int bytes = Word.FRAME + part.stream().mapToInt(Word.Told::room).sum();
                newsAllowance.spend(bytes);
                counts.newsBytes += bytes;
                counts.newsSent += part.size();
                out.add(peer.address(), new Word.News(origins.count(), origins.asOf(now), part));
            }
        }
    }

    /** In how many rounds a rumour is told. */
    private int rounds() {
        return (int) Math.ceil(Math.log(roster.livePeers().size() + 1) / Math.log(settings.fanout() + 1)) + SPARE_ROUNDS;
    }

    private List<Peer> some() {
        List<Peer> others = roster.livePeers();
        if (others.size() <= settings.fanout()) {
            return others;
        }
        var out = new ArrayList<Peer>();
        while (out.size() < settings.fanout()) {
            Peer peer = others.get(random.nextInt(others.size()));
            if (!out.contains(peer)) {
                out.add(peer);
            }
        }
        return out;
    }

    private void pairs(double now, Outbox out) {
        List<Peer> others = roster.livePeers();
        if (now < nextPairs || others.isEmpty()) {
            nextPairs = others.isEmpty() ? now + settings.pairsEvery() : nextPairs;
            return;
        }
        nextPairs = now + settings.pairsEvery();
        List<Word.Pair> piece = origins.piece(Packet.MAX_MESSAGE_BYTES - Word.FRAME, now);
        counts.pairsBytes += Word.FRAME + (long) Word.TAG * piece.size();
        out.add(others.get(random.nextInt(others.size())).address(), new Word.Pairs(0, 0, now, piece));
    }
}
