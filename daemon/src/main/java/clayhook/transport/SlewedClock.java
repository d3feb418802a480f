package clayhook.transport;

import java.time.Instant;

/**
 * A clock that returns seconds since the Unix epoch and never goes backwards: the monotonic clock, slewed towards the
 * wall clock by at most one part in 200. Not thread-safe: each instance is confined to one thread.
 */
public final class SlewedClock {
    /** Ten times the usual slew rate of a wall clock; bounds how far a jump of the wall clock shifts a time limit. */
    private static final double MAX_SLEW_RATE = 0.005;

    private static final double NANOS_PER_SECOND = 1e9;

    private long lastNanoTime = System.nanoTime();
    private double lastTime = wallClock();

    /** The current time in seconds since the Unix epoch; at least the result of the previous call. */
    public double now() {
        long nanoTime = System.nanoTime();
        double elapsed = (nanoTime - lastNanoTime) / NANOS_PER_SECOND;
        lastNanoTime = nanoTime;
        double maxSlew = MAX_SLEW_RATE * elapsed;
        lastTime += elapsed + Math.max(-maxSlew, Math.min(maxSlew, wallClock() - lastTime - elapsed));
        return lastTime;
    }

    private static double wallClock() {
        Instant now = Instant.now();
        return now.getEpochSecond() + now.getNano() / NANOS_PER_SECOND;
    }
}
