package clayhook.serve;

import clayhook.Decision;
import clayhook.Decision.RoutingAction;
import clayhook.frontend.ClientRequest;
import clayhook.frontend.ClientSession;
import clayhook.metrics.EventCounters;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Gives clients the final answers to their requests. Event loop only. */
final class ClientResponder {
    private final OpenRequests openRequests;
    private final PeerReporter peers;
    private final EventCounters counters;
    private final boolean clientsHonorRetryAfter;
    /** Answers of nodes that are passed on once the policy has seen the attempt; each leaves at the end of its tick. */
    private final Map<ClientRequest, List<byte[]>> answers = new HashMap<>();

    /** {@code clientsHonorRetryAfter}: whether a rejection tells the client how long to wait. */
    ClientResponder(
            OpenRequests openRequests, PeerReporter peers, EventCounters counters, boolean clientsHonorRetryAfter) {
        this.openRequests = openRequests;
        this.peers = peers;
        this.counters = counters;
        this.clientsHonorRetryAfter = clientsHonorRetryAfter;
    }

    /** Keeps the messages of a node's answer until the request is concluded. */
    void holdAnswer(ClientRequest request, List<byte[]> answer) {
        answers.put(request, answer);
    }

    /** Answers a request whose decision is final, which is any but {@link RoutingAction#SEND}. */
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
