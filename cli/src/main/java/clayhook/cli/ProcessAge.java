package clayhook.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.OptionalDouble;

/**
 * Tells how long ago this process was created, by the files of Linux. The virtual machine can't: it starts its own
 * clock only once it runs, which on a busy machine is seconds after the process was created.
 */
final class ProcessAge {
    private static final Path STAT = Path.of("/proc/self/stat");
    private static final Path UPTIME = Path.of("/proc/uptime");
    /** Ends the process's name, which may have spaces and brackets of its own. */
    private static final char NAME_END = ')';

    /** The field {@code starttime}, counted from the first one behind the name. */
    private static final int START_TIME_FIELD = 19;

    /** The unit of times in {@code stat}, the same on all usual processors. */
    private static final double CLOCK_TICKS_PER_SECOND = 100;

    private ProcessAge() {}

    /** In seconds, to about a hundredth of one; empty where the system does not tell. */
    static OptionalDouble seconds() {
        try {
            return seconds(Files.readString(STAT), Files.readString(UPTIME));
        } catch (IOException e) {
            return OptionalDouble.empty();
        }
    }

    /**
     * The same from the texts of the two files.
     *
     * @param stat the process's own line, {@code pid (name) state ...}
     * @param uptime seconds since the system started, and others
     */
    static OptionalDouble seconds(String stat, String uptime) {
        String[] fields = stat.substring(stat.lastIndexOf(NAME_END) + 1).strip().split(" ");
        if (fields.length <= START_TIME_FIELD) {
            return OptionalDouble.empty();
        }
        try {
            double startedAt = Long.parseLong(fields[START_TIME_FIELD]) / CLOCK_TICKS_PER_SECOND;
            double age = Double.parseDouble(uptime.strip().split(" ")[0]) - startedAt;
            return age >= 0 ? OptionalDouble.of(age) : OptionalDouble.empty();
        } catch (NumberFormatException e) {
            return OptionalDouble.empty();
        }
    }
}
