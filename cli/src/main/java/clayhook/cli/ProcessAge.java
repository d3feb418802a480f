package clayhook.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.OptionalDouble;

/**
 * Computes the time since this process was created from Linux's {@code /proc} files. The uptime of the virtual machine
 * does not suffice: it is counted from the initialization of the virtual machine, which on a busy machine takes place
 * seconds after the process was created.
 */
final class ProcessAge {
    private static final Path STAT = Path.of("/proc/self/stat");
    private static final Path UPTIME = Path.of("/proc/uptime");
    /** The character after the process name. The name itself may contain spaces and parentheses. */
    private static final char NAME_END = ')';

    /** The index of the field {@code starttime}, counted from 0 at the first field after the process name. */
    private static final int START_TIME_FIELD = 19;

    /** The unit of times in {@code stat}; it has this value on all common processor architectures. */
    private static final double CLOCK_TICKS_PER_SECOND = 100;

    private ProcessAge() {}

    /** Returns the process age in seconds, to about 0.01 s; empty if the system does not provide it. */
    static OptionalDouble seconds() {
        try {
            return seconds(Files.readString(STAT), Files.readString(UPTIME));
        } catch (IOException e) {
            return OptionalDouble.empty();
        }
    }

    /**
     * Computes the process age in seconds from the contents of the two files; empty if they are malformed.
     *
     * @param stat the content of {@code /proc/self/stat}: {@code pid (name) state ...}
     * @param uptime the content of {@code /proc/uptime}; its first field is the seconds since the system started
     */
    static OptionalDouble seconds(String stat, String uptime) {
        String[] fields = stat.substring(stat.lastIndexOf(NAME_END) + 1).strip().split(" ");
        if (fields.length <= START_TIME_FIELD) {
            return OptionalDouble.empty();
        }
        try {
            double startTimeSeconds = Long.parseLong(fields[START_TIME_FIELD]) / CLOCK_TICKS_PER_SECOND;
            double age = Double.parseDouble(uptime.strip().split(" ")[0]) - startTimeSeconds;
            return age >= 0 ? OptionalDouble.of(age) : OptionalDouble.empty();
        } catch (NumberFormatException e) {
            return OptionalDouble.empty();
        }
    }
}
