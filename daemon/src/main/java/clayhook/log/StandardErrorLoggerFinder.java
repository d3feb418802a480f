package clayhook.log;

import java.time.Instant;
import java.util.ResourceBundle;

/**
 * Where the lines of {@code System.Logger} go: one each to standard error. The runtime's own way takes a tenth of a
 * second for its first line, while clients wait.
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
                    values == null || values.length == 0 ? format : java.text.MessageFormat.format(format, values),
                    (Throwable) null);
        }
    }
}
