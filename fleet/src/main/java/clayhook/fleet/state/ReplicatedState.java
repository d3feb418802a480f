package clayhook.fleet.state;

import clayhook.fleet.FieldReader;
import clayhook.fleet.MembershipView;
import clayhook.fleet.Message;
import clayhook.fleet.Outbox;
import clayhook.fleet.Peer;
import clayhook.fleet.ProtocolHandler;
import clayhook.fleet.ReplicatedStore;
import clayhook.fleet.ReplicatedType;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.function.Function;

/**
 * This router's replica of the values that routers share. A change is broadcast to a few members a round, a bounded
 * number of times. What that misses is found by anti-entropy: about once a second the replica compares hash trees with
 * some member. A replica that lacks much, such as that of a router that has just started, is filled by the same
 * comparison.
 *
 * <p><b>Expiry and eviction.</b> Expired values are removed and never accepted again, so nothing comes back and no
 * tombstones are needed; a router that was away for longer than a type's retention brings none of its values back. When
 * a table is full, its oldest entries are evicted, with all others of the same timestamp, and the eviction floor rises
 * to them; floors spread, and the higher one wins.
 *
 * <p><b>What {@link #completeUpTo} guarantees.</b> Of each member that may be serving according to the membership,
 * every value that it merged before that time (on this router's clock, as far as the offset was measured) was merged
 * into this replica, or is expired, about to expire, or at or below the eviction floor. That is known from the sequence
 * numbers of updates: all of them arrived by broadcast, or this replica was compared completely with one that held
 * them. It is negative infinity until this replica is bootstrapped, while this router has recently stalled, and while a
 * member may be serving whose clock is off. It guarantees nothing about
 *
 * <ul>
 *   <li>members that the membership does not know or takes for dead, though they may live beyond a partition;
 *   <li>values that are still queued before {@link #merge};
 *   <li>values of a member that restarted, if all routers that held them restarted too;
 *   <li>a router that started in a partition and met no other for {@link StateSettings#bootstrapTimeout}: it takes
 *       itself for the only one.
 * </ul>
 *
 * <p>Not thread-safe. Call {@link #tick} right after merging a value of an urgent type.
 */
public final class ReplicatedState implements ProtocolHandler, ReplicatedStore {
    /** Seconds between two removals of departed members from the version vector. */
    private static final double CLEANUP_INTERVAL_SECONDS = 5;
    /** While requests wait for bandwidth, there are so many ticks in each broadcast interval. */
    private static final int BUSY_TICKS_PER_INTERVAL = 10;

    private final MembershipView membership;
    private final StateSettings settings;
    private final StateCounters counters = new StateCounters();
    private final Replica replica;
    private final VersionVector versionVector;
    private final BootstrapStatus bootstrap;
    private final AntiEntropyScheduler antiEntropy;
    private final AntiEntropyResponder responder;
    private final DeltaBroadcaster broadcaster;
    private final RemoteUpdates remoteUpdates;
    private final VersionGossip versionGossip;
    private double lastTickAt;
    private double nextCleanupAt;

    /**
     * @param types at most 32, with distinct numbers below 256; others throw {@link IllegalArgumentException}
     * @param seed of all random choices
     * @param now seconds since 1970, as in all methods
     */
    public ReplicatedState(
            MembershipView membership, List<ReplicatedType<?>> types, StateSettings settings, long seed, double now) {
        this.membership = membership;
        this.settings = settings;
        var random = new SplittableRandom(seed);
        replica = new Replica(membership, types, settings, counters);
        versionVector = new VersionVector(membership, settings, random.nextInt(Integer.MAX_VALUE), now);
        bootstrap = new BootstrapStatus(membership, settings.bootstrapTimeout(), now);
        antiEntropy = new AntiEntropyScheduler(
                membership, replica, versionVector, bootstrap, settings, counters, random.split(), now);
        responder = new AntiEntropyResponder(replica, versionVector, bootstrap, settings, counters, now);
        broadcaster = new DeltaBroadcaster(membership, replica, versionVector, settings, counters, random, now);
        remoteUpdates = new RemoteUpdates(replica, versionVector, bootstrap, broadcaster, counters);
        versionGossip =
                new VersionGossip(membership, versionVector, counters, random, settings.versionGossipInterval(), now);
        lastTickAt = now;
    }

