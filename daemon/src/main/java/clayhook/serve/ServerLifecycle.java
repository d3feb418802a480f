package clayhook.serve;

import java.util.concurrent.Callable;

/**
 * Serializes the start and the shutdown of a server. If shutdown is requested before or during the start, the server
 * either does not start or is shut down once it has started, because connections that its listener has accepted must be
 * answered. Thread-safe.
 */
public final class ServerLifecycle {
    /** Null before the start. */
    private Server server;

    private boolean shutdownRequested;

    /** Starts and returns a server; returns null without starting one if shutdown was requested before. */
    public synchronized Server start(Callable<Server> starter) throws Exception {
        if (!shutdownRequested) {
            server = starter.call();
        }
        return server;
    }

    /** Shuts the server down and blocks until the shutdown is complete. Waits for a start in progress. */
    public void shutDown() throws Exception {
        Server started;
        synchronized (this) {
            shutdownRequested = true;
            started = server;
        }
        if (started != null) {
            started.shutDown();
        }
    }
}
