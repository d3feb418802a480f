package clayhook.rollout;

import clayhook.fleet.Member;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * This router's lease to run the candidate of one rollout. Each grant lasts from the time at which this router sent the
 * request, measured on this router's clock, so clocks of different routers are never compared. Not thread-safe. Not
 * final, so that tests can replace it by a defective one.
 */
class Lease {
    /** Number of recent requests to which a response is accepted; responses to older ones are ignored. */
    private static final int MAX_REMEMBERED_REQUESTS = 16;

    private final Deque<Double> requestTimes = new ArrayDeque<>();
    /**
     * Start of each voter's latest grant: the time at which the granted request was sent, in seconds since 1970. Has at
     * most one entry for each member of the roster.
     */
    private final Map<Member, Double> grantTimes = new HashMap<>();

    /** Records that lease requests were sent to voters at time {@code now}. */
    void onRequested(double now) {
        requestTimes.addLast(now);
        if (requestTimes.size() > MAX_REMEMBERED_REQUESTS) {
            requestTimes.removeFirst();
        }
    }

    /**
     * Records a voter's grant. A grant for a request that this router never sent is ignored, because it could extend
     * the lease indefinitely.
     */
    void onGranted(Member voter, double requestedAt, double now) {
        if (requestTimes.contains(requestedAt)) {
            grantTimes.merge(voter, grantStart(requestedAt, now), Math::max);
        }
    }

    /**
     * The start of a grant in seconds since 1970. It is the time of the request, because the voter measures the same
     * duration from a later time and so never ends its grant before this router does.
     */
    double grantStart(double requestedAt, double now) {
        return requestedAt;
    }

    /** Removes the voter's grant. */
    void onDenied(Member voter) {
        grantTimes.remove(voter);
    }

    /** The start of each voter's latest grant, in seconds since 1970. For tests that compare states. */
    Map<Member, Double> grantTimes() {
        return grantTimes;
    }

    /**
     * The time from which fewer than {@code majority} voters have a valid grant, in seconds since 1970; negative
     * infinity if fewer than that have granted the lease.
     *
     * @param majority number of grants required
     * @param duration duration of a grant in seconds
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
