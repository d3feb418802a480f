package clayhook.transport;

import java.time.Instant;

/** Seconds since 1970 that never go back: the steady clock, led to the wall clock by at most one part in 200. */
public final class SlewedClock {
    /** Ten times what a wall clock is usually corrected by; a jump of it moves no time limit by more. */
    private static final double MAX_SLEW_RATE = 0.005;

    private long lastNanoTime = System.nanoTime();
    private double lastTime = wallClock();

    public double now() {
        long steady = System.nanoTime();
        double passed = (steady - lastNanoTime) / 1e9;
        lastNanoTime = steady;
        double most = MAX_SLEW_RATE * passed;
        lastTime += passed + Math.max(-most, Math.min(most, wallClock() - lastTime - passed));
        return lastTime;
    }

    private static double wallClock() {
        Instant now = Instant.now();
        return now.getEpochSecond() + now.getNano() / 1e9;
    }
}
