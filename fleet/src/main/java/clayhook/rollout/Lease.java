package clayhook.rollout;

import clayhook.fleet.Member;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * How long this router may run the candidate of one rollout. The lease is counted on this router's clock from the time
 * at which it sent a request, so no two clocks are compared. Not thread-safe. Not final, so that tests can break it.
 */
class Lease {
    /** Requests that a response may refer to; responses to older ones are ignored. */
    private static final int MAX_REMEMBERED_REQUESTS = 16;

    private final Deque<Double> requestTimes = new ArrayDeque<>();
    /** By voter, when the request was sent that it granted last; bounded by the frozen roster. */
    private final Map<Member, Double> grantTimes = new HashMap<>();

    /** Records that requests were sent to voters. */
    void onRequested(double now) {
        requestTimes.addLast(now);
        if (requestTimes.size() > MAX_REMEMBERED_REQUESTS) {
            requestTimes.removeFirst();
        }
    }

    /** Records a grant. A grant for a request that was never sent is ignored; it could extend the lease without end. */
    void onGranted(Member voter, double requestedAt, double now) {
        if (requestTimes.contains(requestedAt)) {
            grantTimes.merge(voter, countedFrom(requestedAt, now), Math::max);
        }
    }

    /** From when a grant counts: from the request, as the voter counts from later on. */
    double countedFrom(double requestedAt, double now) {
        return requestedAt;
    }

    /** Forgets the voter's grant. */
    void onDenied(Member voter) {
        grantTimes.remove(voter);
    }

    /** By voter, from when its last grant counts; for tests that compare states. */
    Map<Member, Double> grantTimes() {
        return grantTimes;
    }

    /**
     * When the grants of fewer than {@code majority} voters are left, in seconds since 1970; negative infinity while
     * there never were that many.
     *
     * @param duration of a grant in seconds
     */
    double expiresAt(int majority, double duration) {
        if (grantTimes.size() < majority) {
            return Double.NEGATIVE_INFINITY;
        }
        double[] times =
                grantTimes.values().stream().mapToDouble(Double::doubleValue).toArray();
        Arrays.sort(times);
        return times[times.length - majority] + duration;
    }
}
