package clayhook.serve;

import clayhook.Request;
import clayhook.frontend.ClientRequest;
import clayhook.frontend.ClientSession;
import clayhook.inflight.InFlightRequests;
import clayhook.metrics.EventCounters;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The requests whose clients wait for an answer, at most one for each session. A request is removed with its final
 * answer, its cancellation or the end of its session; its attempts may remain in flight longer. Event loop only.
 */
final class OpenRequests {
    private final InFlightRequests inFlight;
    private final EventCounters counters;
    private final Map<ClientSession, ClientRequest> bySession = new HashMap<>();
    private final Set<String> ids = new HashSet<>();
    /** Whether requests are failed on admission because all pending ones were failed. */
    private boolean failing;

    OpenRequests(InFlightRequests inFlight, EventCounters counters) {
        this.inFlight = inFlight;
        this.counters = counters;
    }

    boolean containsId(String requestId) {
        return ids.contains(requestId);
    }

    /** Reserves the id of a request that is passed to {@link #admit} in a later tick. */
    void reserveId(String requestId) {
        ids.add(requestId);
    }

    /** Passes a request to the routing policy unless its client has disconnected. */
    void admit(ClientRequest request, double now) {
        // If a close was read together with the request, no client waits for the node's work.
        if (request.clientSession.isClientGone()) {
            ids.remove(request.requestId);
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

    /** Removes and returns the request whose answer a session waits for, or returns null. */
    ClientRequest remove(ClientSession session) {
        ClientRequest request = bySession.remove(session);
        if (request != null) {
            ids.remove(request.requestId);
        }
        return request;
    }

    /** Removes a request; returns false if its session no longer waits for its answer. */
    boolean remove(ClientRequest request) {
        boolean open = bySession.remove(request.clientSession, request);
        if (open) {
            ids.remove(request.requestId);
        }
        return open;
    }

    /** Removes the request of a session that is about to be replaced by another one, without releasing its id. */
    void release(ClientSession session) {
        bySession.remove(session);
    }

    /** Rejects or fails all pending requests, and from now on each request on admission. */
    void failAll() {
        failing = true;
        inFlight.rejectOrFailAll();
    }

    /** Whether a node may have executed an attempt of the request. */
    static boolean mayHaveRun(Request request) {
        return request.attempts.stream().anyMatch(attempt -> attempt.outcome == null || !attempt.outcome.notExecuted);
    }
}
