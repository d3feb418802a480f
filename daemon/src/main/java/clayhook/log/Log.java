package clayhook.log;

import java.util.Map;
import java.util.TreeMap;

/**
 * Writes log lines. Lines that may come often have a kind and are written at most once a second for each kind, with the
 * number of those suppressed. Thread-safe.
 */
public final class Log {
    private static final System.Logger LOGGER = System.getLogger("clayhook");
    private static final long MIN_INTERVAL_NANOS = 1_000_000_000L;

    /** When a kind of line was last written, and how many were suppressed since; guarded by the class lock. */
    private static final class RateLimit {
        private long lastLoggedNanos = System.nanoTime() - MIN_INTERVAL_NANOS;
        private int suppressed;
    }

    /** By kind of line; there are only a few, all named in the code. Guarded by the class lock. */
    private static final Map<String, RateLimit> RATE_LIMITS = new TreeMap<>();

    private Log() {}

    /** Writes a line that comes seldom. */
    public static synchronized void info(String line) {
        LOGGER.log(System.Logger.Level.INFO, line);
    }

    /** Writes a rate limited warning. */
    public static void warn(String kind, String line) {
        logRateLimited(System.Logger.Level.WARNING, kind, line);
    }

    /** Writes a rate limited line that needs no attention. */
    public static void info(String kind, String line) {
        logRateLimited(System.Logger.Level.INFO, kind, line);
    }

    private static synchronized void logRateLimited(System.Logger.Level level, String kind, String line) {
        RateLimit limit = RATE_LIMITS.computeIfAbsent(kind, any -> new RateLimit());
        if (System.nanoTime() - limit.lastLoggedNanos < MIN_INTERVAL_NANOS) {
            limit.suppressed++;
            return;
        }
        LOGGER.log(level, line + (limit.suppressed > 0 ? " (" + limit.suppressed + " similar lines suppressed)" : ""));
        limit.suppressed = 0;
        limit.lastLoggedNanos = System.nanoTime();
    }

    /** Writes an error with its stack trace; not rate limited. */
    public static synchronized void error(String line, Throwable cause) {
        LOGGER.log(System.Logger.Level.ERROR, line, cause);
    }
}
