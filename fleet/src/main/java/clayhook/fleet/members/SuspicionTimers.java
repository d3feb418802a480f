package clayhook.fleet.members;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ObjDoubleConsumer;

/** How long a suspect has to speak up: longer in a large fleet, and while few accuse it. */
final class SuspicionTimers {
    private final MembershipSettings settings;
    private final MembershipTable table;
    private final LocalHealth localHealth;
    private final ObjDoubleConsumer<MemberClaim> onTimeout;
    /** Since when each is suspected here; emptied as they stand otherwise. At most the members. */
    private final Map<MemberRecord, Double> suspectedSince = new LinkedHashMap<>();

    SuspicionTimers(
            MembershipSettings settings,
            MembershipTable register,
            LocalHealth health,
            ObjDoubleConsumer<MemberClaim> judge) {
        this.settings = settings;
        this.table = register;
        this.localHealth = health;
        this.onTimeout = judge;
    }

    /** Its claim has changed; a suspect of before that spoke up and is accused anew gets the whole time. */
    void onClaimChanged(MemberRecord known, MemberClaim before, double now) {
        if (known.claim.status() != MemberStatus.SUSPECT) {
            suspectedSince.remove(known);
        } else if (before == null
                || !before.peer().equals(known.peer())
                || before.refutationCount() != known.claim.refutationCount()) {
            suspectedSince.put(known, now);
        } else {
            suspectedSince.putIfAbsent(known, now);
        }
    }

    /** This router stood still, and may not have heard them speak up: all have their time anew. */
    void onStall(double now) {
        suspectedSince.replaceAll((known, since) -> now);
    }

    double tick(double now) {
        if (localHealth.recentlyStalled(now)) {
            return suspectedSince.isEmpty() ? Double.POSITIVE_INFINITY : now + settings.probeInterval();
        }
        double next = Double.POSITIVE_INFINITY;
        for (MemberRecord suspect : List.copyOf(suspectedSince.keySet())) {
            double until = suspectedSince.get(suspect)
                    + timeoutSeconds(suspect.claim.accusers().size());
            if (now >= until) {
                onTimeout.accept(suspect.claim.withStatus(MemberStatus.DEAD, List.of()), now);
            } else {
                next = Math.min(next, until);
            }
        }
        return next;
    }

    /** Seconds. After Lifeguard: from the longest to the shortest by the logarithm of those that agree. */
    private double timeoutSeconds(int accusers) {
        int members = table.liveCount() + 1;
        double shortest = settings.probeInterval()
                * Math.max(2, settings.suspicionMultiplier() * Math.log(members + 1.0) / Math.log(2));
        int expected =
                Math.min(MemberClaim.MAX_ACCUSERS, members - 1) - 1; // without the suspect, and the one that began
        if (expected < 1) {
            return shortest;
        }
        double agreed = Math.log(Math.max(1, accusers)) / Math.log(expected + 1.0);
        return shortest * Math.max(1, settings.maxSuspicionFactor() - (settings.maxSuspicionFactor() - 1) * agreed);
    }
}
