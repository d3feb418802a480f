package clayhook.transport;

import java.time.Instant;

/** Seconds since 1970 that never go back: the steady clock, led to the wall clock by at most one part in 200. */
public final class Clock {
    /** Ten times what a wall clock is usually corrected by; a jump of it moves no time limit by more. */
    private static final double MOST_CORRECTION = 0.005;

    private long steadyAt = System.nanoTime();
    private double last = wall();

    public double now() {
        long steady = System.nanoTime();
        double passed = (steady - steadyAt) / 1e9;
        steadyAt = steady;
        double most = MOST_CORRECTION * passed;
        last += passed + Math.max(-most, Math.min(most, wall() - last - passed));
        return last;
    }

    private static double wall() {
        Instant now = Instant.now();
        return now.getEpochSecond() + now.getNano() / 1e9;
    }
}
