package clayhook.serve;

import clayhook.Attempt;
import clayhook.AttemptOutcome;
import clayhook.AttemptResult;
import clayhook.FinalAnswerPolicy;
import clayhook.Request;
import clayhook.RequestClass.ConsistencyLevel;
import clayhook.frontend.ClientRequest;
import clayhook.frontend.ClientSession;
import clayhook.inflight.InFlightRequests;
import clayhook.log.Log;
import clayhook.metrics.EventCounters;
import clayhook.sql.SqlAdmission;
import clayhook.sql.SqlAdmission.AdmissionResult;
import java.util.concurrent.Executor;

/**
 * Admits SQL statements as requests, restarts misclassified ones as writes, and evaluates their answers. Event loop
 * only.
 */
final class SqlRequests {
    private final Executor loop;
    private final ReloadableSqlAdmission sql;
    private final InFlightRequests inFlight;
    private final OpenRequests openRequests;
    private final EventCounters counters;

    SqlRequests(
            Executor loop,
            ReloadableSqlAdmission sql,
            InFlightRequests inFlight,
            OpenRequests openRequests,
            EventCounters counters) {
        this.loop = loop;
        this.sql = sql;
        this.inFlight = inFlight;
        this.openRequests = openRequests;
        this.counters = counters;
    }

    /** Classifies a statement and validates it against the operator's rules. */
    AdmissionResult classify(ClientSession session, byte[] text) {
        return sql.admission()
                .admit(
                        text,
                        session.settings().client(),
                        session.settings().timeout(),
                        session.settings().values());
    }

    /** Admits a statement whose client waits for {@code timeoutSeconds} at most. */
    void admit(AdmissionResult.Admitted admitted, ClientSession session, double timeoutSeconds, double now) {
        openRequests.admit(
                new ClientRequest(
                        admitted.requestClass(),
                        admitted.replicaSetId(),
                        admitted.statement(),
                        admitted.classification(),
                        session,
                        Math.max(admitted.requiredPosition(), session.lastWritePosition()),
                        now,
                        timeoutSeconds),
                now);
    }

    /**
     * Answers a statement with the error of its rejection, or with that of an unknown replica set if it was admitted.
     */
    void refuse(ClientSession session, AdmissionResult result) {
        var rejected = result instanceof AdmissionResult.Rejected given
                ? given
                : new AdmissionResult.Rejected("42601", RequestAdmission.UNKNOWN_REPLICA_SET);
        counters.increment("refused");
        Log.warn("statement", "refused: " + rejected.reason());
        loop.execute(() -> session.respondWithError(rejected.sqlState(), rejected.reason()));
    }

    /**
     * Applies the current rules to a read that was admitted under earlier ones. If they do not say that it is a read,
     * it is not repeated any more, and {@link Request#mayWrite} is set.
     */
    void applyCurrentRules(ClientRequest request) {
        boolean admittedAsRead = request.classification != null
                && request.requestClass.consistency() != ConsistencyLevel.WRITE
                && !request.mayWrite;
        SqlAdmission current = sql.admission();
        if (!admittedAsRead || request.appliedRules == current || current.isCurrent(request.classification)) {
            return;
        }
        request.appliedRules = current;
        AdmissionResult result = classify(request.clientSession, request.outboundStatement.textWithTimeout(0));
        request.mayWrite = !(result instanceof AdmissionResult.Admitted admitted
                && admitted.requestClass().consistency() != ConsistencyLevel.WRITE);
    }

    /**
     * Ends a request that may write by the current rules and of which an attempt has ended without being executed, and
     * admits its statement under these rules.
     */
    void restartUnderCurrentRules(ClientRequest request, Attempt attempt, AttemptResult result, double now) {
        AdmissionResult admission = classify(request.clientSession, request.outboundStatement.textWithTimeout(0));
        openRequests.remove(request.clientSession);
        inFlight.onAttemptFinished(attempt, result, true, now);
        counters.increment("restarted under new rules");
        restart(request, attempt, admission, now);
    }

    /**
     * Ends a request that a node refused to run as a read, without answering it, and admits it again as a write. If
     * another attempt may have been executed, the write may have had its effect, and the client is told so instead.
     */
    void restartAsWrite(ClientRequest request, Attempt attempt, AttemptResult result, double now) {
        ClientSession session = request.clientSession;
        AdmissionResult admission = sql.admission()
                .readmitAsWrite(
                        request.classification,
                        request.outboundStatement.textWithTimeout(0),
                        session.settings().client(),
                        session.settings().timeout(),
                        session.settings().values());
        openRequests.remove(session);
        inFlight.onAttemptFinished(attempt, withAnsweredOutcome(result), true, now);
        restart(request, attempt, admission, now);
    }

    /** Continues an ended request as a new one, unless an attempt other than the one that was refused may have run. */
    private void restart(ClientRequest request, Attempt attempt, AdmissionResult admission, double now) {
        ClientSession session = request.clientSession;
        boolean mayStartAnew = FinalAnswerPolicy.mayStartAnew(
                request,
                attempt,
                admission instanceof AdmissionResult.Admitted admitted ? admitted.requestClass() : null);
        if (!mayStartAnew) {
            counters.increment("restart replaced by in doubt");
            loop.execute(session::respondInDoubt);
        } else if (admission instanceof AdmissionResult.Admitted admitted) {
            admit(admitted, session, request.deadline - now, now);
        } else {
            refuse(session, admission);
        }
    }

    /**
     * Copies a result with the outcome ANSWERED: the node is healthy, and the routing policy must not treat its refusal
     * as that of a replica that lags too far behind.
     */
    private static AttemptResult withAnsweredOutcome(AttemptResult result) {
        return new AttemptResult(
                AttemptOutcome.ANSWERED,
                result.elapsedSeconds(),
                result.role(),
                result.appliedPosition(),
                result.reportedRole(),
                result.reportedPosition(),
                result.reportedLoad());
    }

    /** Records the service time of a statement, and after a write the position that later reads of its session need. */
    void onAnswered(ClientRequest request, AttemptResult result, double now) {
        sql.admission().recordServiceTime(request.classification, result.elapsedSeconds());
        if (request.requestClass.consistency() == ConsistencyLevel.WRITE) {
            request.clientSession.recordWrite(result.appliedPosition() > 0 ? result.appliedPosition() : now);
        }
    }
}
