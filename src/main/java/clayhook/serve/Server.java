package clayhook.serve;

import clayhook.config.Configuration;
import java.net.InetSocketAddress;
import java.util.concurrent.Callable;

/** One router from its start to its end. */
public final class Server {
    /** After a request to end, new connections keep coming for up to 0.4 s. */
    private static final long STILL_OPEN_MS = 500;
    /** The platform kills no sooner than 0.7 s after the longest client timeout. */
    private static final long AFTER_TIMEOUT_MS = 600;
    private static final long LOOK_MS = 20;

    private final Transport transport;
    private final Router router;
    private final long longest;
    private boolean closed;

    public Server(Transport transport, Configuration configuration) throws InterruptedException {
        this.transport = transport;
        router = new Router(transport, configuration);
        longest = (long) (1000 * configuration.settings().groups().stream()
                .mapToDouble(g -> g.clientTimeout()).max().orElse(3));
    }

    public InetSocketAddress address() {
        return router.address();
    }

    /** Takes over what can be changed while it serves. */
    public synchronized void reload(Configuration fresh) {
        if (!closed) {
            transport.loop().execute(() -> router.reload(fresh));
        }
    }

    /** Serves on for a moment, answers what it has taken, then closes; returns when all is over. */
    public void end() throws Exception {
        Log.info("ending: serves on for " + STILL_OPEN_MS + " ms");
        long until = System.nanoTime() + (longest + AFTER_TIMEOUT_MS) * 1_000_000;
        Thread.sleep(STILL_OPEN_MS);
        transport.loop().submit(router::end).get();
        Callable<Boolean> ended = router::ended;
        while (!transport.loop().submit(ended).get() && System.nanoTime() < until) {
            Thread.sleep(LOOK_MS);
        }
        close();
        Log.info("ended");
    }

    /** Ends at once, whatever is in hand. */
    public synchronized void close() {
        if (!closed) {
            closed = true;
            router.close();
            transport.close();
        }
    }
}
