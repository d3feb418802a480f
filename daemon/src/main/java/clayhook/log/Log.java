package clayhook.log;

import java.util.Map;
import java.util.TreeMap;

/**
 * Writes log lines. Lines that may be frequent have a kind; at most one line per second of each kind is written,
 * together with the number of suppressed lines. Thread-safe.
 */
public final class Log {
    private static final System.Logger LOGGER = System.getLogger("clayhook");
    private static final long MIN_INTERVAL_NANOS = 1_000_000_000L;

    /** The time of the last written line of a kind and the number suppressed since. Guarded by the class lock. */
    private static final class RateLimit {
        private long lastLoggedNanos = System.nanoTime() - MIN_INTERVAL_NANOS;
        private int suppressed;
    }

    /**
     * Rate limits by kind of line. Kinds are named in the code or are names of loggers, so there are only a few.
     * Guarded by the class lock.
     */
    private static final Map<String, RateLimit> RATE_LIMITS = new TreeMap<>();

    private Log() {}

    /** Writes a line without a rate limit, for rare events. */
    public static synchronized void info(String line) {
        LOGGER.log(System.Logger.Level.INFO, line);
    }

    /** Writes a rate-limited warning. */
    public static void warn(String kind, String line) {
        logRateLimited(System.Logger.Level.WARNING, kind, line);
    }

    /** Writes a rate-limited line that requires no action by the operator. */
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

    /** Writes an error with its stack trace, without a rate limit. */
    public static synchronized void error(String line, Throwable cause) {
        LOGGER.log(System.Logger.Level.ERROR, line, cause);
    }
}
