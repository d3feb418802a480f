package clayhook.fleet.state;

import clayhook.fleet.MembershipView;
import clayhook.fleet.Outbox;
import clayhook.fleet.Packet;
import clayhook.fleet.Peer;
import clayhook.fleet.state.DeltaBroadcast.DeltaEntry;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Broadcasts changed entries with an epidemic protocol: each round sends them to a few random members, and the number
 * of rounds is chosen so that all members receive a change with high probability. Entries of urgent types are sent
 * immediately. Not thread-safe.
 */
final class DeltaBroadcaster {
    /**
     * Number of rounds in addition to those that would reach all members if no message were lost or sent to a member
     * that already has the change.
     */
    private static final int EXTRA_ROUNDS = 2;

    private static final int MAX_BATCH_BYTES = Packet.MAX_MESSAGE_BYTES - EncodedSizes.HEADER_BYTES;

    private final MembershipView membership;
    private final VersionVector versionVector;
    private final StateSettings settings;
    private final StateCounters counters;
    private final SplittableRandom random;
    private final TokenBucket byteBudget;
    private final DeltaBroadcastQueue urgentDeltas;
    private final DeltaBroadcastQueue regularDeltas;
    /** Whether entries of urgent types were queued since the last broadcast of these types. */
    private boolean urgentPending;

    private double nextRoundAt;

    DeltaBroadcaster(
            MembershipView membership,
            Replica replica,
            VersionVector versionVector,
            StateSettings settings,
            StateCounters counters,
            SplittableRandom random,
            double now) {
        this.membership = membership;
        this.versionVector = versionVector;
        this.settings = settings;
        this.counters = counters;
        this.random = random;
        byteBudget = new TokenBucket(settings.broadcastBytesPerSecond(), now);
        urgentDeltas = new DeltaBroadcastQueue(replica.tables(true), settings, counters);
        regularDeltas = new DeltaBroadcastQueue(replica.tables(false), settings, counters);
    }

    /** Queues a changed entry for broadcast, see {@link DeltaBroadcastQueue#enqueue}. */
    void enqueue(EntryTable<?> table, String key, long keyHash, List<UpdateId> newUpdates, double now) {
        queueOf(table).enqueue(table, key, keyHash, newUpdates, now);
        urgentPending |= table.type.urgent();
    }

    /**
     * Counts a round for an entry of which another member broadcast the same value, so that this router broadcasts it
     * once less.
     */
    void onDuplicate(EntryTable<?> table, String key) {
        queueOf(table).onDuplicate(table, key, roundsPerDelta());
    }

    private DeltaBroadcastQueue queueOf(EntryTable<?> table) {
        return table.type.urgent() ? urgentDeltas : regularDeltas;
    }

    /** Broadcasts newly queued entries of urgent types, and starts the next round if it is due. */
    void tick(double now, Outbox outbox) {
        broadcastUrgent(now, outbox);
        if (now >= nextRoundAt && !(urgentDeltas.isEmpty() && regularDeltas.isEmpty())) {
            nextRoundAt = now + settings.broadcastInterval();
            urgentDeltas.removeExpired(now);
            regularDeltas.removeExpired(now);
            broadcast(urgentDeltas, now, outbox);
            broadcast(regularDeltas, now, outbox);
        }
    }

    /** Broadcasts entries of urgent types if any were queued since the last broadcast of these types. */
    void broadcastUrgent(double now, Outbox outbox) {
        if (urgentPending) {
            urgentPending = false;
            broadcast(urgentDeltas, now, outbox);
        }
    }

    private void broadcast(DeltaBroadcastQueue deltas, double now, Outbox outbox) {
        if (deltas.isEmpty() || membership.livePeers().isEmpty() || !byteBudget.hasTokens(now)) {
            return;
        }
        List<List<DeltaEntry>> batches =
                deltas.nextBatches(settings.maxMessagesPerRound(), MAX_BATCH_BYTES, roundsPerDelta());
        List<DeltaBroadcast> messages = batches.stream()
                .map(batch -> new DeltaBroadcast(versionVector.lastSequence(), versionVector.asOf(now), batch))
                .toList();
        int[] sizes =
                messages.stream().mapToInt(DeltaBroadcast::maxEncodedBytes).toArray();
        for (Peer peer : randomPeers()) {
            for (int i = 0; i < sizes.length; i++) {
                byteBudget.consume(sizes[i]);
                counters.deltaBytes += sizes[i];
                counters.deltasSent += messages.get(i).entries().size();
                outbox.add(peer.address(), messages.get(i));
            }
        }
    }

    /**
     * Returns the number of rounds in which each change is broadcast. Each round multiplies the number of members that
     * have the change by at most fanout + 1.
     */
    private int roundsPerDelta() {
        double members = membership.livePeers().size() + 1;
        return (int) Math.ceil(Math.log(members) / Math.log(settings.fanout() + 1)) + EXTRA_ROUNDS;
    }

    private List<Peer> randomPeers() {
        List<Peer> peers = membership.livePeers();
        if (peers.size() <= settings.fanout()) {
            return peers;
        }
        var chosen = new ArrayList<Peer>();
        while (chosen.size() < settings.fanout()) {
            Peer peer = peers.get(random.nextInt(peers.size()));
            if (!chosen.contains(peer)) {
                chosen.add(peer);
            }
        }
        return chosen;
    }
}
