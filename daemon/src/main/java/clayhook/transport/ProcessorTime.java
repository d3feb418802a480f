package clayhook.transport;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * The processor time that this process has used, of all its threads, to the system's clock tick (10 ms). Tells a stall
 * in which the process was busy from one in which it was held up. Reads one file of the proc file system a call, which
 * takes some tens of microseconds; thread-safe.
 */
public final class ProcessorTime {
    private static final Path STATUS = Path.of("/proc/self/stat");
    private static final double TICKS_PER_SECOND = 100;
    /** After the name of the program, which ends with the last parenthesis: the fields of user and system time. */
    private static final int USER_TIME = 11;

    private static final int SYSTEM_TIME = 12;

    private ProcessorTime() {}

    /** Seconds of processor time since the start of the process, or NaN where the system does not tell. */
    public static double usedSeconds() {
        try {
            return parse(Files.readString(STATUS));
        } catch (IOException | RuntimeException e) {
            return Double.NaN;
        }
    }

    static double parse(String status) {
        String[] fields = status.substring(status.lastIndexOf(')') + 2).split(" ");
        long ticks = Long.parseLong(fields[USER_TIME]) + Long.parseLong(fields[SYSTEM_TIME]);
        return ticks / TICKS_PER_SECOND;
    }
}
