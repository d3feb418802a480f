package clayhook.lab.model;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * A scheduler on the machine's clock, in seconds since 1970. All events run on one event loop; their lateness is
 * recorded.
 */
final class WallClockScheduler implements Scheduler {
    /** Upper bound of the recorded lateness in microseconds. */
    private static final long MAX_LATENESS_MICROS = 60_000_000;

    private final EventLoop loop;
    private final double start = System.currentTimeMillis() / 1000.0;
    private final long startNanos = System.nanoTime();
    private double currentDueTime;
    private final Histogram lateness = new Histogram(MAX_LATENESS_MICROS, 3);

    WallClockScheduler(EventLoop loop) {
        this.loop = loop;
    }

    /**
     * Returns the due time of the running event, if any, else the current time; so events scheduled by a late event do
     * not inherit its lateness.
     */
    @Override
    public double now() {
        return currentDueTime > 0 ? currentDueTime : wallClock();
    }

    private double wallClock() {
        return start + (System.nanoTime() - startNanos) / 1e9;
    }

    @SuppressWarnings("FutureReturnValueIgnored") // a scheduled event reports its own failures
    @Override
    public void scheduleAt(double time, Runnable event) {
        loop.schedule(
                () -> {
                    lateness.recordValue(
                            Math.max(0, Math.min(MAX_LATENESS_MICROS, (long) ((wallClock() - time) * 1e6))));
                    currentDueTime = time;
                    try {
                        event.run();
                    } finally {
                        currentDueTime = 0;
                    }
                },
                (long) (Math.max(0, time - wallClock()) * 1e9),
                TimeUnit.NANOSECONDS);
    }

    /** Discards the lateness recorded so far, which includes the warm-up of the JVM. */
    void resetLateness() {
        lateness.reset();
    }

    /** 99th percentile of the lateness of events, in seconds. */
    double latenessSeconds() {
        return lateness.getValueAtPercentile(99) / 1e6;
    }
}
