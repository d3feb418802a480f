package clayhook.fleet.members;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Claims that are news here, those told least first. */
final class Rumours {
    /**
     * Seconds; older news is found by comparing rosters. Keeps a thousand routers that start at once from telling for
     * minutes.
     */
    private static final double FRESH = 3;
    /** Told this often beyond what the size of the fleet asks for: small fleets lose packets too. */
    private static final int LEAST_TELLINGS = 3;
    /**
     * Times told by binary logarithm of the members: one of a hundred is missed once in thirty news at a fifth lost.
     */
    private static final double TELLINGS = 1.5;

    private static final class Rumour {
        final Claim claim;
        final double until;
        int told;

        Rumour(Claim claim, double until) {
            this.claim = claim;
            this.until = until;
        }
    }

    /** One a name; emptied of what was told often enough or is old. */
    private final Map<String, Rumour> byName = new HashMap<>();
    /**
     * By how often they were told, the newest first; holds those that were replaced as well, until their turn comes.
     */
    private final List<Deque<Rumour>> waiting = new ArrayList<>();

    /** What was told of that name before is forgotten. */
    void tell(Claim claim, double now) {
        var rumour = new Rumour(claim, now + FRESH);
        byName.put(claim.name(), rumour);
        waiting(0).addFirst(rumour);
    }

    private Deque<Rumour> waiting(int told) {
        while (waiting.size() <= told) {
            waiting.add(new ArrayDeque<>());
        }
        return waiting.get(told);
    }

    boolean none() {
        return byName.isEmpty();
    }

    /** Claims that fit into that many bytes, one at least where there is any; they count as told once more. */
    List<Claim> pick(int bytes, int members, double now) {
        var picked = new ArrayList<Rumour>();
        int room = bytes;
        for (int told = 0; told < waiting.size() && room > 0; told++) {
            room = pick(waiting.get(told), room, picked, now);
        }
        int most = LEAST_TELLINGS + (int) Math.ceil(TELLINGS * Math.log(members + 1.0) / Math.log(2));
        for (Rumour rumour : picked) {
            if (++rumour.told < most) {
                waiting(rumour.told).addFirst(rumour);
            } else {
                byName.remove(rumour.claim.name());
            }
        }
        return picked.stream().map(rumour -> rumour.claim).toList();
    }

    /** Returns the room that is left, 0 when the next one does not fit. */
    private int pick(Deque<Rumour> from, int room, List<Rumour> picked, double now) {
        int left = room;
        for (Rumour rumour = from.peekFirst(); rumour != null; rumour = from.peekFirst()) {
            if (byName.get(rumour.claim.name()) == rumour && rumour.until >= now) {
                int size = rumour.claim.room();
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
