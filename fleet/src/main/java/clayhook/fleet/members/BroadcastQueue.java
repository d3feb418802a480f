package clayhook.fleet.members;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Queue of claims to broadcast by gossip. Claims with fewer transmissions are sent first, and newer ones first among
 * equal numbers of transmissions. A claim is removed after a number of transmissions that depends on the fleet size, or
 * when it exceeds its maximum age. Not thread-safe.
 */
final class BroadcastQueue {
    /**
     * Maximum age of a queued claim. Older claims spread by table synchronization only. Without this bound, a thousand
     * routers that start at the same time would broadcast for minutes.
     */
    private static final double MAX_AGE_SECONDS = 3;
    /**
     * Transmissions of a claim in addition to those that depend on the fleet size, since packets are lost in small
     * fleets too.
     */
    private static final int MIN_TRANSMISSIONS = 3;
    /**
     * Transmissions of a claim per doubling of the fleet size. With this value and a packet loss of 20 %, one in thirty
     * claims does not reach one member of a hundred.
     */
    private static final double TRANSMISSIONS_PER_DOUBLING = 1.5;

    private static final class PendingBroadcast {
        final MemberClaim claim;
        final double expiresAt;
        int transmissions;

        PendingBroadcast(MemberClaim claim, double expiresAt) {
            this.claim = claim;
            this.expiresAt = expiresAt;
        }
    }

    /** The current broadcast of each member name. */
    private final Map<String, PendingBroadcast> byName = new HashMap<>();
    /**
     * Broadcasts by their number of transmissions, each queue with the newest first. Replaced broadcasts remain in
     * their queue and are discarded when the selection reaches them.
     */
    private final List<Deque<PendingBroadcast>> queuesByTransmissions = new ArrayList<>();

    /** Adds a claim, which replaces any queued claim on the same name. */
    void enqueue(MemberClaim claim, double now) {
        var broadcast = new PendingBroadcast(claim, now + MAX_AGE_SECONDS);
        byName.put(claim.name(), broadcast);
        queueFor(0).addFirst(broadcast);
    }

    private Deque<PendingBroadcast> queueFor(int transmissions) {
        while (queuesByTransmissions.size() <= transmissions) {
            queuesByTransmissions.add(new ArrayDeque<>());
        }
        return queuesByTransmissions.get(transmissions);
    }

    boolean isEmpty() {
        return byName.isEmpty();
    }

    /**
     * Selects claims for one transmission, at least one if the queue has a current claim.
     *
     * @param maxBytes the maximum encoded size of the selected claims in bytes; exceeded only by a single claim that is
     *     larger
     * @param fleetSize the number of members, this router included
     */
    List<MemberClaim> select(int maxBytes, int fleetSize, double now) {
        var selected = new ArrayList<PendingBroadcast>();
        int remainingBytes = maxBytes;
        for (int i = 0; i < queuesByTransmissions.size() && remainingBytes > 0; i++) {
            remainingBytes = selectFrom(queuesByTransmissions.get(i), remainingBytes, selected, now);
        }
        int maxTransmissions = maxTransmissions(fleetSize);
        for (PendingBroadcast broadcast : selected) {
            broadcast.transmissions++;
            if (broadcast.transmissions < maxTransmissions) {
                queueFor(broadcast.transmissions).addFirst(broadcast);
            } else {
                byName.remove(broadcast.claim.name());
            }
        }
        return selected.stream().map(broadcast -> broadcast.claim).toList();
    }

    private static int maxTransmissions(int fleetSize) {
        double doublings = TRANSMISSIONS_PER_DOUBLING * Math.log(fleetSize + 1.0) / Math.log(2);
        return MIN_TRANSMISSIONS + (int) Math.ceil(doublings);
    }

    /**
     * Moves broadcasts from a queue to the selected ones. Returns the number of bytes that remain, or 0 if the next
     * broadcast does not fit.
     */
    private int selectFrom(Deque<PendingBroadcast> queue, int maxBytes, List<PendingBroadcast> selected, double now) {
        int remainingBytes = maxBytes;
        for (PendingBroadcast next = queue.peekFirst(); next != null; next = queue.peekFirst()) {
            boolean isCurrent = byName.get(next.claim.name()) == next && next.expiresAt >= now;
            if (isCurrent) {
                int bytes = next.claim.maxEncodedBytes();
                if (bytes > remainingBytes && !selected.isEmpty()) {
                    return 0;
                }
                remainingBytes -= bytes;
                selected.add(next);
            } else {
                byName.remove(next.claim.name(), next);
            }
            queue.removeFirst();
        }
        return remainingBytes;
    }
}
