package clayhook.serve;

import clayhook.Attempt;
import clayhook.Decision;
import clayhook.Decision.RoutingAction;
import clayhook.FinalAnswerPolicy;
import clayhook.frontend.ClientRequest;
import clayhook.frontend.ClientSession;
import clayhook.metrics.EventCounters;
import clayhook.protocol.SqlState;
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
    private final Map<ClientRequest, HeldAnswer> answers = new HashMap<>();

    /** An answer that is sent when the routing policy has ended the request. */
    private sealed interface HeldAnswer {
        /** The unchanged messages of a node. */
        record OfNode(List<byte[]> messages) implements HeldAnswer {}

        /**
         * A node's error would tell the client that the request had no effect, but an earlier attempt may have had one.
         */
        record InDoubt() implements HeldAnswer {}
    }

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

    /**
     * Stores the messages of a node's answer to an attempt until {@link #conclude} is called for the request.
     *
     * @param sqlState the SQLSTATE if the answer is an error, which says that the attempt had no effect; otherwise null
     */
    void holdAnswer(ClientRequest request, Attempt attempt, List<byte[]> answer, String sqlState) {
        boolean mayReport = sqlState == null || mayReportError(request, attempt, sqlState);
        answers.put(request, mayReport ? new HeldAnswer.OfNode(answer) : new HeldAnswer.InDoubt());
    }

    private boolean mayReportError(ClientRequest request, Attempt attempt, String sqlState) {
        boolean mayReport = FinalAnswerPolicy.mayReportError(request, attempt, SqlState.isRefusal(sqlState));
        if (!mayReport) {
            counters.increment("error replaced by in doubt");
        }
        return mayReport;
    }

    /** Answers a request whose decision is final: any action other than {@link RoutingAction#SEND}. */
    void conclude(ClientRequest request, Decision decision) {
        RoutingAction action = decision.action();
        HeldAnswer answer = answers.remove(request);
        if (action != RoutingAction.DONE || answer instanceof HeldAnswer.InDoubt) {
            peers.onRequestAbandoned(request);
        }
        counters.increment(action + " " + request.requestClass.name());
        if (openRequests.remove(request)) {
            respond(request, decision, answer);
        }
    }

    private void respond(ClientRequest request, Decision decision, HeldAnswer answer) {
        ClientSession session = request.clientSession;
        if (answer instanceof HeldAnswer.OfNode ofNode) {
            session.respondWithResult(ofNode.messages());
        } else if (answer instanceof HeldAnswer.InDoubt) {
            session.respondInDoubt();
        } else if (decision.action() == RoutingAction.REJECT) {
            session.respondRejected(clientsHonorRetryAfter ? decision.retryAfterSeconds() : 0);
        } else if (decision.action() == RoutingAction.FAIL) {
            respondFailed(request, request.lastNodeError);
        }
    }

    /** Responds with the error of the last attempt, unless it says less than what may have happened. */
    private void respondFailed(ClientRequest request, ClientRequest.NodeError error) {
        if (error != null && mayReportError(request, error.attempt(), error.sqlState())) {
            request.clientSession.respondWithResult(error.messages());
        } else {
            request.clientSession.respondInDoubt();
        }
    }
}
