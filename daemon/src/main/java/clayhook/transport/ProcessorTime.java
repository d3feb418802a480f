package clayhook.transport;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * The processor time used by all threads of this process, with a resolution of one system clock tick (10 ms).
 * Distinguishes a stall in which the process was busy from one in which it got no processor time. Each call reads one
 * file of the proc file system, which takes some tens of microseconds. Thread-safe.
 */
public final class ProcessorTime {
    private static final Path STAT_FILE = Path.of("/proc/self/stat");
    private static final double TICKS_PER_SECOND = 100;
    /** Index of the user time among the fields after the program name, which ends with the last parenthesis. */
    private static final int USER_TIME_FIELD = 11;

    /** Index of the system time among the same fields. */
    private static final int SYSTEM_TIME_FIELD = 12;

    private ProcessorTime() {}

    /** Seconds of processor time since the start of the process, or NaN if the system does not provide them. */
    public static double usedSeconds() {
        try {
            return parse(Files.readString(STAT_FILE));
        } catch (IOException | RuntimeException e) {
            return Double.NaN;
        }
    }

    static double parse(String status) {
        String[] fields = status.substring(status.lastIndexOf(')') + 2).split(" ");
        long ticks = Long.parseLong(fields[USER_TIME_FIELD]) + Long.parseLong(fields[SYSTEM_TIME_FIELD]);
        return ticks / TICKS_PER_SECOND;
    }
}
