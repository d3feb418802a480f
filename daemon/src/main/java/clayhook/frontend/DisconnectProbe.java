package clayhook.frontend;

import io.netty.util.concurrent.EventExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Detects that a client has gone although its connection is not read, because the client sent far ahead: its close is
 * behind input that is not received yet. Writes a message at intervals that clients ignore; the system of a client that
 * has closed its socket answers with a reset, upon which the next write fails. Confined to the event loop.
 */
final class DisconnectProbe {
    /** Two intervals detect a close; no attempt may start 0.1 s after one. */
    private static final int INTERVAL_MS = 30;

    private final EventExecutor loop;
    private final BooleanSupplier isNeeded;
    private final Runnable write;
    private boolean scheduled;

    /**
     * Creates the probe of one connection.
     *
     * @param isNeeded whether the connection is open and not read
     * @param write writes the message, if a request is in flight
     */
    DisconnectProbe(EventExecutor loop, BooleanSupplier isNeeded, Runnable write) {
        this.loop = loop;
        this.isNeeded = isNeeded;
        this.write = write;
    }

    /** Starts to probe, until the probe is no longer needed; does nothing if it has been started. */
    @SuppressWarnings("FutureReturnValueIgnored") // nothing waits for the probe
    void start() {
        if (!scheduled) {
            scheduled = true;
            loop.schedule(this::run, INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void run() {
        scheduled = false;
        if (isNeeded.getAsBoolean()) {
            write.run();
            start();
        }
    }
}
