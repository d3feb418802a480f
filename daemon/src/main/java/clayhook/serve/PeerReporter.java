package clayhook.serve;

import clayhook.Attempt;
import clayhook.AttemptOutcome;
import clayhook.AttemptResult;
import clayhook.FinalAnswerPolicy;
import clayhook.Node;
import clayhook.Request;
import clayhook.RequestClass;
import clayhook.RequestClass.ConsistencyLevel;
import clayhook.RequestClass.Idempotency;
import clayhook.config.SharingSettings;
import clayhook.discovery.EndpointList;
import clayhook.frontend.ClientRequest;
import clayhook.sharing.PeerSharing;
import clayhook.transport.SlewedClock;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.Executor;

/**
 * Reports this router's own observations, write outcomes, endpoint lists and quota use to its peers. Does nothing if
 * sharing is disabled. Event loop only, except {@link #attach} and {@link #start}.
 */
final class PeerReporter {
    /** The type byte of an ErrorResponse message. */
    private static final byte ERROR_MESSAGE = 'E';

    /** Null if sharing is disabled. */
    private final PeerSharing sharing;

    private final SlewedClock clock;

    PeerReporter(PeerSharing sharing, SlewedClock clock) {
        this.sharing = sharing;
        this.clock = clock;
    }

    /**
     * Connects this reporter with its peers. Must be called before the first request, which may need the last write of
     * its session.
     */
    void attach(Executor loop, InetSocketAddress discovery, PeerSharing.PeerListener listener) {
        if (sharing != null) {
            sharing.attach(loop, discovery, listener);
        }
    }

    void start() {
        if (sharing != null) {
            sharing.start();
        }
    }

    /**
     * The position that a read of a session must cover according to the last writes reported by peers, in seconds; 0 if
     * there is none.
     */
    double requiredPosition(RequestClass requestClass, String session, double now) {
        return sharing == null || requestClass.consistency() != ConsistencyLevel.SESSION
                ? 0
                : sharing.requiredPosition(session, now);
    }

    /**
     * Reports the result of an attempt.
     *
     * @param answer the messages of the node's answer; null if there was none
     */
    void onAttemptFinished(Attempt attempt, AttemptResult result, List<byte[]> answer, double now) {
        if (sharing == null) {
            return;
        }
        sharing.recordObservation(attempt.node, result, now);
        var request = (ClientRequest) attempt.request;
        boolean committed = result.outcome() == AttemptOutcome.ANSWERED
                && request.requestClass.consistency() == ConsistencyLevel.WRITE
                && !containsError(answer);
        if (committed && request.classification == null) {
            double position = result.appliedPosition() > 0 ? result.appliedPosition() : now;
            sharing.recordSessionWrite(request.sessionId, request.replicaSetId, position);
        }
        if (committed && request.requestClass.idempotency() != Idempotency.IDEMPOTENT) {
            sharing.recordWriteOutcome(request, attempt.node, now);
        }
    }

    /** Whether an answer contains an error of the database, which means that the SQL statement committed nothing. */
    private static boolean containsError(List<byte[]> answer) {
        for (byte[] message : answer) {
            if (message[0] == ERROR_MESSAGE) {
                return true;
            }
        }
        return false;
    }

    void onHealthCheck(Node node, AttemptResult result, double now) {
        if (sharing != null) {
            sharing.recordObservation(node, result, now);
        }
    }

    /**
     * Reports a request that ends without an answer of a node. If it is a write that may have run, peers record it as
     * in doubt.
     */
    void onRequestAbandoned(Request request) {
        if (sharing != null
                && request.requestClass.consistency() == ConsistencyLevel.WRITE
                && request.requestClass.idempotency() != Idempotency.IDEMPOTENT
                && FinalAnswerPolicy.mayHaveBeenExecuted(request)) {
            sharing.recordWriteOutcome((ClientRequest) request, null, clock.now());
        }
    }

    /**
     * Reports an endpoint list from discovery.
     *
     * @param discovery the address of the discovery service that sent the list
     */
    void onEndpointList(InetSocketAddress discovery, EndpointList list) {
        if (sharing != null) {
            sharing.recordEndpointList(discovery, list);
        }
    }

    void onHealthChecksStarted(int count) {
        if (sharing != null && count > 0) {
            sharing.recordQuotaUse(PeerSharing.SharedQuota.HEALTH_CHECKS, count);
        }
    }

    /** Reports a sent attempt; the first attempt of a request uses no quota. */
    void onAttemptSent(Request request) {
        if (sharing != null && request.attempts.size() > 1) {
            sharing.recordQuotaUse(PeerSharing.SharedQuota.FURTHER_ATTEMPTS, 1);
        }
    }

    void onDiscoveryMoved(InetSocketAddress discovery) {
        if (sharing != null) {
            sharing.discoveryMoved(discovery);
        }
    }

    /**
     * Applies reloaded settings.
     *
     * @param settings null if the reloaded file disables sharing, which changes nothing until a restart
     */
    void reload(SharingSettings settings) {
        if (sharing != null && settings != null) {
            sharing.reload(settings);
        }
    }
}
