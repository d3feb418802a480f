package clayhook.log;

import java.util.Map;
import java.util.TreeMap;

/** Few lines: each kind at most once a second, with a count of those left out; and a summary now and then. */
public final class Log {
    private static final System.Logger LOGGER = System.getLogger("clayhook");
    private static final long SECOND = 1_000_000_000L;

    private static final class Kind {
        private long loggedAt = System.nanoTime() - SECOND;
        private int left;
    }

    /** One a kind of line. */
    private static final Map<String, Kind> KINDS = new TreeMap<>();
    /** Emptied by each summary. It is its own lock: the loop counts while another thread may be writing a line. */
    private static final Map<String, Integer> COUNTS = new TreeMap<>();

    private Log() {}

    public static synchronized void info(String line) {
        LOGGER.log(System.Logger.Level.INFO, line);
    }

    public static void warn(String kind, String line) {
        seldom(System.Logger.Level.WARNING, kind, line);
    }

    /** What is no cause for worry, but may come often. */
    public static void info(String kind, String line) {
        seldom(System.Logger.Level.INFO, kind, line);
    }

    private static synchronized void seldom(System.Logger.Level level, String kind, String line) {
        Kind of = KINDS.computeIfAbsent(kind, any -> new Kind());
        if (System.nanoTime() - of.loggedAt < SECOND) {
            of.left++;
            return;
        }
        LOGGER.log(level, line + (of.left > 0 ? " (" + of.left + " alike left out)" : ""));
        of.left = 0;
        of.loggedAt = System.nanoTime();
    }

    public static synchronized void fault(String line, Throwable cause) {
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
