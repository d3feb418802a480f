package clayhook.lab.model;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/** The machine's own clock, in seconds since 1970; all happens on one loop. It keeps count of how late that ran. */
final class WallClockScheduler implements Scheduler {
    /** Microseconds. */
    private static final long LONGEST = 60_000_000;

    private final EventLoop loop;
    private final double start = System.currentTimeMillis() / 1000.0;
    private final long steady = System.nanoTime();
    private double due;
    private final Histogram late = new Histogram(LONGEST, 3);

    WallClockScheduler(EventLoop loop) {
        this.loop = loop;
    }

    /** While something happens that was due, the time at which it was: what follows from it is not late for that. */
    @Override
    public double now() {
        return due > 0 ? due : real();
    }

    private double real() {
        return start + (System.nanoTime() - steady) / 1e9;
    }

    @SuppressWarnings("FutureReturnValueIgnored") // what runs later reports its own failures
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

    /** What was late so far does not count: everything was cold. */
    void warm() {
        late.reset();
    }

    /** Seconds by which all but one in a hundred of what was due happened late at the most. */
    double late() {
        return late.getValueAtPercentile(99) / 1e6;
    }
}
