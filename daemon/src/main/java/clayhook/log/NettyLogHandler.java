package clayhook.log;

import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * Netty's lines among our own. Guards against the runtime's way of writing them: its first line opens a file for the
 * time zone, and a loop that has something to tell as no descriptor is left ends for want of one more.
 */
public final class NettyLogHandler extends Handler {
    /** Held here, as the runtime forgets loggers that nobody holds. */
    private static final Logger NETTY = Logger.getLogger("io.netty");

    private NettyLogHandler() {}

    public static void install() {
        NETTY.setUseParentHandlers(false);
        NETTY.addHandler(new NettyLogHandler());
    }

    @Override
    public void publish(LogRecord line) {
        if (isLoggable(line)) {
            Throwable cause = line.getThrown();
            Log.warn(line.getLoggerName(), line.getMessage() + (cause == null ? "" : ": " + cause));
        }
    }

    @Override
    public void flush() {}

    @Override
    public void close() {}
}
