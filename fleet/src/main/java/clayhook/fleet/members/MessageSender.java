package clayhook.fleet.members;

import clayhook.fleet.Address;
import clayhook.fleet.Outbox;
import clayhook.fleet.Peer;
import java.util.Collection;
import java.util.List;
import java.util.SplittableRandom;

/** How this router speaks: whatever it says tells who it is, and takes news along. */
final class MessageSender {
    /** Bytes of news in one packet; with ten rounds a second to three members this bounds news to 20 KB a second. */
    private static final int MAX_BROADCAST_BYTES = 600;
    /** Members told at once when this router leaves, for its process may end before the next round. */
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
            MembershipTable register,
            BroadcastQueue rumours,
            SplittableRandom chance) {
        this.settings = settings;
        this.table = register;
        this.broadcasts = rumours;
        ownClaim = MemberClaim.alive(self, 0);
        nextSequence =
                chance.nextInt(Integer.MAX_VALUE); // a younger life does not take answers for those to its own probes
        register.setOwnClaim(ownClaim);
    }

    MemberClaim ownClaim() {
        return ownClaim;
    }

    boolean hasLeft() {
        return ownClaim.status() == MemberStatus.LEFT;
    }

    /**
     * Contradicts what was said of this life; false where there is nothing to contradict, or where it has left itself.
     */
    boolean refuteIfNeeded(MemberClaim said, double now) {
        if (hasLeft() || !said.supersedes(ownClaim) || said.status() == MemberStatus.LEFT) {
            return false;
        }
        announce(MemberClaim.alive(ownClaim.peer(), said.refutationCount() + 1), now);
        return true;
    }

    /** Makes this router's claim of itself known. */
    void announce(MemberClaim claim, double now) {
        ownClaim = claim;
        table.setOwnClaim(ownClaim);
        broadcasts.enqueue(ownClaim, now);
    }

    void leave(double now, Outbox out) {
        if (!hasLeft()) {
            announce(ownClaim.withStatus(MemberStatus.LEFT, List.of()), now);
            sendClaim(table.randomMembers(LEAVE_FANOUT, null), now, out);
        }
    }

    long nextSequence() {
        return nextSequence++;
    }

    /** @param known what is held against the one asked, so that it can contradict; null where nothing is known */
    void sendPing(Address to, MemberRecord known, long sequence, double now, Outbox out) {
        out.add(
                to,
                new MembershipMessage.Ping(
                        sequence, now, table.digest(), ownClaim.peer().address(), ownClaim.refutationCount()));
        if (known != null && known.claim.status() != MemberStatus.ALIVE) {
            out.add(to, new MembershipMessage.ClaimBroadcast(List.of(known.claim)));
        }
        sendBroadcasts(to, now, out);
    }

    void sendAck(Address to, MembershipMessage.Ping probe, double now, Outbox out) {
        out.add(
                to,
                new MembershipMessage.Ack(
                        probe.sequence(),
                        probe.sentAt(),
                        now,
                        table.digest(),
                        ownClaim.peer().address(),
                        ownClaim.refutationCount()));
        sendBroadcasts(to, now, out);
    }

    /** Tells one router one thing. */
    void sendClaim(Address to, MemberClaim claim, Outbox out) {
        out.add(to, new MembershipMessage.ClaimBroadcast(List.of(claim)));
    }

    private void sendBroadcasts(Address to, double now, Outbox out) {
        if (!broadcasts.isEmpty()) {
            List<MemberClaim> claims = broadcasts.select(MAX_BROADCAST_BYTES, 1 + table.liveCount(), now);
            if (!claims.isEmpty()) {
                out.add(to, new MembershipMessage.ClaimBroadcast(claims));
            }
        }
    }

    private void sendClaim(Collection<MemberRecord> members, double now, Outbox out) {
        members.forEach(member -> sendBroadcasts(member.peer().address(), now, out));
    }

    /** A round of gossip, when there is news and it is time; returns when the next one is wanted. */
    double gossip(double now, Outbox out) {
        if (now >= nextGossipAt && !broadcasts.isEmpty() && table.liveCount() > 0) {
            sendClaim(table.randomMembers(settings.gossipFanout(), null), now, out);
            nextGossipAt = now + settings.gossipInterval();
        }
        return broadcasts.isEmpty() || table.liveCount() == 0 ? Double.POSITIVE_INFINITY : Math.max(now, nextGossipAt);
    }
}
