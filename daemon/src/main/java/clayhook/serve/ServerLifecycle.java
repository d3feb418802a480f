package clayhook.serve;

import java.util.concurrent.Callable;

/**
 * Orders a server's start and its shutdown, which may be requested while the server starts: it then either does not
 * start or is shut down once it has, as connections that its listener has accepted are owed an answer. Thread-safe.
 */
public final class ServerLifecycle {
    /** Null before the start. */
    private Server server;

    private boolean shutdownRequested;

    /** Returns the started server; null where shutdown was requested first, so that none was started. */
    public synchronized Server start(Callable<Server> starter) throws Exception {
        if (!shutdownRequested) {
            server = starter.call();
        }
        return server;
    }

    /** Shuts the server down and returns when that is done; waits for a start that has begun. */
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