    /** What this replica has done since its start; to be read by the thread that calls {@link #tick}. */
    public StateCounters counters() {
        return counters;
    }

    /**
     * Whether this replica holds what the fleet held when it started; until then, absence of an entry means nothing.
     */
    public boolean isBootstrapped(double now) {
        return bootstrap.isBootstrapped(now);
    }

    // ---- store ----

    /**
     * {@inheritDoc}
     *
     * <p>Null also for a value from further in the future than clocks may be off, and for one that is too long together
     * with its key (1,000 bytes). Rejections are counted by reason.
     */
    @Override
    public <V> V merge(ReplicatedType<V> type, String key, V value, double now) {
        EntryTable<V> table = replica.table(type);
        long keyHash = StableHash.ofKey(key);
        ApplyResult result = replica.applyLocal(table, key, keyHash, value, now);
        if (result == ApplyResult.CHANGED) {
            broadcaster.enqueue(table, key, keyHash, List.of(versionVector.nextUpdate()), now);
        }
        return result.isAccepted() ? table.get(key) : null;
    }

    @Override
    public <V> V get(ReplicatedType<V> type, String key) {
        return replica.table(type).get(key);
    }

    @Override
    public <V> void forEach(ReplicatedType<V> type, BiConsumer<String, V> action) {
        EntryTable<V> table = replica.table(type);
        for (int slot = table.firstSlot(); slot >= 0; slot = table.nextSlot(slot)) {
            action.accept(table.key(slot), table.value(slot));
        }
    }

    @Override
    public <V> void addListener(ReplicatedType<V> type, ChangeListener<V> listener) {
        replica.table(type).addListener(listener);
    }

    @Override
    public int size(ReplicatedType<?> type) {
        return replica.table(type).size();
    }

    @Override
    public double evictionFloor(ReplicatedType<?> type) {
        return replica.table(type).evictionFloor();
    }

    @Override
    public double completeUpTo(double now) {
        boolean unknown = membership.recentlyStalled(now) || !isBootstrapped(now);
        return unknown ? Double.NEGATIVE_INFINITY : versionVector.completeUpTo(now);
    }

    @Override
    public long digest(ReplicatedType<?> type, double now) {
        EntryTable<?> table = replica.table(type);
        table.sweep(now, settings.maxSweptEntries());
        return table.hashTree().rootSum();
    }

    // ---- protocol ----

    @Override
    public Map<Integer, Function<FieldReader, ? extends Message>> messageReaders() {
        return StateMessage.messageReaders();
    }

    @Override
    public void onMessage(Peer from, Message message, double now, Outbox outbox) {
        if (message instanceof DeltaBroadcast broadcast) {
            remoteUpdates.applyBroadcast(from, broadcast, now);
        } else if (message instanceof AntiEntropyRequest request) {
            responder.onRequest(from, request, now, outbox);
        } else if (message instanceof AntiEntropyResponse response) {
            boolean settled = remoteUpdates.applyResponse(from, response, now);
            antiEntropy.onResponse(from, response, settled, now, outbox);
        }
        broadcaster.broadcastUrgent(now, outbox);
    }

    @Override
    public double tick(double now, Outbox outbox) {
        if (now - lastTickAt > settings.stallThreshold()) {
            antiEntropy.onStall(now);
        }
        lastTickAt = now;
        replica.sweep(now);
        responder.tick(now, outbox);
        broadcaster.tick(now, outbox);
        double nextSessionTick = antiEntropy.tick(now, outbox);
        versionGossip.tick(now, outbox);
        if (now >= nextCleanupAt) {
            nextCleanupAt = now + CLEANUP_INTERVAL_SECONDS;
            versionVector.removeDeparted(now);
        }
        // At most one interval, since what is received or merged until then must be broadcast in time too.
        double latest = now + settings.broadcastInterval() / (responder.isIdle() ? 1 : BUSY_TICKS_PER_INTERVAL);
        return Math.max(now, Math.min(latest, Math.min(nextSessionTick, versionGossip.nextAt())));
    }
}
