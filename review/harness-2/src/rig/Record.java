package rig;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** The record of a run: what was sent, answered and run, in the order of time. Thread-safe. */
public final class Record {
    private final List<String> lines = new ArrayList<>();
    private final long startMillis = System.currentTimeMillis();

    /** Adds a line with the time in seconds since the start of the run. */
    public synchronized void add(String format, Object... arguments) {
        String text = String.format(Locale.ROOT, format, arguments);
        lines.add(String.format(Locale.ROOT, "%8.3f  %s", seconds(), text));
    }

    /** The seconds since the start of the run. */
    public double seconds() {
        return (System.currentTimeMillis() - startMillis) / 1000.0;
    }

    /** Writes all lines to a file. */
    public synchronized void write(Path file) throws IOException {
        Files.write(file, lines);
    }
}
