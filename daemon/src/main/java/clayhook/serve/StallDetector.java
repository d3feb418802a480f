package clayhook.serve;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * Tells how long a request that is read now may have waited in the system's buffers while the process was held up. A
 * heartbeat of the event loop shows when it last ran; what is read right after a stall may have come at its beginning.
 * Times are seconds of the monotonic clock. Event loop only after {@link #start}.
 */
final class StallDetector {
    private static final double HEARTBEAT_SECONDS = 0.05;

    /** A heartbeat that is later than this shows a stall. */
    private static final double STALL_SECONDS = 0.1;

    /** Connections that came during a stall are accepted and read within this time after it. */
    private static final double CATCH_UP_SECONDS = 0.1;

    private static final double NANOS_PER_SECOND = 1e9;

    private double lastHeartbeatAt;
    private double stallBeganAt = Double.NEGATIVE_INFINITY;
    private double stallEndedAt = Double.NEGATIVE_INFINITY;

    StallDetector(double now) {
        lastHeartbeatAt = now;
    }

    /** A detector whose heartbeat runs on an event loop for as long as that does. */
    @SuppressWarnings("FutureReturnValueIgnored") // ends with the event loop
    static StallDetector start(EventLoop loop) {
        var detector = new StallDetector(monotonicSeconds());
        long nanos = (long) (HEARTBEAT_SECONDS * NANOS_PER_SECOND);
        loop.scheduleWithFixedDelay(() -> detector.onHeartbeat(monotonicSeconds()), nanos, nanos, TimeUnit.NANOSECONDS);
        return detector;
    }

    void onHeartbeat(double now) {
        noteStall(now);
        lastHeartbeatAt = now;
    }

    /** How many seconds before now a request that is read now may have come; 0 unless the process was held up. */
    double secondsUnread() {
        return secondsUnread(monotonicSeconds());
    }

    double secondsUnread(double now) {
        noteStall(now);
        return now < stallEndedAt + CATCH_UP_SECONDS ? now - stallBeganAt : 0;
    }

    private void noteStall(double now) {
        if (now > lastHeartbeatAt + STALL_SECONDS) {
            stallBeganAt = lastHeartbeatAt;
            stallEndedAt = now;
            lastHeartbeatAt = now;
        }
    }

    private static double monotonicSeconds() {
        return System.nanoTime() / NANOS_PER_SECOND;
    }
}
