package clayhook.fleet.members;

import clayhook.fleet.Address;
import clayhook.fleet.Outbox;
import clayhook.fleet.Peer;
import java.util.Collection;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Sends this router's pings, acks and gossip, and holds this router's claim on itself. Pings and acks identify the
 * sender and are accompanied by queued broadcasts. Not thread-safe.
 */
final class MessageSender {
    /**
     * Maximum size of the broadcasts in one message. With ten gossip rounds per second to three members each, this
     * limits gossip to 20 KB per second.
     */
    private static final int MAX_BROADCAST_BYTES = 600;
    /**
     * Number of members to which the announcement that this router leaves is sent immediately, since its process may
     * end before the next gossip round.
     */
    private static final int LEAVE_FANOUT = 12;

    private final MembershipSettings settings;
    private final MembershipTable table;
    private final BroadcastQueue broadcasts;
    private MemberClaim ownClaim;
    private long nextSequence;
    private double nextGossipAt = Double.NEGATIVE_INFINITY;

    MessageSender(
            Peer self,
            MembershipSettings settings,
            MembershipTable table,
            BroadcastQueue broadcasts,
            SplittableRandom random) {
        this.settings = settings;
        this.table = table;
        this.broadcasts = broadcasts;
        ownClaim = MemberClaim.alive(self, 0);
        // The random first number prevents a restarted router from accepting acks to pings of its previous incarnation.
        nextSequence = random.nextInt(Integer.MAX_VALUE);
        table.setOwnClaim(ownClaim);
    }

    MemberClaim ownClaim() {
        return ownClaim;
    }

    /** Returns whether this router has left the fleet, which is final for its incarnation. */
    boolean hasLeft() {
        return ownClaim.status() == MemberStatus.LEFT;
    }

    /**
     * Refutes a claim on this router's incarnation if it supersedes this router's claim on itself. Returns false if
     * there is nothing to refute or this router has left.
     */
    boolean refuteIfNeeded(MemberClaim claim, double now) {
        if (hasLeft() || !claim.supersedes(ownClaim) || claim.status() == MemberStatus.LEFT) {
            return false;
        }
        announce(MemberClaim.alive(ownClaim.peer(), claim.refutationCount() + 1), now);
        return true;
    }

    private void announce(MemberClaim claim, double now) {
        ownClaim = claim;
        table.setOwnClaim(ownClaim);
        broadcasts.enqueue(ownClaim, now);
    }

    /**
     * Announces that this router leaves the fleet, and sends the announcement to some members immediately. Further
     * calls have no effect.
     */
    void leave(double now, Outbox out) {
        if (!hasLeft()) {
            announce(ownClaim.withStatus(MemberStatus.LEFT, List.of()), now);
            sendBroadcasts(table.randomMembers(LEAVE_FANOUT, null), now, out);
        }
    }

    /** Returns the next sequence number for a ping. */
    long nextSequence() {
        return nextSequence++;
    }

    /**
     * Sends a ping, accompanied by queued broadcasts.
     *
     * @param record the record of the receiver, or null if the receiver is unknown; its claim is sent along if the
     *     status is other than alive, so that the receiver can refute it
     */
    void sendPing(Address to, MemberRecord record, long sequence, double now, Outbox out) {
        out.add(
                to,
                new MembershipMessage.Ping(
                        sequence, now, table.digest(), ownClaim.peer().address(), ownClaim.refutationCount()));
        if (record != null && record.claim.status() != MemberStatus.ALIVE) {
            sendClaim(to, record.claim, out);
        }
        sendBroadcasts(to, now, out);
    }

    /** Sends the ack to a ping, accompanied by queued broadcasts. */
    void sendAck(Address to, MembershipMessage.Ping ping, double now, Outbox out) {
        out.add(
                to,
                new MembershipMessage.Ack(
                        ping.sequence(),
                        ping.sentAt(),
                        now,
                        table.digest(),
                        ownClaim.peer().address(),
                        ownClaim.refutationCount()));
        sendBroadcasts(to, now, out);
    }

    /** Sends one claim to one router. */
    void sendClaim(Address to, MemberClaim claim, Outbox out) {
        out.add(to, new MembershipMessage.ClaimBroadcast(List.of(claim)));
    }

    private void sendBroadcasts(Address to, double now, Outbox out) {
        if (broadcasts.isEmpty()) {
            return;
        }
        List<MemberClaim> claims = broadcasts.select(MAX_BROADCAST_BYTES, 1 + table.liveCount(), now);
        if (!claims.isEmpty()) {
            out.add(to, new MembershipMessage.ClaimBroadcast(claims));
        }
    }

    private void sendBroadcasts(Collection<MemberRecord> members, double now, Outbox out) {
        members.forEach(member -> sendBroadcasts(member.peer().address(), now, out));
    }

    /**
     * Runs a gossip round for the queued broadcasts if one is due. Returns when the next round is due, in seconds since
     * 1970; infinity if there is nothing to gossip.
     */
    double gossip(double now, Outbox out) {
        if (now >= nextGossipAt && canGossip()) {
            sendBroadcasts(table.randomMembers(settings.gossipFanout(), null), now, out);
            nextGossipAt = now + settings.gossipInterval();
        }
        return canGossip() ? Math.max(now, nextGossipAt) : Double.POSITIVE_INFINITY;
    }

    private boolean canGossip() {
        return !broadcasts.isEmpty() && table.liveCount() > 0;
    }
}
