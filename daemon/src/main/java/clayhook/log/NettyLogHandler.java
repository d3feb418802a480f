package clayhook.log;

import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * Writes Netty's log lines through {@link Log}, rate-limited per logger. The JDK's default handler opens a time zone
 * file when it writes its first line. If no file descriptor is left, that fails and ends the event loop that is
 * reporting the lack of descriptors. Thread-safe.
 */
public final class NettyLogHandler extends Handler {
    /** A strong reference, because the JDK keeps only weak references to loggers. */
    private static final Logger NETTY = Logger.getLogger("io.netty");

    private NettyLogHandler() {}

    /** Replaces the JDK's handlers for Netty's log lines. Must be called before the first event loop starts. */
    public static void install() {
        NETTY.setUseParentHandlers(false);
        NETTY.addHandler(new NettyLogHandler());
    }

    @Override
    public void publish(LogRecord entry) {
        if (isLoggable(entry)) {
            Throwable cause = entry.getThrown();
            Log.warn(entry.getLoggerName(), entry.getMessage() + (cause == null ? "" : ": " + cause));
        }
    }

    @Override
    public void flush() {}

    @Override
    public void close() {}
}
