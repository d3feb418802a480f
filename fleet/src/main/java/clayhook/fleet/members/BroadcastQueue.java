package clayhook.fleet.members;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Claims that are news here, those told least first. */
final class BroadcastQueue {
    /**
     * Seconds; older news is found by comparing rosters. Keeps a thousand routers that start at once from telling for
     * minutes.
     */
    private static final double MAX_AGE_SECONDS = 3;
    /** Told this often beyond what the size of the fleet asks for: small fleets lose packets too. */
    private static final int MIN_TRANSMISSIONS = 3;
    /**
     * Times told by binary logarithm of the members: one of a hundred is missed once in thirty news at a fifth lost.
     */
    private static final double TRANSMISSIONS_PER_DOUBLING = 1.5;

    private static final class PendingBroadcast {
        final MemberClaim claim;
        final double expiresAt;
        int transmissions;

        PendingBroadcast(MemberClaim claim, double until) {
            this.claim = claim;
            this.expiresAt = until;
        }
    }

    /** One a name; emptied of what was told often enough or is old. */
    private final Map<String, PendingBroadcast> byName = new HashMap<>();
    /**
     * By how often they were told, the newest first; holds those that were replaced as well, until their turn comes.
     */
    private final List<Deque<PendingBroadcast>> queuesByTransmissions = new ArrayList<>();

    /** What was told of that name before is forgotten. */
    void enqueue(MemberClaim claim, double now) {
        var rumour = new PendingBroadcast(claim, now + MAX_AGE_SECONDS);
        byName.put(claim.name(), rumour);
        queueFor(0).addFirst(rumour);
    }

    private Deque<PendingBroadcast> queueFor(int told) {
        while (queuesByTransmissions.size() <= told) {
            queuesByTransmissions.add(new ArrayDeque<>());
        }
        return queuesByTransmissions.get(told);
    }

    boolean isEmpty() {
        return byName.isEmpty();
    }

    /** Claims that fit into that many bytes, one at least where there is any; they count as told once more. */
    List<MemberClaim> select(int bytes, int members, double now) {
        var picked = new ArrayList<PendingBroadcast>();
        int room = bytes;
        for (int told = 0; told < queuesByTransmissions.size() && room > 0; told++) {
            room = select(queuesByTransmissions.get(told), room, picked, now);
        }
        int most =
                MIN_TRANSMISSIONS + (int) Math.ceil(TRANSMISSIONS_PER_DOUBLING * Math.log(members + 1.0) / Math.log(2));
        for (PendingBroadcast rumour : picked) {
            if (++rumour.transmissions < most) {
                queueFor(rumour.transmissions).addFirst(rumour);
            } else {
                byName.remove(rumour.claim.name());
            }
        }
        return picked.stream().map(rumour -> rumour.claim).toList();
    }

    /** Returns the room that is left, 0 when the next one does not fit. */
    private int select(Deque<PendingBroadcast> from, int room, List<PendingBroadcast> picked, double now) {
        int left = room;
        for (PendingBroadcast rumour = from.peekFirst(); rumour != null; rumour = from.peekFirst()) {
            if (byName.get(rumour.claim.name()) == rumour && rumour.expiresAt >= now) {
                int size = rumour.claim.maxEncodedBytes();
                if (size > left && !picked.isEmpty()) {
                    return 0;
                }
                left -= size;
                picked.add(rumour);
            } else {
                byName.remove(rumour.claim.name(), rumour);
            }
            from.removeFirst();
        }
        return left;
    }
}
