package clayhook.serve;

import java.util.concurrent.Callable;

/** Sees to it that a request to end finds no server, or a whole one: what a listener has accepted is owed an answer. */
public final class ServerLifecycle {
    /** Null before it serves. */
    private Server server;

    private boolean shutdownRequested;

    /** The server once it listens; null where the request to end came first, and none was started. */
    public synchronized Server start(Callable<Server> starting) throws Exception {
        if (!shutdownRequested) {
            server = starting.call();
        }
        return server;
    }

    /** Returns when all is over; waits for a start that has begun. */
    public void shutDown() throws Exception {
        Server begun;
        synchronized (this) {
            shutdownRequested = true;
            begun = server;
        }
        if (begun != null) {
            begun.shutDown();
        }
    }
}
