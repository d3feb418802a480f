package clayhook.fleet.state;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * The outstanding requests of one anti-entropy session. Their number is limited by a window that grows by one with each
 * response and is halved with each retry. Not thread-safe.
 */
final class RequestWindow {
    private static final int INITIAL_SIZE = 4;
    private static final int MIN_SIZE = 2;

    private final StateSettings settings;
    private final StateCounters counters;
    /** At most {@link StateSettings#maxOutstandingRequests}; emptied by responses, and with the session. */
    private final Map<Integer, OutstandingRequest> outstanding = new HashMap<>();

    private int size = INITIAL_SIZE;
    private int lastRequestId;
    private double lastResponseAt;

    RequestWindow(StateSettings settings, StateCounters counters, double now) {
        this.settings = settings;
        this.counters = counters;
        lastResponseAt = now;
    }

    /** A new request id, unique in the session. */
    int nextRequestId() {
        return ++lastRequestId;
    }

    boolean hasRoom() {
        return outstanding.size() < size;
    }

    boolean isEmpty() {
        return outstanding.isEmpty();
    }

    void add(OutstandingRequest request, double now) {
        if (outstanding.isEmpty()) {
            // A pause for want of bandwidth is not a silence of the peer.
            lastResponseAt = now;
        }
        outstanding.put(request.message().requestId(), request);
    }

    /** Removes and returns the request that a response answers; empty if it was answered before. */
    Optional<OutstandingRequest> complete(int requestId, double now) {
        OutstandingRequest request = outstanding.remove(requestId);
        if (request == null) {
            return Optional.empty();
        }
        lastResponseAt = now;
        size = Math.min(settings.maxOutstandingRequests(), size + 1);
        return Optional.of(request);
    }

    /** Sends each request again whose retry timeout has passed. */
    void retryDue(double now, Consumer<OutstandingRequest> send) {
        for (OutstandingRequest request : outstanding.values()) {
            if (request.isRetryDue(now)) {
                counters.requestsRetried++;
                size = Math.max(MIN_SIZE, size / 2);
                send.accept(request);
            }
        }
    }

    /** Whether the peer has not answered for {@link StateSettings#peerTimeout}. */
    boolean isTimedOut(double now) {
        return now - lastResponseAt > settings.peerTimeout();
    }
}
