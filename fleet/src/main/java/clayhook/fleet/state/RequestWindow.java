package clayhook.fleet.state;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * The outstanding requests of one anti-entropy session. A window limits their number; it grows by one with each
 * response and is halved with each retry. Not thread-safe.
 */
final class RequestWindow {
    private static final int INITIAL_SIZE = 4;
    private static final int MIN_SIZE = 2;

    private final StateSettings settings;
    private final StateCounters counters;
    /**
     * The outstanding requests by request id, at most {@link StateSettings#maxOutstandingRequests}. A response removes
     * its request; the rest is discarded with the session.
     */
    private final Map<Integer, OutstandingRequest> outstanding = new HashMap<>();

    private int size = INITIAL_SIZE;
    private int lastRequestId;
    private double lastResponseAt;

    RequestWindow(StateSettings settings, StateCounters counters, double now) {
        this.settings = settings;
        this.counters = counters;
        lastResponseAt = now;
    }

    /** Returns a new request id, unique in the session. */
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
            // Time without outstanding requests, such as a wait for bandwidth, does not count towards the peer timeout.
            lastResponseAt = now;
        }
        outstanding.put(request.message().requestId(), request);
    }

    /** Removes and returns the request that a response answers; empty if the request was answered before. */
    Optional<OutstandingRequest> complete(int requestId, double now) {
        OutstandingRequest request = outstanding.remove(requestId);
        if (request == null) {
            return Optional.empty();
        }
        lastResponseAt = now;
        size = Math.min(settings.maxOutstandingRequests(), size + 1);
        return Optional.of(request);
    }

    /** Passes each request whose retry timeout has elapsed to {@code send} and halves the window for each. */
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
