package clayhook.serve;

import clayhook.frontend.ClientRequest;
import clayhook.frontend.ClientSession;
import clayhook.inflight.AbandonedRequestIds;
import clayhook.inflight.InFlightRequests;
import clayhook.metrics.EventCounters;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The requests whose clients wait for an answer, at most one for each session. A request is removed with its final
 * answer, its cancellation or the end of its session; its attempts may remain in flight longer. Its id stays in use for
 * as long as a second request with it could be executed twice. Event loop only.
 */
final class OpenRequests {
    private final InFlightRequests inFlight;
    private final EventCounters counters;
    private final Map<ClientSession, ClientRequest> bySession = new HashMap<>();
    private final Set<String> ids = new HashSet<>();
    private final AbandonedRequestIds abandonedIds = new AbandonedRequestIds();
    /** Whether requests are failed on admission because all pending ones were failed. */
    private boolean failing;

    OpenRequests(InFlightRequests inFlight, EventCounters counters) {
        this.inFlight = inFlight;
        this.counters = counters;
    }

    boolean containsId(String requestId) {
        return ids.contains(requestId);
    }

    /** Whether an earlier request with this id was abandoned and may have been executed, or still may be. */
    boolean isAbandoned(String requestId, double now) {
        return abandonedIds.contains(requestId, now);
    }

    /** Reserves the id of a request that is passed to {@link #admit} in a later tick. */
    void reserveId(String requestId) {
        ids.add(requestId);
    }

    /** Releases the id of a request that was not admitted or has its final answer. */
    void releaseId(String requestId) {
        ids.remove(requestId);
    }

    /** Passes a request to the routing policy unless its client has disconnected. */
    void admit(ClientRequest request, double now) {
        // If a close was read together with the request, no client waits for the node's work.
        if (request.clientSession.isClientGone()) {
            releaseId(request.requestId);
            counters.increment("disconnected");
            return;
        }
        bySession.put(request.clientSession, request);
        if (failing) {
            inFlight.rejectOrFail(request);
        } else {
            inFlight.admit(request, now);
        }
    }

    /** The request whose answer a session waits for, or null. */
    ClientRequest find(ClientSession session) {
        return bySession.get(session);
    }

    /**
     * Removes and returns the request whose answer a session waits for, or returns null. Its id stays in use until
     * {@link #releaseId} or {@link #releaseAbandonedId}, or goes to a request that replaces it.
     */
    ClientRequest remove(ClientSession session) {
        return bySession.remove(session);
    }

    /** Removes a request that gets its final answer; returns false if its session no longer waits for it. */
    boolean remove(ClientRequest request) {
        boolean open = bySession.remove(request.clientSession, request);
        if (open) {
            releaseId(request.requestId);
        }
        return open;
    }

    /** Releases the id of a removed request whose client has gone, unless a second execution would break a rule. */
    void releaseAbandonedId(ClientRequest request, double now) {
        if (request.requestId != null) {
            releaseId(request.requestId);
            abandonedIds.add(request.requestId, request, now);
        }
    }

    /** Rejects or fails all pending requests, and from now on each request on admission. */
    void failAll() {
        failing = true;
        inFlight.rejectOrFailAll();
    }
}
