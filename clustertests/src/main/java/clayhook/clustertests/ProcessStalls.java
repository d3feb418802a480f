package clayhook.clustertests;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Records stalls of this process, which runs the nodes and the audits. A read that is late because of a stall need not
 * be the fault of a router. Times are seconds on the clock of {@link HistoryRecorder}. Thread-safe.
 */
final class ProcessStalls implements AutoCloseable {
    private static final long SLEEP_MS = 10;
    private static final double MIN_STALL_SECONDS = 0.1;
    private static final double MILLIS_PER_SECOND = 1000;

    private record Stall(double endedAt, double seconds) {
        @Override
        public String toString() {
            return String.format(Locale.ROOT, "%.2f s until %s", seconds, format(endedAt));
        }
    }

    private final List<Stall> stalls = new ArrayList<>();
    private final Thread monitor = new Thread(this::monitor, "process stalls");

    /** Starts to record stalls, until {@link #close}. */
    ProcessStalls() {
        monitor.setDaemon(true);
        monitor.start();
    }

    /** Formats a time as routers do in their logs. */
    static String format(double at) {
        return Instant.ofEpochMilli((long) (at * MILLIS_PER_SECOND)).toString();
    }

    private void monitor() {
        double last = HistoryRecorder.now();
        while (!Thread.currentThread().isInterrupted()) {
            try {
                Thread.sleep(SLEEP_MS);
            } catch (InterruptedException e) {
                return;
            }
            double now = HistoryRecorder.now();
            if (now - last > MIN_STALL_SECONDS) {
                add(new Stall(now, now - last));
            }
            last = now;
        }
    }

    private synchronized void add(Stall stall) {
        stalls.add(stall);
    }

    /** Lists all stalls so far. */
    @Override
    public synchronized String toString() {
        return stalls.toString();
    }

    @Override
    public void close() {
        monitor.interrupt();
    }
}
