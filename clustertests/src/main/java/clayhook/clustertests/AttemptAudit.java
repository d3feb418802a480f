package clayhook.clustertests;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Judges what routers send to nodes for a client: nothing that begins later than a moment after the client left, at
 * most the time that the client still waits, and the client's own idempotency key. Times are seconds on the clock of
 * {@link HistoryRecorder}. Requests are kept for as long as the run. Thread-safe.
 */
final class AttemptAudit {
    /** An attempt may begin so long after its client has left. */
    private static final double LEFT_GRACE_SECONDS = 0.1;
    /** By which the time that a node is told may exceed what is left to the client. */
    private static final double TIMEOUT_SLACK_SECONDS = 0.15;

    private static final class ClientRequest {
        final double sentAt;
        final double deadlineAt;
        /** Null for a request without one. */
        final String idempotencyKey;

        double leftAt = Double.POSITIVE_INFINITY;

        ClientRequest(double sentAt, double deadlineAt, String idempotencyKey) {
            this.sentAt = sentAt;
            this.deadlineAt = deadlineAt;
            this.idempotencyKey = idempotencyKey;
        }
    }

    private final Map<String, ClientRequest> requests = new HashMap<>();
    /** When each router's process was last continued after it had been held up. */
    private final Map<String, Double> continuedAt = new HashMap<>();

    private final List<String> violations = new ArrayList<>();

    /** A client sends a request now; {@code idempotencyKey} is null for none. */
    synchronized void onSent(String id, double timeoutSeconds, String idempotencyKey) {
        double now = HistoryRecorder.now();
        requests.put(id, new ClientRequest(now, now + timeoutSeconds, idempotencyKey));
    }

    /** The client of a request has closed its connection. */
    synchronized void onLeft(String id) {
        requests.get(id).leftAt = HistoryRecorder.now();
    }

    /** A router that was held up for longer than the rules allow for goes on; what it missed it reads from now on. */
    synchronized void onContinued(String router) {
        continuedAt.put(router, HistoryRecorder.now());
    }

    /** A node has read an attempt. */
    synchronized void onAttempt(NodeRequest attempt) {
        ClientRequest request = requests.get(attempt.statement().requestId);
        if (request == null) {
            return;
        }
        double heldUpUntil = continuedAt.getOrDefault(attempt.router(), 0.0);
        double late = attempt.at() - Math.max(request.leftAt, heldUpUntil) - LEFT_GRACE_SECONDS;
        if (attempt.at() > request.leftAt && late > HistoryRecorder.MACHINE_SECONDS) {
            report(attempt, "%.2f s after the client left", attempt.at() - request.leftAt);
        }
        double excess = attempt.statement().timeoutSeconds - (request.deadlineAt - attempt.at());
        boolean heldUp = heldUpUntil > request.sentAt;
        if (!heldUp && excess > TIMEOUT_SLACK_SECONDS + HistoryRecorder.MACHINE_SECONDS) {
            report(attempt, "with a timeout that is %.2f s longer than the client waits", excess);
        }
        boolean sameKey = attempt.statement().outcomeKey.equals(request.idempotencyKey);
        if (request.idempotencyKey != null && !sameKey) {
            report(attempt, "under the key " + attempt.statement().outcomeKey + " in place of the client's");
        }
    }

    private void report(NodeRequest attempt, String how, Object... values) {
        violations.add(attempt.statement().requestId + " was sent to "
                + attempt.node().id() + " by " + attempt.router() + " " + String.format(Locale.ROOT, how, values));
    }

    /** All attempts that broke a rule, in words. */
    synchronized List<String> violations() {
        return List.copyOf(violations);
    }
}
