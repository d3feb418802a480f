package clayhook.fleet.state;

import clayhook.fleet.FieldReader;
import clayhook.fleet.MembershipView;
import clayhook.fleet.Message;
import clayhook.fleet.Outbox;
import clayhook.fleet.Packet;
import clayhook.fleet.Peer;
import clayhook.fleet.ProtocolHandler;
import clayhook.fleet.ReplicatedStore;
import clayhook.fleet.ReplicatedType;
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
 * cut off from all others and found nobody for {@link StateSettings#bootstrapTimeout}, which holds itself for the only
 * one. It is negative infinity on the safe side: until someone brought this copy up, while this router doubts itself,
 * and while a member may serve whose clock is off.
 *
 * <p>For one thread. Take a turn at once after putting in a value of an urgent kind.
 */
public final class ReplicatedState implements ProtocolHandler, ReplicatedStore {
    /** Seconds between two times at which members that went are forgotten. */
    private static final double CLEANUP_INTERVAL_SECONDS = 5;
    /** Rounds beyond those in which everyone would hear if no word were lost or wasted. */
    private static final int EXTRA_ROUNDS = 2;

    private final MembershipView roster;
    private final StateSettings settings;
    private final SplittableRandom random;
    private final StateCounters counters = new StateCounters();
    private final Replica replica;
    private final VersionVector versionVector;
    private final AntiEntropyScheduler antiEntropy;
    private final AntiEntropyResponder responder;
    private final TokenBucket broadcastBudget;
    private final DeltaBroadcastQueue urgentDeltas;
    private final DeltaBroadcastQueue regularDeltas;
    private boolean urgentPending;
    private double lastTickAt;
    private double nextBroadcastAt;
    private double nextVersionGossipAt;
    private double nextCleanupAt;

    /** @param kinds at most 32, numbers below 256 */
    public ReplicatedState(
            MembershipView roster, List<ReplicatedType<?>> kinds, StateSettings settings, long seed, double now) {
        this.roster = roster;
        this.settings = settings;
        random = new SplittableRandom(seed);
        replica = new Replica(roster, kinds, settings, counters);
        versionVector = new VersionVector(roster, settings, random.nextInt(Integer.MAX_VALUE), now);
        antiEntropy = new AntiEntropyScheduler(roster, replica, versionVector, settings, counters, random.split(), now);
        responder = new AntiEntropyResponder(replica, versionVector, settings, counters, now);
        broadcastBudget = new TokenBucket(settings.broadcastBytesPerSecond(), now);
        urgentDeltas = new DeltaBroadcastQueue(replica.tables(true), settings, counters);
        regularDeltas = new DeltaBroadcastQueue(replica.tables(false), settings, counters);
        lastTickAt = now;
        nextVersionGossipAt = now + settings.versionGossipInterval() * random.nextDouble();
    }

    public StateCounters counters() {
        return counters;
    }

    /** Whether this copy was brought up since the start; until then absence is ignorance. */
    public boolean isBootstrapped(double now) {
        return antiEntropy.isBootstrapped(now);
    }

    /**
     * {@inheritDoc}
     *
     * <p>Null also for a value from the future beyond the clocks' bound, and for one that is too long with its key
     * (1,000 bytes together); counted by reason.
     */
    @Override
    public <V> V merge(ReplicatedType<V> kind, String key, V value, double now) {
        EntryTable<V> table = replica.table(kind);
        long hash = StableHash.ofKey(key);
        ApplyResult fate = replica.countRejection(table.merge(key, hash, value, now));
        if (fate == ApplyResult.CHANGED) {
            enqueueDelta(table, key, hash, new long[] {versionVector.selfId(), versionVector.nextSequence()}, 2, now);
        }
        return fate.isAccepted() ? table.get(key) : null;
    }

    private void enqueueDelta(EntryTable<?> table, String key, long hash, long[] tags, int tagged, double now) {
        deltaQueue(table).enqueue(table, key, hash, tags, tagged, now);
        urgentPending |= table.type.urgent();
    }

    private DeltaBroadcastQueue deltaQueue(EntryTable<?> table) {
        return table.type.urgent() ? urgentDeltas : regularDeltas;
    }

    @Override
    public <V> V get(ReplicatedType<V> kind, String key) {
        return replica.table(kind).get(key);
    }

    @Override
    public <V> void forEach(ReplicatedType<V> kind, BiConsumer<String, V> to) {
        EntryTable<V> table = replica.table(kind);
        for (int slot = table.firstSlotFrom(0); slot >= 0; slot = table.slotAfter(slot)) {
            to.accept(table.key(slot), table.value(slot));
        }
    }

    @Override
    public <V> void addListener(ReplicatedType<V> kind, ChangeListener<V> listener) {
        replica.table(kind).addListener(listener);
    }

    @Override
    public int size(ReplicatedType<?> kind) {
        return replica.table(kind).size();
    }

    @Override
    public double evictionFloor(ReplicatedType<?> kind) {
        return replica.table(kind).evictionFloor();
    }

    @Override
    public double completeUpTo(double now) {
        return roster.recentlyStalled(now) || !antiEntropy.isBootstrapped(now)
                ? Double.NEGATIVE_INFINITY
                : versionVector.completeUpTo(now);
    }

    @Override
    public long digest(ReplicatedType<?> kind, double now) {
        EntryTable<?> table = replica.table(kind);
        table.sweep(now, settings.maxSweptEntries());
        return table.hashTree.hashSum(0, 0);
    }

    @Override
    public Map<Integer, Function<FieldReader, ? extends Message>> messageReaders() {
        return StateMessage.messageReaders();
    }

    @Override
    public void onMessage(Peer from, Message part, double now, Outbox out) {
        if (part instanceof StateMessage.DeltaBroadcast news) {
            applyBroadcast(from, news, now);
        } else if (part instanceof StateMessage.RangeEntries entries) {
            antiEntropy.onResponse(from, entries, applyRange(from, entries, now), now, out);
        } else if (part instanceof StateMessage.VersionVectorUpdate pairs) {
            pairs.versions().forEach(pair -> versionVector.observe(pair, now));
            antiEntropy.onResponse(from, pairs, true, now, out);
        } else if (part instanceof StateMessage.RootDigestsResponse || part instanceof StateMessage.TreeNodeResponse) {
            antiEntropy.onResponse(from, (StateMessage) part, true, now, out);
        } else if (part instanceof StateMessage question) {
            responder.onRequest(from, question, () -> antiEntropy.isBootstrapped(now), now, out);
        }
        broadcastUrgent(now, out);
    }

    private void applyBroadcast(Peer from, StateMessage.DeltaBroadcast news, double now) {
        news.entries().forEach(told -> applyDelta(from, told, now));
        versionVector.observe(
                new StateMessage.OriginVersion(StableHash.ofMember(from.member()), news.sequence(), news.asOf()), now);
    }

    private void applyDelta(Peer from, StateMessage.DeltaEntry told, double now) {
        EntryTable<?> table = replica.table(told.replicatedType());
        if (table == null) {
            // Nothing is missing here: this release would not keep it.
            counters.unknownTypes++;
            keepNewUpdates(told.updateIds(), now);
            return;
        }
        long hash = StableHash.ofKey(told.key());
        ApplyResult fate = replica.applyRemote(from.member(), table, told.key(), hash, told.value(), now);
        int fresh = fate.isSettled() ? keepNewUpdates(told.updateIds(), now) : 0;
        if (fate == ApplyResult.CHANGED) {
            counters.deltasApplied++;
        } else {
            counters.duplicateDeltas++;
        }
        if (fate == ApplyResult.CHANGED || fate == ApplyResult.UNCHANGED && fresh > 0) {
            enqueueDelta(table, told.key(), hash, told.updateIds(), fresh, now);
        } else if (fate == ApplyResult.UNCHANGED) {
            deltaQueue(table).onDuplicate(table, told.key(), broadcastRounds());
        }
    }

    /** Moves the tags that say something new to the front; returns how many numbers they are. */
    private int keepNewUpdates(long[] tags, double now) {
        int fresh = 0;
        for (int i = 0; i + 1 < tags.length; i += 2) {
            if (versionVector.markReceived(tags[i], tags[i + 1], now)) {
                tags[fresh] = tags[i];
                tags[fresh + 1] = tags[i + 1];
                fresh += 2;
            }
        }
        return fresh;
    }

    /** Returns whether all of them are here now or rightly not. */
    private boolean applyRange(Peer from, StateMessage.RangeEntries entries, double now) {
        EntryTable<?> table = replica.table(entries.replicatedType());
        if (table == null) {
            counters.unknownTypes += entries.entries().size();
            return true;
        }
        replica.adoptBounds(from.member(), table, Double.NEGATIVE_INFINITY, entries.evictionFloor(), now);
        boolean settled = true;
        for (StateMessage.RangeEntry entry : entries.entries()) {
            long hash = StableHash.ofKey(entry.key());
            ApplyResult fate = replica.applyRemote(from.member(), table, entry.key(), hash, entry.value(), now);
            settled &= fate.isSettled();
            counters.antiEntropyRepairs += fate == ApplyResult.CHANGED ? 1 : 0;
            // What crosses a heal in a hurry goes on as news; the rest is for each one's own comparisons.
            if (fate == ApplyResult.CHANGED && table.type.urgent() && antiEntropy.isBootstrapped(now)) {
                enqueueDelta(table, entry.key(), hash, new long[0], 0, now);
            }
        }
        return settled;
    }

    @Override
    public double tick(double now, Outbox out) {
        if (now - lastTickAt > settings.stallThreshold()) {
            antiEntropy.onStall(now);
        }
        lastTickAt = now;
        replica.sweep(now);
        responder.tick(() -> antiEntropy.isBootstrapped(now), now, out);
        broadcastRound(now, out);
        double next = antiEntropy.tick(now, out);
        gossipVersions(now, out);
        if (now >= nextCleanupAt) {
            nextCleanupAt = now + CLEANUP_INTERVAL_SECONDS;
            versionVector.removeDeparted(now);
        }
        // Never longer than a round, since what is heard or put in meanwhile has its due time too.
        double latest = now + settings.broadcastInterval() / (responder.isIdle() ? 1 : 10);
        return Math.max(now, Math.min(latest, Math.min(next, nextVersionGossipAt)));
    }

    private void broadcastRound(double now, Outbox out) {
        broadcastUrgent(now, out);
        if (now >= nextBroadcastAt && !(urgentDeltas.isEmpty() && regularDeltas.isEmpty())) {
            nextBroadcastAt = now + settings.broadcastInterval();
            urgentDeltas.expire(now);
            regularDeltas.expire(now);
            broadcast(urgentDeltas, now, out);
            broadcast(regularDeltas, now, out);
        }
    }

    private void broadcastUrgent(double now, Outbox out) {
        if (urgentPending) {
            urgentPending = false;
            broadcast(urgentDeltas, now, out);
        }
    }

    private void broadcast(DeltaBroadcastQueue rumours, double now, Outbox out) {
        if (rumours.isEmpty() || roster.livePeers().isEmpty() || !broadcastBudget.hasTokens(now)) {
            return;
        }
        List<List<StateMessage.DeltaEntry>> parts = rumours.nextBatches(
                settings.maxMessagesPerRound(),
                Packet.MAX_MESSAGE_BYTES - StateMessage.HEADER_BYTES,
                broadcastRounds());
        for (Peer peer : randomPeers()) {
            for (List<StateMessage.DeltaEntry> part : parts) {
                int bytes = StateMessage.HEADER_BYTES
                        + part.stream()
                                .mapToInt(StateMessage.DeltaEntry::maxEncodedBytes)
                                .sum();
                broadcastBudget.consume(bytes);
                counters.deltaBytes += bytes;
                counters.deltasSent += part.size();
                out.add(
                        peer.address(),
                        new StateMessage.DeltaBroadcast(versionVector.lastSequence(), versionVector.asOf(now), part));
            }
        }
    }

    /** In how many rounds a rumour is told. */
    private int broadcastRounds() {
        return (int) Math.ceil(Math.log(roster.livePeers().size() + 1) / Math.log(settings.fanout() + 1))
                + EXTRA_ROUNDS;
    }

    private List<Peer> randomPeers() {
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

    private void gossipVersions(double now, Outbox out) {
        List<Peer> others = roster.livePeers();
        if (now < nextVersionGossipAt || others.isEmpty()) {
            nextVersionGossipAt = others.isEmpty() ? now + settings.versionGossipInterval() : nextVersionGossipAt;
            return;
        }
        nextVersionGossipAt = now + settings.versionGossipInterval();
        List<StateMessage.OriginVersion> piece =
                versionVector.nextGossipSlice(Packet.MAX_MESSAGE_BYTES - StateMessage.HEADER_BYTES, now);
        counters.versionGossipBytes += StateMessage.HEADER_BYTES + (long) StateMessage.NUMBER_PAIR_BYTES * piece.size();
        out.add(
                others.get(random.nextInt(others.size())).address(),
                new StateMessage.VersionVectorUpdate(0, 0, now, piece));
    }
}
