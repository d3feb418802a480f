package clayhook.serve;

import clayhook.Decision;
import clayhook.Decision.RoutingAction;
import clayhook.frontend.ClientRequest;
import clayhook.frontend.ClientSession;
import clayhook.metrics.EventCounters;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Sends clients the final answers to their requests. Event loop only. */
final class ClientResponder {
    private final OpenRequests openRequests;
    private final PeerReporter peers;
    private final EventCounters counters;
    private final boolean clientsHonorRetryAfter;
    /**
     * Answers of nodes by request, held until the routing policy has processed the attempt. Each is removed at the end
     * of the tick in which it was added.
     */
    private final Map<ClientRequest, List<byte[]>> answers = new HashMap<>();

    /**
     * Creates a responder.
     *
     * @param clientsHonorRetryAfter whether a rejection contains Retry-After
     */
    ClientResponder(
            OpenRequests openRequests, PeerReporter peers, EventCounters counters, boolean clientsHonorRetryAfter) {
        this.openRequests = openRequests;
        this.peers = peers;
        this.counters = counters;
        this.clientsHonorRetryAfter = clientsHonorRetryAfter;
    }

    /** Stores the messages of a node's answer until {@link #conclude} is called for the request. */
    void holdAnswer(ClientRequest request, List<byte[]> answer) {
        answers.put(request, answer);
    }

    /** Answers a request whose decision is final: any action other than {@link RoutingAction#SEND}. */
    void conclude(ClientRequest request, Decision decision) {
        RoutingAction action = decision.action();
        if (action != RoutingAction.DONE) {
            peers.onRequestAbandoned(request);
        }
        counters.increment(action + " " + request.requestClass.name());
        List<byte[]> answer = answers.remove(request);
        if (openRequests.remove(request)) {
            respond(request, decision, answer);
        }
    }

    private void respond(ClientRequest request, Decision decision, List<byte[]> answer) {
        ClientSession session = request.clientSession;
        if (answer != null) {
            session.respondWithResult(answer);
        } else if (decision.action() == RoutingAction.REJECT) {
            session.respondRejected(clientsHonorRetryAfter ? decision.retryAfterSeconds() : 0);
        } else if (decision.action() == RoutingAction.FAIL && request.lastNodeError != null) {
            session.respondWithResult(request.lastNodeError);
        } else if (decision.action() == RoutingAction.FAIL) {
            session.respondInDoubt();
        }
    }
}
