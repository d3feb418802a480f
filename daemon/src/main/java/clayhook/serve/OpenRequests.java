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
 * The requests whose clients wait for an answer, at most one a session. A request leaves with its final answer, its
 * cancellation or the end of its session; attempts of it may stay in flight longer. Event loop only.
 */
final class OpenRequests {
    private final InFlightRequests inFlight;
    private final EventCounters counters;
    private final Map<ClientSession, ClientRequest> bySession = new HashMap<>();
    private final Set<String> ids = new HashSet<>();
    /** Pending requests were failed, and later ones are as well. */
    private boolean failing;

    OpenRequests(InFlightRequests inFlight, EventCounters counters) {
        this.inFlight = inFlight;
        this.counters = counters;
    }

    boolean containsId(String requestId) {
        return ids.contains(requestId);
    }

    /** Reserves the id of a request that {@link #admit} takes in a later tick. */
    void reserveId(String requestId) {
        ids.add(requestId);
    }

    /** Hands a request to the routing policy, unless its client has gone. */
    void admit(ClientRequest request, double now) {
        // A close that was read together with the request would otherwise cost a node work that nobody waits for.
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

    /** The request that a session waits for, or null. */
    ClientRequest find(ClientSession session) {
        return bySession.get(session);
    }

    /** Removes the request that a session waits for and returns it, or null. */
    ClientRequest remove(ClientSession session) {
        ClientRequest request = bySession.remove(session);
        if (request != null) {
            ids.remove(request.requestId);
        }
        return request;
    }

    /** Removes a request; false where its session no longer waits for it. */
    boolean remove(ClientRequest request) {
        boolean open = bySession.remove(request.clientSession, request);
        if (open) {
            ids.remove(request.requestId);
        }
        return open;
    }

    /** Removes a request that another one replaces in its session. */
    void release(ClientSession session) {
        bySession.remove(session);
    }

    /** Gives every pending request its final answer, and every later one as soon as it is admitted. */
    void failAll() {
        failing = true;
        inFlight.rejectOrFailAll();
    }

    /** Whether an attempt of the request may have been executed by a node. */
    static boolean mayHaveRun(Request request) {
        return request.attempts.stream().anyMatch(attempt -> attempt.outcome == null || !attempt.outcome.notExecuted);
    }
}
