package clayhook.log;

import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * Adds Netty's lines to our own, each logger rate limited. The runtime's handler opens a file for the time zone at its
 * first line: with no descriptor left that fails and would end an event loop that reports just that. Thread-safe.
 */
public final class NettyLogHandler extends Handler {
    /** Referenced here, as the runtime only keeps weak references to loggers. */
    private static final Logger NETTY = Logger.getLogger("io.netty");

    private NettyLogHandler() {}

    /** Replaces the runtime's handlers for Netty's lines. To be called before the first event loop. */
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
