package clayhook.serve;

import clayhook.Attempt;
import clayhook.AttemptOutcome;
import clayhook.AttemptResult;
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
 * Selects what this router shares with its peers of what it learns itself. Does nothing where sharing is disabled.
 * Event loop only, but for {@link #attach} and {@link #start}.
 */
final class PeerReporter {
    /** The type byte of a server message that holds an error. */
    private static final byte ERROR_MESSAGE = 'E';

    /** Null where sharing is disabled. */
    private final PeerSharing sharing;

    private final SlewedClock clock;

    PeerReporter(PeerSharing sharing, SlewedClock clock) {
        this.sharing = sharing;
        this.clock = clock;
    }

    /** To be called before the first request, which may ask for a session's last write. */
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

    /** The position in seconds that a session's read must cover as far as peers know; 0 for none. */
    double requiredPosition(RequestClass requestClass, String session, double now) {
        return sharing == null || requestClass.consistency() != ConsistencyLevel.SESSION
                ? 0
                : sharing.requiredPosition(session, now);
    }

    /** {@code answer}: the messages of the node's answer; null where it gave none. */
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

    /** The answer to an SQL statement may be an error of the database, after which nothing has been committed. */
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
     * A request ends without an answer of a node: where it is a write that may have run, peers record it as in doubt.
     */
    void onRequestAbandoned(Request request) {
        if (sharing != null
                && request.requestClass.consistency() == ConsistencyLevel.WRITE
                && request.requestClass.idempotency() != Idempotency.IDEMPOTENT
                && OpenRequests.mayHaveRun(request)) {
            sharing.recordWriteOutcome((ClientRequest) request, null, clock.now());
        }
    }

    /** {@code discovery}: the address that answered with this list. */
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

    /** An attempt was sent: the first of a request uses none of the quota. */
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

    /** {@code settings}: null where the reloaded file disables sharing, which takes a restart. */
    void reload(SharingSettings settings) {
        if (sharing != null && settings != null) {
            sharing.reload(settings);
        }
    }
}
