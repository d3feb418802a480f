package clayhook.frontend;

import java.util.Optional;
import java.util.function.DoubleSupplier;

/** When one client was last active, and which time limits follow. Clock times in seconds. Event loop only. */
final class SessionActivity {
    /** For a first request, or the rest of a message; the platform closes clients after 2 s without a request. */
    private static final double IDLE_TIMEOUT_SECONDS = 2.2;
    /**
     * A response that the client does not read for so long is dropped with its connection; above any client timeout.
     */
    private static final double UNREAD_RESPONSE_TIMEOUT_SECONDS = 10;
    /**
     * By how much a client that has sent a request outranks one that has not when a session is evicted. Bounded, so
     * that a client that sent one request and stays cannot bar new ones.
     */
    private static final double ACTIVE_CLIENT_BONUS_SECONDS = 2;

    /** A client has read a response after this time, as a rule: above the delay of networks and of busy clients. */
    private static final double ANSWER_SETTLE_SECONDS = 0.3;

    private static final double NONE = 0;

    /** When it connected, was last answered, or began to close. */
    private double quietSince;
    /** Since when part of a message has been waiting for its rest, or {@link #NONE}. */
    private double partialMessageSince = NONE;

    private boolean hasSentRequest;
    /** When the last answer was written, whoever gave it. */
    private double answeredAt = Double.NEGATIVE_INFINITY;

    SessionActivity(double connectedAt) {
        quietSince = connectedAt;
    }

    void onMessage() {
        partialMessageSince = NONE;
    }

    void onReadComplete(boolean hasPartialMessage, DoubleSupplier clock) {
        if (!hasPartialMessage) {
            partialMessageSince = NONE;
        } else if (partialMessageSince == NONE) {
            partialMessageSince = clock.getAsDouble();
        }
    }

    void onRequest() {
        hasSentRequest = true;
    }

    /** The client has been answered, or its connection begins to close. */
    void onQuiet(double now) {
        quietSince = now;
    }

    /** An answer is written, also one to what is no request: an empty query, a setting, an invalid statement. */
    void onAnswer(double now) {
        answeredAt = now;
    }

    boolean hasSentRequest() {
        return hasSentRequest;
    }

    /** How long until the client has read its last answer, as a rule; not above 0 once it has, or there was none. */
    double secondsUntilAnswerSettles(double now) {
        return answeredAt + ANSWER_SETTLE_SECONDS - now;
    }

    /** Whether the last response has been waiting too long for the client to read it, if it is not fully written. */
    boolean isResponseUnreadTooLong(double now) {
        return now > quietSince + UNREAD_RESPONSE_TIMEOUT_SECONDS;
    }

    /** Why an idle client is to be disconnected, for the log; empty if it is within its time limits. */
    Optional<String> idleTimeout(double now) {
        if (partialMessageSince > NONE && now > partialMessageSince + IDLE_TIMEOUT_SECONDS) {
            return Optional.of("incomplete message from a client");
        }
        if (!hasSentRequest && now > quietSince + IDLE_TIMEOUT_SECONDS) {
            return Optional.of("no request from a client");
        }
        return Optional.empty();
    }

    /** Sessions with a lower rank are evicted first. */
    double evictionRank() {
        return quietSince + (hasSentRequest ? ACTIVE_CLIENT_BONUS_SECONDS : 0);
    }
}
