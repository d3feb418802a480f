package clayhook.fleet.state;

import clayhook.fleet.Peer;
import clayhook.fleet.state.AntiEntropyResponse.RangeEntries;
import clayhook.fleet.state.AntiEntropyResponse.RangeEntry;
import clayhook.fleet.state.AntiEntropyResponse.VersionVectorUpdate;
import clayhook.fleet.state.DeltaBroadcast.DeltaEntry;
import java.util.ArrayList;
import java.util.List;

/**
 * Applies entries and versions received from other members to the replica and the version vector, and queues changed
 * entries for further broadcast. Not thread-safe.
 */
final class RemoteUpdateApplier {
    private final Replica replica;
    private final VersionVector versionVector;
    private final BootstrapStatus bootstrap;
    private final DeltaBroadcaster broadcaster;
    private final StateCounters counters;

    RemoteUpdateApplier(
            Replica replica,
            VersionVector versionVector,
            BootstrapStatus bootstrap,
            DeltaBroadcaster broadcaster,
            StateCounters counters) {
        this.replica = replica;
        this.versionVector = versionVector;
        this.bootstrap = bootstrap;
        this.broadcaster = broadcaster;
        this.counters = counters;
    }

    void applyBroadcast(Peer from, DeltaBroadcast broadcast, double now) {
        broadcast.entries().forEach(entry -> applyDelta(from, entry, now));
        long originId = StableHash.ofMember(from.member());
        versionVector.observe(new OriginVersion(originId, broadcast.sequence(), broadcast.asOf()), now);
    }

    private void applyDelta(Peer from, DeltaEntry delta, double now) {
        EntryTable<?> table = replica.table(delta.replicatedType());
        if (table == null) {
            // The updates count as received, since this release does not store entries of the type.
            counters.unknownTypes++;
            markReceived(delta.updateIds(), now);
            return;
        }
        long keyHash = StableHash.ofKey(delta.key());
        ApplyResult result = replica.applyRemote(from.member(), table, delta.key(), keyHash, delta.value(), now);
        List<UpdateId> newUpdates = result.isAcceptedOrObsolete() ? markReceived(delta.updateIds(), now) : List.of();
        if (result == ApplyResult.CHANGED) {
            counters.deltasApplied++;
            broadcaster.enqueue(table, delta.key(), keyHash, newUpdates, now);
            return;
        }
        counters.duplicateDeltas++;
        if (result == ApplyResult.UNCHANGED && newUpdates.isEmpty()) {
            broadcaster.onDuplicate(table, delta.key());
        } else if (result == ApplyResult.UNCHANGED) {
            broadcaster.enqueue(table, delta.key(), keyHash, newUpdates, now);
        }
    }

    /** Records updates as received. Returns those that were missing before. */
    private List<UpdateId> markReceived(List<UpdateId> updates, double now) {
        var missing = new ArrayList<UpdateId>(updates.size());
        for (UpdateId update : updates) {
            if (versionVector.markReceived(update, now)) {
                missing.add(update);
            }
        }
        return missing;
    }

    /**
     * Applies the entries or versions of an anti-entropy response, whether or not its session is still active.
     *
     * @return whether each entry of the response is in the replica now, has expired or is at or below the eviction
     *     floor
     */
    boolean applyResponse(Peer from, AntiEntropyResponse response, double now) {
        if (response instanceof RangeEntries range) {
            return applyRange(from, range, now);
        }
        if (response instanceof VersionVectorUpdate update) {
            update.versions().forEach(version -> versionVector.observe(version, now));
        }
        return true;
    }

    private boolean applyRange(Peer from, RangeEntries range, double now) {
        EntryTable<?> table = replica.table(range.replicatedType());
        if (table == null) {
            counters.unknownTypes += range.entries().size();
            return true;
        }
        replica.adoptBounds(from.member(), table, Double.NEGATIVE_INFINITY, range.evictionFloor(), now);
        boolean allAcceptedOrObsolete = true;
        for (RangeEntry entry : range.entries()) {
            allAcceptedOrObsolete &= applyRangeEntry(from, table, entry, now).isAcceptedOrObsolete();
        }
        return allAcceptedOrObsolete;
    }

    private ApplyResult applyRangeEntry(Peer from, EntryTable<?> table, RangeEntry entry, double now) {
        long keyHash = StableHash.ofKey(entry.key());
        ApplyResult result = replica.applyRemote(from.member(), table, entry.key(), keyHash, entry.value(), now);
        if (result == ApplyResult.CHANGED) {
            counters.antiEntropyRepairs++;
            // Urgent entries found by anti-entropy, such as after a healed partition, are broadcast immediately.
            // All other entries are left to the anti-entropy sessions of the other members.
            if (table.type.urgent() && bootstrap.isBootstrapped(now)) {
                broadcaster.enqueue(table, entry.key(), keyHash, List.of(), now);
            }
        }
        return result;
    }
}
