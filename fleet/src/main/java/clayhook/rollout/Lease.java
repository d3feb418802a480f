package clayhook.rollout;

import clayhook.fleet.Member;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * For how long this router may run the candidate. Counted on its own clock from when it asked, so no clocks are
 * compared.
 */
class Lease {
    /** Asks that a grant may answer; later grants of older ones are worth nothing any more. */
    private static final int MAX_REMEMBERED_REQUESTS = 16;

    private final Deque<Double> requestTimes = new ArrayDeque<>();
    /** By member of the frozen roster, when it was asked what it granted last. Gone with the rollout. */
    private final Map<Member, Double> grantTimes = new HashMap<>();

    void onRequested(double now) {
        requestTimes.addLast(now);
        if (requestTimes.size() > MAX_REMEMBERED_REQUESTS) {
            requestTimes.removeFirst();
        }
    }

    /** Guards against an echo that was never sent, which could stand for a lease without end. */
    void granted(Member by, double asked, double now) {
        if (requestTimes.contains(asked)) {
            grantTimes.merge(by, countedFrom(asked, now), Math::max);
        }
    }

    /** From when a grant counts. */
    double countedFrom(double asked, double now) {
        return asked;
    }

    void onDenied(Member by) {
        grantTimes.remove(by);
    }

    /** For tests that tell one state from another. */
    Map<Member, Double> granted() {
        return grantTimes;
    }

    /** When contact with so many is that long ago; negative infinity while there was none. */
    double expiresAt(int majority, double length) {
        if (grantTimes.size() < majority) {
            return Double.NEGATIVE_INFINITY;
        }
        double[] times =
                grantTimes.values().stream().mapToDouble(Double::doubleValue).toArray();
        Arrays.sort(times);
        return times[times.length - majority] + length;
    }
}
