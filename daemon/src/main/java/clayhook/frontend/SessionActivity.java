package clayhook.frontend;

import java.util.Optional;

/**
 * The times of the last activity on one client session, and the time limits that depend on them. Clock times are in
 * seconds. All methods must be called on the event loop.
 */
final class SessionActivity {
    /**
     * The time limit for the first request of a client, and for the rest of a partially received message. The platform
     * closes clients after 2 s without a request.
     */
    private static final double IDLE_TIMEOUT_SECONDS = 2.2;
    /**
     * The time limit for a client to read a response, after which the connection is closed; longer than any client
     * timeout.
     */
    private static final double UNREAD_RESPONSE_TIMEOUT_SECONDS = 10;
    /**
     * The addition to the eviction rank of a client that has sent a request. It is bounded, so that a client that has
     * sent one request and stays connected cannot keep out new clients.
     */
    private static final double ACTIVE_CLIENT_BONUS_SECONDS = 2;

    /**
     * The time after which a client has usually read a response; longer than the delay of networks and busy clients.
     */
    private static final double RESPONSE_READ_ALLOWANCE_SECONDS = 0.3;

    private static final double NONE = 0;

    /**
     * The time of the connect, of the last response to a request, or of the start of the close; the latest of these.
     */
    private double idleSince;
    /** The time since which a message has been partially received, or {@link #NONE}. */
    private double partialMessageSince = NONE;
    /** The time of the last input. */
    private double lastInputAt;

    private boolean hasSentRequest;
    /** The time at which the last response was written, whether from a node or from the router itself. */
    private double respondedAt = Double.NEGATIVE_INFINITY;
    /** The time at which a response was last passed to the socket as a whole. */
    private double writtenAt = Double.NEGATIVE_INFINITY;

    SessionActivity(double connectedAt) {
        idleSince = connectedAt;
        lastInputAt = connectedAt;
    }

    void onMessage() {
        partialMessageSince = NONE;
    }

    void onReadComplete(double now) {
        lastInputAt = now;
    }

    /** Records whether the input that has been decoded ends with part of a message. */
    void onDecoded(boolean hasPartialMessage) {
        if (!hasPartialMessage) {
            partialMessageSince = NONE;
        } else if (partialMessageSince == NONE) {
            partialMessageSince = lastInputAt;
        }
    }

    void onRequest() {
        hasSentRequest = true;
    }

    /** Records that a response to a request is written, or that the connection starts to close. */
    void onIdle(double now) {
        idleSince = now;
    }

    /**
     * Records that a response is written, including responses to messages that are not requests: an empty query, a
     * setting, an invalid statement.
     */
    void onResponse(double now) {
        respondedAt = now;
    }

    /** Records that a response has been passed to the socket as a whole, because the client reads. */
    void onWritten(double now) {
        writtenAt = now;
    }

    boolean hasSentRequest() {
        return hasSentRequest;
    }

    /**
     * The time in seconds until the client is expected to have read the last response; 0 or negative if that time has
     * passed or there was no response.
     */
    double secondsUntilResponsePresumedRead(double now) {
        return respondedAt + RESPONSE_READ_ALLOWANCE_SECONDS - now;
    }

    /**
     * Whether the client has read no response within the time limit; relevant only while a response is not fully
     * written.
     */
    boolean isResponseUnreadTooLong(double now) {
        double lastProgressAt = Math.max(idleSince, Math.max(respondedAt, writtenAt));
        return now > lastProgressAt + UNREAD_RESPONSE_TIMEOUT_SECONDS;
    }

    /** The time limit that an idle client has exceeded, as a text for the log; empty if it is within its limits. */
    Optional<String> exceededTimeLimit(double now) {
        if (partialMessageSince > NONE && now > partialMessageSince + IDLE_TIMEOUT_SECONDS) {
            return Optional.of("incomplete message from a client");
        }
        if (!hasSentRequest && now > idleSince + IDLE_TIMEOUT_SECONDS) {
            return Optional.of("no request from a client");
        }
        return Optional.empty();
    }

    /** The eviction rank of this session; sessions with a lower rank are evicted first. */
    double evictionRank() {
        return idleSince + (hasSentRequest ? ACTIVE_CLIENT_BONUS_SECONDS : 0);
    }
}
