package clayhook.fleet.members;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/** Claims that are news here, those told least first. */
final class Rumours {
    /** Seconds; older news is found by comparing rosters. Keeps a thousand routers that start at once from telling for minutes. */
    private static final double FRESH = 3;
    /** Told this often beyond what the size of the fleet asks for: small fleets lose packets too. */
    private static final int LEAST_TELLINGS = 3;
    /** Times told by binary logarithm of the members: one of a hundred is missed once in thirty news at a fifth lost. */
    private static final double TELLINGS = 1.5;

    private static final class Rumour {
        final Claim claim;
        final long order;
        final double until;
        int told;

        Rumour(Claim claim, long order, double until) {
            this.claim = claim;
            this.order = order;
            this.until = until;
        }
    }

    /** Both hold the same, one a name at most; emptied of what was told often enough or is old. */
    private final Map<String, Rumour> byName = new HashMap<>();
    private final TreeSet<Rumour> waiting =
            new TreeSet<>(Comparator.<Rumour>comparingInt(rumour -> rumour.told).thenComparingLong(rumour -> -rumour.order));
    private long heard;

    /** What was told of that name before is forgotten. */
    void tell(Claim claim, double now) {
        var rumour = new Rumour(claim, heard++, now + FRESH);
        Rumour before = byName.put(claim.name(), rumour);
        if (before != null) {
            waiting.remove(before);
        }
        waiting.add(rumour);
    }

    boolean none() {
        return waiting.isEmpty();
    }

    /** Claims that fit into that many bytes, one at least where there is any; they count as told once more. */
    List<Claim> pick(int bytes, int members, double now) {
        double most = LEAST_TELLINGS + Math.ceil(TELLINGS * Math.log(members + 1.0) / Math.log(2));
        var claims = new ArrayList<Claim>();
        var again = new ArrayList<Rumour>();
        int room = bytes;
        while (!waiting.isEmpty()) {
            Rumour rumour = waiting.first();
            int size = rumour.claim.room();
            if (rumour.until >= now && !claims.isEmpty() && size > room) {
                break;
            }
            waiting.pollFirst();
            if (rumour.until < now) {
                byName.remove(rumour.claim.name());
                continue;
            }
            claims.add(rumour.claim);
            room -= size;
            if (++rumour.told < most) {
                again.add(rumour);
            } else {
                byName.remove(rumour.claim.name());
            }
        }
        waiting.addAll(again);
        return claims;
    }
}
