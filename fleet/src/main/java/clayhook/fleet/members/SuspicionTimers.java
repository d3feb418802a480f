package clayhook.fleet.members;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ObjDoubleConsumer;

/**
 * Declares suspects dead that do not refute the suspicion in time. As in Lifeguard, the timeout is longer in a large
 * fleet and while few members confirm the suspicion. Not thread-safe.
 */
final class SuspicionTimers {
    private static final double MIN_TIMEOUT_INTERVALS = 2;

    private final MembershipSettings settings;
    private final MembershipTable table;
    private final LocalHealth localHealth;
    private final ObjDoubleConsumer<MemberClaim> onTimeout;
    /**
     * Start time of each suspect's timer in seconds since 1970, in the order of the suspicions. An entry is removed
     * when the status changes.
     */
    private final Map<MemberRecord, Double> suspectedSince = new LinkedHashMap<>();

    /** @param onTimeout receives the claim that a suspect is dead, and the current time */
    SuspicionTimers(
            MembershipSettings settings,
            MembershipTable table,
            LocalHealth localHealth,
            ObjDoubleConsumer<MemberClaim> onTimeout) {
        this.settings = settings;
        this.table = table;
        this.localHealth = localHealth;
        this.onTimeout = onTimeout;
    }

    /**
     * Starts, keeps or stops the timer of a member whose claim has changed. A member that refuted a suspicion and is
     * suspected again has the full timeout.
     *
     * @param before the previous claim on the name; null if the name was unknown
     */
    void onClaimChanged(MemberRecord record, MemberClaim before, double now) {
        if (record.claim.status() != MemberStatus.SUSPECT) {
            suspectedSince.remove(record);
            return;
        }
        boolean sameRefutation = before != null
                && before.peer().equals(record.peer())
                && before.refutationCount() == record.claim.refutationCount();
        if (sameRefutation) {
            suspectedSince.putIfAbsent(record, now);
        } else {
            suspectedSince.put(record, now);
        }
    }

    /** Restarts all timers after a stall of this router, since it may have missed refutations. */
    void onStall(double now) {
        suspectedSince.replaceAll((record, since) -> now);
    }

    /**
     * Declares suspects dead whose timers have expired. Returns when the next tick is due, in seconds since 1970;
     * infinity if no timer is running.
     */
    double tick(double now) {
        if (localHealth.recentlyStalled(now)) {
            return suspectedSince.isEmpty() ? Double.POSITIVE_INFINITY : now + settings.probeInterval();
        }
        double next = Double.POSITIVE_INFINITY;
        for (MemberRecord suspect : List.copyOf(suspectedSince.keySet())) {
            int accusers = suspect.claim.accusers().size();
            double expiresAt = suspectedSince.get(suspect) + timeoutSeconds(accusers);
            if (now >= expiresAt) {
                onTimeout.accept(suspect.claim.withStatus(MemberStatus.DEAD, List.of()), now);
            } else {
                next = Math.min(next, expiresAt);
            }
        }
        return next;
    }

    /** Returns the timeout of a suspect in seconds, which decreases with the logarithm of the number of accusers. */
    private double timeoutSeconds(int accusers) {
        int members = table.liveCount() + 1;
        double scaled = settings.suspicionMultiplier() * Math.log(members + 1.0) / Math.log(2);
        double shortest = settings.probeInterval() * Math.max(MIN_TIMEOUT_INTERVALS, scaled);
        int expectedConfirmations = expectedConfirmations(members);
        if (expectedConfirmations < 1) {
            return shortest;
        }
        double confirmed = Math.log(Math.max(1, accusers)) / Math.log(expectedConfirmations + 1.0);
        double factor = settings.maxSuspicionFactor() - (settings.maxSuspicionFactor() - 1) * confirmed;
        return shortest * Math.max(1, factor);
    }

    /**
     * Returns the number of members that can be expected to confirm a suspicion, which excludes the suspect and its
     * first accuser.
     */
    private static int expectedConfirmations(int members) {
        return Math.min(MemberClaim.MAX_ACCUSERS, members - 1) - 1;
    }
}
