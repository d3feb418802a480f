package clayhook.fleet.state;

import clayhook.fleet.MembershipView;
import clayhook.fleet.Outbox;
import clayhook.fleet.Packet;
import clayhook.fleet.Peer;
import clayhook.fleet.state.AntiEntropyResponse.VersionVectorUpdate;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Sends a part of the version vector to a random member at regular intervals. Consecutive messages cover the origins in
 * turn. Not thread-safe.
 */
final class VersionGossip {
    private static final int MAX_VERSIONS_BYTES = Packet.MAX_MESSAGE_BYTES - EncodedSizes.HEADER_BYTES;

    private final MembershipView membership;
    private final VersionVector versionVector;
    private final StateCounters counters;
    private final SplittableRandom random;
    private final double interval;
    private double nextAt;

    /** @param interval time between two messages in seconds; the first message is sent after a random part of it */
    VersionGossip(
            MembershipView membership,
            VersionVector versionVector,
            StateCounters counters,
            SplittableRandom random,
            double interval,
            double now) {
        this.membership = membership;
        this.versionVector = versionVector;
        this.counters = counters;
        this.random = random;
        this.interval = interval;
        nextAt = now + interval * random.nextDouble();
    }

    /** The time at which the next message is due, in seconds since 1970. */
    double nextAt() {
        return nextAt;
    }

    void tick(double now, Outbox outbox) {
        List<Peer> peers = membership.livePeers();
        if (peers.isEmpty()) {
            nextAt = now + interval;
        } else if (now >= nextAt) {
            nextAt = now + interval;
            send(peers, now, outbox);
        }
    }

    private void send(List<Peer> peers, double now, Outbox outbox) {
        List<OriginVersion> versions = versionVector.nextGossipSlice(MAX_VERSIONS_BYTES, now);
        var message = VersionVectorUpdate.unsolicited(now, versions);
        counters.versionGossipBytes += message.maxEncodedBytes();
        Peer peer = peers.get(random.nextInt(peers.size()));
        outbox.add(peer.address(), message);
    }
}
