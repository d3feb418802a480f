package clayhook.clustertests;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Checks the attempts that routers send to nodes: none begins more than a grace period after the client disconnected,
 * the timeout sent to the node does not exceed the client's remaining time, and a request with an idempotency key keeps
 * the client's key. Times are seconds on the clock of {@link HistoryRecorder}. Requests are retained for the whole run.
 * Thread-safe.
 */
final class AttemptAudit {
    /** Seconds after the client's disconnect during which an attempt may still begin. */
    private static final double DISCONNECT_GRACE_SECONDS = 0.1;
    /** Seconds by which the timeout sent to a node may exceed the client's remaining time. */
    private static final double TIMEOUT_SLACK_SECONDS = 0.15;

    private static final class ClientRequest {
        final double sentAt;
        final double deadlineAt;
        /** Idempotency key of the client, or null for a request without one. */
        final String idempotencyKey;

        double disconnectedAt = Double.POSITIVE_INFINITY;

        ClientRequest(double sentAt, double deadlineAt, String idempotencyKey) {
            this.sentAt = sentAt;
            this.deadlineAt = deadlineAt;
            this.idempotencyKey = idempotencyKey;
        }
    }

    private final Map<String, ClientRequest> requests = new HashMap<>();
    /** Time at which each router's process was last resumed after a stall, by router name. */
    private final Map<String, Double> resumedAt = new HashMap<>();

    private final List<String> violations = new ArrayList<>();

    /** Records that a client sends a request now; {@code idempotencyKey} is null for a request without a key. */
    synchronized void onSent(String id, double timeoutSeconds, String idempotencyKey) {
        double now = HistoryRecorder.now();
        requests.put(id, new ClientRequest(now, now + timeoutSeconds, idempotencyKey));
    }

    /** Records that the client of a request has closed its connection. */
    synchronized void onDisconnected(String id) {
        requests.get(id).disconnectedAt = HistoryRecorder.now();
    }

    /**
     * Records that a router resumes after a stall that is longer than the rules allow for. It reads disconnects and
     * requests that arrived meanwhile only from now on.
     */
    synchronized void onResumed(String router) {
        resumedAt.put(router, HistoryRecorder.now());
    }

    /** Checks an attempt that a node has read. */
    synchronized void onAttempt(NodeRequest attempt) {
        ClientRequest request = requests.get(attempt.statement().requestId);
        if (request == null) {
            return;
        }
        double stalledUntil = resumedAt.getOrDefault(attempt.router(), 0.0);
        double late = attempt.at() - Math.max(request.disconnectedAt, stalledUntil) - DISCONNECT_GRACE_SECONDS;
        if (attempt.at() > request.disconnectedAt && late > HistoryRecorder.MACHINE_SECONDS) {
            addViolation(attempt, "%.2f s after the client left", attempt.at() - request.disconnectedAt);
        }
        double excess = attempt.statement().timeoutSeconds - (request.deadlineAt - attempt.at());
        boolean wasStalled = stalledUntil > request.sentAt;
        if (!wasStalled && excess > TIMEOUT_SLACK_SECONDS + HistoryRecorder.MACHINE_SECONDS) {
            addViolation(attempt, "with a timeout that is %.2f s longer than the client waits", excess);
        }
        boolean sameKey = attempt.statement().outcomeKey.equals(request.idempotencyKey);
        if (request.idempotencyKey != null && !sameKey) {
            addViolation(attempt, "under the key " + attempt.statement().outcomeKey + " in place of the client's");
        }
    }

    private void addViolation(NodeRequest attempt, String format, Object... values) {
        violations.add(attempt.statement().requestId + " was sent to "
                + attempt.node().id() + " by " + attempt.router() + " " + String.format(Locale.ROOT, format, values));
    }

    /** Descriptions of all attempts that violated a rule. */
    synchronized List<String> violations() {
        return List.copyOf(violations);
    }
}
