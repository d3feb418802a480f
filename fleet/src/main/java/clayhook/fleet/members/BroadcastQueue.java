package clayhook.fleet.members;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Claims waiting to be gossiped, those transmitted least first and of these the newest first. A claim is dropped once
 * it was transmitted often enough for the size of the fleet, or is too old. Not thread-safe.
 */
final class BroadcastQueue {
    /**
     * Older claims spread by comparing tables instead. Without this bound a thousand routers that start at once would
     * broadcast for minutes.
     */
    private static final double MAX_AGE_SECONDS = 3;
    /** Transmissions beyond what the fleet size asks for, as small fleets lose packets too. */
    private static final int MIN_TRANSMISSIONS = 3;
    /**
     * Transmissions per doubling of the fleet: one member of a hundred misses one claim in thirty at a loss of 20 %.
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

    /** One a name. */
    private final Map<String, PendingBroadcast> byName = new HashMap<>();
    /**
     * By number of transmissions, the newest first. Replaced broadcasts stay until they are reached, and are then
     * skipped.
     */
    private final List<Deque<PendingBroadcast>> queuesByTransmissions = new ArrayList<>();

    /** Adds a claim in place of any other on its name. */
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
     * Selects claims to transmit once, at least one if there is any.
     *
     * @param maxBytes the encoded size of the claims; exceeded only by a single claim that is larger
     * @param fleetSize the number of members, this router included
     */
    List<MemberClaim> select(int maxBytes, int fleetSize, double now) {
        var selected = new ArrayList<PendingBroadcast>();
        int bytesLeft = maxBytes;
        for (int i = 0; i < queuesByTransmissions.size() && bytesLeft > 0; i++) {
            bytesLeft = selectFrom(queuesByTransmissions.get(i), bytesLeft, selected, now);
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
     * Moves broadcasts from a queue to the selected ones. Returns the bytes that are left, 0 when the next one does not
     * fit.
     */
    private int selectFrom(Deque<PendingBroadcast> queue, int maxBytes, List<PendingBroadcast> selected, double now) {
        int bytesLeft = maxBytes;
        for (PendingBroadcast next = queue.peekFirst(); next != null; next = queue.peekFirst()) {
            boolean current = byName.get(next.claim.name()) == next && next.expiresAt >= now;
            if (current) {
                int bytes = next.claim.maxEncodedBytes();
                if (bytes > bytesLeft && !selected.isEmpty()) {
                    return 0;
                }
                bytesLeft -= bytes;
                selected.add(next);
            } else {
                byName.remove(next.claim.name(), next);
            }
            queue.removeFirst();
        }
        return bytesLeft;
    }
}
