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
 * This router's replica of the values that routers share. Changes are broadcast to a few members per round, in a
 * bounded number of rounds. Anti-entropy repairs what broadcasts miss: about once a second the replica compares its
 * hash trees with those of a member. The same comparison fills a replica that lacks many entries, such as that of a
 * router that has just started.
 *
 * <p><b>Expiry and eviction.</b> Expired values are removed and never accepted again, so that removed values cannot be
 * replicated back and no tombstones are needed. This also holds for the values of a router that was unreachable for
 * longer than the retention of a type. When a table is full, its oldest entries are evicted together with all entries
 * of the same timestamp, and the eviction floor is raised to this timestamp. Eviction floors are replicated; the
 * highest one applies.
 *
 * <p><b>What {@link #completeUpTo} guarantees.</b> The guarantee covers every value that a member merged before the
 * returned time (on this router's clock, as far as the clock offset was measured), for each member that may be serving
 * according to the membership. Each such value was merged into this replica, has expired, expires soon, or is at or
 * below the eviction floor. The guarantee is based on the sequence numbers of updates: all of them were received by
 * broadcast, or this replica was compared completely with one that had them. The time is negative infinity until this
 * replica is bootstrapped, while this router has recently stalled, and while the clock of a member that may be serving
 * is off by more than the bound. The guarantee does not cover
 *
 * <ul>
 *   <li>members that the membership does not list or considers dead, although they may be alive on the other side of a
 *       partition;
 *   <li>values for which {@link #merge} was not called yet, such as queued ones;
 *   <li>values of a restarted member, if all routers that had them restarted too;
 *   <li>a router that started in a partition and found no other router within {@link StateSettings#bootstrapTimeout}:
 *       it assumes that it is the only one.
 * </ul>
 *
 * <p>Not thread-safe. Call {@link #tick} directly after merging a value of an urgent type, so that it is broadcast
 * immediately.
 */
public final class ReplicatedState implements ProtocolHandler, ReplicatedStore {
    /** Time in seconds between two removals of departed members from the version vector. */
    private static final double CLEANUP_INTERVAL_SECONDS = 5;
    /** Number of ticks per broadcast interval while requests of other members wait for bandwidth. */
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
    private final RemoteUpdateApplier remoteUpdateApplier;
    private final VersionGossip versionGossip;
    private double lastTickAt;
    private double nextCleanupAt;

    /**
     * @param types replicated types; throws {@link IllegalArgumentException} if there are more than 32 or their numbers
     *     are not distinct and below 256
     * @param seed seed of all random choices
     * @param now current time in seconds since 1970, as in all methods
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
        remoteUpdateApplier = new RemoteUpdateApplier(replica, versionVector, bootstrap, broadcaster, counters);
        versionGossip =
                new VersionGossip(membership, versionVector, counters, random, settings.versionGossipInterval(), now);
        lastTickAt = now;
    }

    /** The counters of this replica since its start; they must be read by the thread that calls {@link #tick}. */
    public StateCounters counters() {
        return counters;
    }

    /**
     * Whether this replica has the entries that the fleet had when it started. Before that, the absence of an entry
     * does not imply that it was never written.
     */
    public boolean isBootstrapped(double now) {
        return bootstrap.isBootstrapped(now);
    }

    // ---- store ----

    /**
     * {@inheritDoc}
     *
     * <p>Also returns null for a value whose timestamp is further in the future than the maximum clock skew, and for a
     * value that exceeds 1,000 bytes together with its key. Rejections are counted by reason.
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
            remoteUpdateApplier.applyBroadcast(from, broadcast, now);
        } else if (message instanceof AntiEntropyRequest request) {
            responder.onRequest(from, request, now, outbox);
        } else if (message instanceof AntiEntropyResponse response) {
            boolean allAcceptedOrObsolete = remoteUpdateApplier.applyResponse(from, response, now);
            antiEntropy.onResponse(from, response, allAcceptedOrObsolete, now, outbox);
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
        // The next tick is at most one broadcast interval away,
        // since values that are received or merged before it must be broadcast in time too.
        double latest = now + settings.broadcastInterval() / (responder.isIdle() ? 1 : BUSY_TICKS_PER_INTERVAL);
        return Math.max(now, Math.min(latest, Math.min(nextSessionTick, versionGossip.nextAt())));
    }
}
