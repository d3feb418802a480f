package clayhook.inflight;

import clayhook.Attempt;
import clayhook.Request;
import clayhook.RequestClass.Idempotency;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The ids of requests that ended for their client without an answer of a node, although a node may have executed them
 * or may still do so. A request that comes with such an id would be a second execution. Uses neither I/O nor a clock:
 * times are clock times in seconds. Not thread-safe: confined to the event loop.
 */
public final class AbandonedRequestIds {
    /** How long an id is kept if a second execution has another effect; far longer than any client timeout. */
    static final double RETENTION_SECONDS = 60;
    /** The number of ids kept; beyond it the oldest are dropped. */
    static final int MAX_IDS = 10_000;

    /** The time until which each id is kept, in the order in which they were added. Emptied by time, oldest first. */
    private final Map<String, Double> keptUntil = new LinkedHashMap<>();

    /**
     * Keeps the id of a request if a second execution would break a rule: for {@link #RETENTION_SECONDS} if the request
     * may have been executed and is not idempotent, or until the timeouts of its outstanding attempts if it is.
     */
    public void add(String id, Request request, double now) {
        removeExpired(now);
        double until = keepUntil(request, now);
        if (until > now) {
            keptUntil.remove(id);
            keptUntil.put(id, until);
        }
        if (keptUntil.size() > MAX_IDS) {
            removeOldest();
        }
    }

    private static double keepUntil(Request request, double now) {
        boolean idempotent = request.requestClass.idempotency() == Idempotency.IDEMPOTENT;
        double until = now;
        for (Attempt attempt : request.attempts) {
            if (attempt.outcome == null) {
                until = Math.max(until, attempt.timeoutAt);
            }
            if (!idempotent && (attempt.outcome == null || !attempt.outcome.notExecuted)) {
                until = Math.max(until, now + RETENTION_SECONDS);
            }
        }
        return until;
    }

    /** Whether a request with this id must not be executed at that time. */
    public boolean contains(String id, double now) {
        return keptUntil.getOrDefault(id, Double.NEGATIVE_INFINITY) > now;
    }

    /** The number of ids that are kept. */
    int size() {
        return keptUntil.size();
    }

    private void removeExpired(double now) {
        Iterator<Double> oldest = keptUntil.values().iterator();
        while (oldest.hasNext() && oldest.next() <= now) {
            oldest.remove();
        }
    }

    private void removeOldest() {
        Iterator<String> oldest = keptUntil.keySet().iterator();
        oldest.next();
        oldest.remove();
    }
}
