package clayhook.serve;

import clayhook.FinalAnswerPolicy;
import clayhook.RequestClass;
import clayhook.RequestClass.ConsistencyLevel;
import clayhook.RequestClass.Idempotency;
import clayhook.backend.BackendClient;
import clayhook.frontend.ClientRequest;
import clayhook.frontend.ClientSession;
import clayhook.inflight.InFlightRequests;
import clayhook.log.Log;
import clayhook.metrics.EventCounters;
import clayhook.protocol.KeyValueStatement;
import clayhook.sql.SqlAdmission.AdmissionResult;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.function.DoubleConsumer;

/** Validates and admits the statements of clients, and cancels requests on request or disconnect. Event loop only. */
final class RequestAdmission implements ClientSession.RequestHandler {
    /** The reasons of this class are sent to clients, so their wording is part of the protocol. */
    static final String UNKNOWN_REPLICA_SET = "unknown group of nodes";

    private static final String UNKNOWN_REQUEST_CLASS = "unknown command group";
    private static final String WRONG_STATEMENT_KIND = "a statement of another kind than its command group";
    private static final String MISSING_IDEMPOTENCY_KEY = "no key in a keyed command group";
    private static final String DUPLICATE_ID = "the id of an open command";
    private static final String INVALID_STATEMENT = "42601";

    private final Executor loop;
    private final EventInbox inbox;
    private final BackendClient backend;
    private final LongStatementQueue<ClientSession> longStatements;
    private final InFlightRequests inFlight;
    private final OpenRequests openRequests;
    private final SqlRequests sqlRequests;
    private final PeerReporter peers;

    private final EventCounters counters;
    private final Map<String, RequestClass> requestClasses = new HashMap<>();

    RequestAdmission(
            Executor loop,
            EventInbox inbox,
            LongStatementQueue<ClientSession> longStatements,
            BackendClient backend,
            InFlightRequests inFlight,
            OpenRequests openRequests,
            SqlRequests sqlRequests,
            PeerReporter peers,
            EventCounters counters,
            List<RequestClass> requestClasses) {
        this.loop = loop;
        this.inbox = inbox;
        this.longStatements = longStatements;
        this.backend = backend;
        this.inFlight = inFlight;
        this.openRequests = openRequests;
        this.sqlRequests = sqlRequests;
        this.peers = peers;

        this.counters = counters;
        requestClasses.forEach(requestClass -> this.requestClasses.put(requestClass.name(), requestClass));
    }

    @Override
    public void onKeyValueStatement(ClientSession session, KeyValueStatement statement) {
        RequestClass requestClass = requestClasses.get(statement.requestClassName);
        String reason = rejectionReason(requestClass, statement);
        if (reason != null) {
            loop.execute(() -> reject(session, reason));
            return;
        }
        openRequests.reserveId(statement.requestId);
        inbox.add(arrivedAt -> runOnceCloseIsKnown(session, arrivedAt, now -> {
            if (openRequests.isAbandoned(statement.requestId, now)) {
                openRequests.releaseId(statement.requestId);
                reject(session, DUPLICATE_ID);
                return;
            }
            double requiredPosition = peers.requiredPosition(requestClass, statement.key, now);
            var request = new ClientRequest(requestClass, statement, session, requiredPosition, arrivedAt);
            openRequests.admit(request, now);
        }));
    }

    /**
     * Runs an event in this tick, or in a later one if input that has not been received yet may hide that the client
     * has closed its connection: no attempt may begin for a client that has gone.
     */
    private void runOnceCloseIsKnown(ClientSession session, double now, DoubleConsumer event) {
        if (session.isCloseKnown()) {
            event.accept(now);
        } else {
            counters.increment("close not known");
            session.runOnceCloseIsKnown(() -> inbox.add(event));
        }
    }

    private static void reject(ClientSession session, String reason) {
        Log.warn("client", reason);
        session.respondWithError(INVALID_STATEMENT, reason);
    }

