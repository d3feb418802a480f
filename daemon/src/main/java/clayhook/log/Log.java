package clayhook.log;

import java.util.Map;
import java.util.TreeMap;

/** Few lines: each kind at most once a second, with a count of those left out; and a summary now and then. */
public final class Log {
    private static final System.Logger LOGGER = System.getLogger("clayhook");
    private static final long MIN_INTERVAL_NANOS = 1_000_000_000L;

    private static final class RateLimit {
        private long lastLoggedNanos = System.nanoTime() - MIN_INTERVAL_NANOS;
        private int suppressed;
    }

    /** One a kind of line. */
    private static final Map<String, RateLimit> RATE_LIMITS = new TreeMap<>();
    /** Emptied by each summary. It is its own lock: the loop counts while another thread may be writing a line. */
    private static final Map<String, Integer> COUNTS = new TreeMap<>();

    private Log() {}

    public static synchronized void info(String line) {
        LOGGER.log(System.Logger.Level.INFO, line);
    }

    public static void warn(String kind, String line) {
        logRateLimited(System.Logger.Level.WARNING, kind, line);
    }

    /** What is no cause for worry, but may come often. */
    public static void info(String kind, String line) {
        logRateLimited(System.Logger.Level.INFO, kind, line);
    }

    private static synchronized void logRateLimited(System.Logger.Level level, String kind, String line) {
        RateLimit of = RATE_LIMITS.computeIfAbsent(kind, any -> new RateLimit());
        if (System.nanoTime() - of.lastLoggedNanos < MIN_INTERVAL_NANOS) {
            of.suppressed++;
            return;
        }
        LOGGER.log(level, line + (of.suppressed > 0 ? " (" + of.suppressed + " alike left out)" : ""));
        of.suppressed = 0;
        of.lastLoggedNanos = System.nanoTime();
    }

    public static synchronized void error(String line, Throwable cause) {
        LOGGER.log(System.Logger.Level.ERROR, line, cause);
    }

    public static void count(String what) {
        synchronized (COUNTS) {
            COUNTS.merge(what, 1, Integer::sum);
        }
    }

    /** What was counted since the last call. */
    public static String counts() {
        synchronized (COUNTS) {
            String text = COUNTS.toString();
            COUNTS.clear();
            return text;
        }
    }
}
