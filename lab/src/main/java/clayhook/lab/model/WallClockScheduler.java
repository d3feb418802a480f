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
    private static final long LONGEST = 60_000_000;

    private final EventLoop loop;
    private final double start = System.currentTimeMillis() / 1000.0;
    private final long steady = System.nanoTime();
    private double due;
    private final Histogram late = new Histogram(LONGEST, 3);

    WallClockScheduler(EventLoop loop) {
        this.loop = loop;
    }

    /**
     * Returns the due time of the running event, if any, else the current time; so events scheduled by a late event do
     * not inherit its lateness.
     */
    @Override
    public double now() {
        return due > 0 ? due : real();
    }

    private double real() {
        return start + (System.nanoTime() - steady) / 1e9;
    }

    @SuppressWarnings("FutureReturnValueIgnored") // a scheduled event reports its own failures
    @Override
    public void at(double time, Runnable what) {
        loop.schedule(
                () -> {
                    late.recordValue(Math.max(0, Math.min(LONGEST, (long) ((real() - time) * 1e6))));
                    due = time;
                    try {
                        what.run();
                    } finally {
                        due = 0;
                    }
                },
                (long) (Math.max(0, time - real()) * 1e9),
                TimeUnit.NANOSECONDS);
    }

    /** Discards the lateness recorded so far, which includes the warm-up of the JVM. */
    void warm() {
        late.reset();
    }

    /** 99th percentile of the lateness of events, in seconds. */
    double late() {
        return late.getValueAtPercentile(99) / 1e6;
    }
}
