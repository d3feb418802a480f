package clayhook.log;

import java.text.MessageFormat;
import java.time.Instant;
import java.util.ResourceBundle;

/**
 * Provides the loggers of the process, which write one line per entry to standard error. The JDK's default logger takes
 * 0.1 s for its first line, during which no client is served. The JDK finds this class by its name in
 * {@code META-INF/services}. Thread-safe.
 */
public final class StandardErrorLoggerFinder extends System.LoggerFinder {
    @Override
    public System.Logger getLogger(String name, Module module) {
        return new StandardErrorLogger(name);
    }

    private record StandardErrorLogger(String name) implements System.Logger {
        @Override
        public String getName() {
            return name;
        }

        @Override
        public boolean isLoggable(Level level) {
            return level.getSeverity() >= Level.INFO.getSeverity();
        }

        @Override
        public void log(Level level, ResourceBundle bundle, String line, Throwable cause) {
            if (isLoggable(level)) {
                System.err.println(Instant.now() + " " + level + " " + name + ": " + line);
                if (cause != null) {
                    cause.printStackTrace();
                }
            }
        }

        @Override
        public void log(Level level, ResourceBundle bundle, String format, Object... values) {
            log(
                    level,
                    bundle,
                    values == null || values.length == 0 ? format : MessageFormat.format(format, values),
                    (Throwable) null);
        }
    }
}
