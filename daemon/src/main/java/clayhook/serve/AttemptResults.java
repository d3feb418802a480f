package clayhook.serve;

import clayhook.Attempt;
import clayhook.AttemptOutcome;
import clayhook.AttemptRefusal;
import clayhook.AttemptResult;
import clayhook.Node;
import clayhook.RequestClass.ConsistencyLevel;
import clayhook.RoutingPolicy;
import clayhook.backend.BackendClient;
import clayhook.frontend.ClientRequest;
import clayhook.inflight.InFlightRequests;
import clayhook.log.Log;
import clayhook.metrics.EventCounters;
import clayhook.transport.SlewedClock;
import java.util.List;

/** Reports the results of attempts and health checks to the routing policy and to peers. Event loop only. */
final class AttemptResults implements BackendClient.Listener {
    /** SQLSTATE read_only_sql_transaction, with which a read-only node rejects a statement that writes. */
    private static final String READ_ONLY = "25006";

    private final EventInbox inbox;
    private final RoutingPolicy policy;
    private final InFlightRequests inFlight;
    private final SqlRequests sqlRequests;
    private final ClientResponder responder;
    private final PeerReporter peers;
    private final EventCounters counters;
    private final SlewedClock clock;

    AttemptResults(
            EventInbox inbox,
            RoutingPolicy policy,
            InFlightRequests inFlight,
            SqlRequests sqlRequests,
            ClientResponder responder,
            PeerReporter peers,
            EventCounters counters,
            SlewedClock clock) {
        this.inbox = inbox;
        this.policy = policy;
        this.inFlight = inFlight;
        this.sqlRequests = sqlRequests;
        this.responder = responder;
        this.peers = peers;
        this.counters = counters;
        this.clock = clock;
    }

    @Override
    public void onAttemptFinished(Attempt attempt, AttemptResult result, List<byte[]> answer, String sqlState) {
        counters.increment(result.outcome().toString());
        inbox.add(now -> handle(attempt, result, answer, sqlState, now));
    }

    private void handle(Attempt attempt, AttemptResult result, List<byte[]> answer, String sqlState, double now) {
        var request = (ClientRequest) attempt.request;
        if (needsRestartAsWrite(request, sqlState)) {
            sqlRequests.restartAsWrite(request, attempt, result, now);
            return;
        }
        boolean isAnswer = result.outcome() == AttemptOutcome.ANSWERED && !request.completed;
        if (!isAnswer && !request.completed) {
            sqlRequests.applyCurrentRules(request); // before the policy sends the request again
        }
        if (needsRestartUnderCurrentRules(request, attempt, result)) {
            sqlRequests.restartUnderCurrentRules(request, attempt, result, now);
            return;
        }
        request.lastNodeError =
                isAnswer || answer == null ? null : new ClientRequest.NodeError(attempt, sqlState, answer);
        if (isAnswer) {
            responder.holdAnswer(request, attempt, answer, sqlState);
        }
        if (request.classification != null && isAnswer) {
            sqlRequests.onAnswered(request, result, now);
        }
        peers.onAttemptFinished(attempt, result, answer, now);
        inFlight.onAttemptFinished(attempt, result, isAnswer, now);
    }

    /** Whether a replica rejected an SQL statement that was classified as a read but writes. */
    private static boolean needsRestartAsWrite(ClientRequest request, String sqlState) {
        return request.classification != null
                && READ_ONLY.equals(sqlState)
                && request.requestClass.consistency() != ConsistencyLevel.WRITE
                && !request.completed;
    }

    /** Whether a request that may write by new rules has not been executed by this attempt and has no other one. */
    private static boolean needsRestartUnderCurrentRules(ClientRequest request, Attempt attempt, AttemptResult result) {
        return request.mayWrite
                && !request.completed
                && result.outcome().notExecuted
                && request.attempts.stream().allMatch(other -> other == attempt || other.outcome != null);
    }

    @Override
    public void onHealthCheck(Node node, AttemptResult result) {
        counters.increment("health check " + result.outcome());
        inbox.add(now -> {
            peers.onHealthCheck(node, result, now);
            policy.onHealthCheck(node, result, now);
        });
    }

    @Override
    public boolean mayStillSend(Attempt attempt) {
        AttemptRefusal refusal = refusalOf(attempt, clock.now());
        if (refusal != AttemptRefusal.NONE) {
            counters.increment("not sent " + refusal);
        }
        return refusal == AttemptRefusal.NONE;
    }

    private AttemptRefusal refusalOf(Attempt attempt, double now) {
        boolean clientGone = ((ClientRequest) attempt.request).clientSession.isClientGone();
        if (clientGone) {
            return AttemptRefusal.CLIENT_GONE;
        }
        var request = (ClientRequest) attempt.request;
        sqlRequests.applyCurrentRules(request);
        return request.mayWrite ? AttemptRefusal.RULES_CHANGED : policy.refusalOf(attempt, now);
    }

    /**
     * Repeats the check of {@link #mayStillSend} after the write. If the process stalled between the check and the
     * write for longer than the margins of the attempt gate, the attempt was sent against a rule; it is counted and
     * logged.
     */
    @Override
    public void onAttemptWritten(Attempt attempt) {
        AttemptRefusal refusal = refusalOf(attempt, clock.now() - RoutingPolicy.MIN_STALL_MARGIN);
        if (refusal != AttemptRefusal.NONE) {
            counters.increment("sent though " + refusal);
            Log.warn(
                    "sent against a rule",
                    "request " + ((ClientRequest) attempt.request).requestId + " was sent to " + attempt.node.id()
                            + " although " + refusal);
        }
    }

    @Override
    public boolean isKnown(Node node) {
        return policy.isKnown(node);
    }
}