    /** The reason for which a statement is invalid, or null if it is valid. */
    private String rejectionReason(RequestClass requestClass, KeyValueStatement statement) {
        if (requestClass == null) {
            return UNKNOWN_REQUEST_CLASS;
        } else if ((requestClass.consistency() == ConsistencyLevel.WRITE) != statement.isWrite) {
            return WRONG_STATEMENT_KIND;
        } else if (requestClass.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY && !statement.hasIdempotencyKey) {
            return MISSING_IDEMPOTENCY_KEY;
        } else if (!backend.hasReplicaSet(statement.replicaSetId)) {
            return UNKNOWN_REPLICA_SET;
        }
        return openRequests.containsId(statement.requestId) ? DUPLICATE_ID : null;
    }

    @Override
    public void onSqlStatement(ClientSession session, byte[] text) {
        if (LongStatementQueue.isLong(text.length)) {
            inbox.add(arrivedAt -> longStatements.add(session, () -> classifyLong(session, text, arrivedAt)));
        } else {
            classifyAndAdmit(session, text, 0);
        }
    }

    /**
     * Classifies a statement that has waited for it. A fault ends the session, as one in handling its message would.
     */
    private void classifyLong(ClientSession session, byte[] text, double arrivedAt) {
        if (session.isClientGone()) {
            counters.increment("disconnected");
            return;
        }
        try {
            classifyAndAdmit(session, text, arrivedAt);
        } catch (RuntimeException | Error e) {
            session.onException();
            throw e;
        }
    }

    /**
     * Classifies a statement, and admits or refuses it.
     *
     * @param arrivedAt when it arrived, if it has waited to be classified; otherwise 0
     */
    private void classifyAndAdmit(ClientSession session, byte[] text, double arrivedAt) {
        AdmissionResult result = sqlRequests.classify(session, text);
        if (result instanceof AdmissionResult.Admitted admitted && backend.hasReplicaSet(admitted.replicaSetId())) {
            counters.increment(admitted.classification().verdict() + " "
                    + admitted.classification().rule());
            inbox.add(classifiedAt -> runOnceCloseIsKnown(session, classifiedAt, now -> {
                double waited = arrivedAt == 0 ? 0 : classifiedAt - arrivedAt;
                sqlRequests.admit(admitted, session, timeoutSeconds(admitted) - waited, now);
            }));
        } else {
            // In a tick, which renews the parse budget that the statement has used.
            inbox.add(now -> sqlRequests.refuse(session, result));
        }
    }

    private static double timeoutSeconds(AdmissionResult.Admitted admitted) {
        return Math.min(admitted.timeoutSeconds(), admitted.requestClass().clientTimeoutSeconds());
    }

    @Override
    public void onClientGone(ClientSession session) {
        inbox.add(now -> {
            longStatements.remove(session);
            ClientRequest request = openRequests.remove(session);
            if (request != null) {
                counters.increment("disconnected");
                peers.onRequestAbandoned(request);
                inFlight.onClientGone(request);
                request.attempts.forEach(backend::cancelIfUnsent);
                // One tick later, when the outcomes of the cancelled attempts are known.
                inbox.add(next -> openRequests.releaseAbandonedId(request, next));
            }
        });
    }

    /**
     * Sends no further attempts and cancels those in flight. The client gets its answer once the outcomes of the
     * attempts are known.
     */
    @Override
    public void onCancelRequest(ClientSession session) {
        inbox.add(now -> {
            ClientRequest request = openRequests.find(session);
            if (request == null || request.completed) {
                return;
            }
            openRequests.remove(session);
            counters.increment("cancelled");
            inFlight.onClientGone(request);
            // One tick later: an attempt decided in this tick is sent at its end, and must be cancelled as well.
            inbox.add(next -> cancelAttempts(request));
        });
    }

    /** Cancels the attempts, and answers one tick later, when the results of the cancelled attempts were handled. */
    private void cancelAttempts(ClientRequest request) {
        inFlight.cancellableAttempts(request).forEach(backend::cancel);
        inbox.add(now -> {
            peers.onRequestAbandoned(request);
            openRequests.releaseId(request.requestId);
            request.clientSession.respondCancelled(FinalAnswerPolicy.mayHaveBeenExecuted(request));
        });
    }
}
