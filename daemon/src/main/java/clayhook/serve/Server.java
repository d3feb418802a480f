package clayhook.serve;

import clayhook.RequestClass;
import clayhook.config.OperatorConfiguration;
import clayhook.config.RouterConfiguration;
import clayhook.log.Log;
import clayhook.peers.GossipTransport;
import clayhook.transport.Transport;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.Callable;

/** One router from its start to its end. */
public final class Server {
    private static final long POLL_INTERVAL_MS = 20;

    private final Transport transport;
    private final Router router;
    /** Null where nothing is shared with other routers. */
    private final PeerSharing sharing;

    private final ShutdownSchedule shutdownSchedule;
    private boolean closed;

    /** Without a file of the operator's. */
    public Server(Transport transport, RouterConfiguration configuration) throws InterruptedException {
        this(transport, configuration, OperatorConfiguration.DEFAULTS, null);
    }

    /** Throws IOException naming the address where others cannot be heard at it. */
    public Server(Transport transport, RouterConfiguration configuration, OperatorConfiguration operator)
            throws IOException, InterruptedException {
        this(
                transport,
                configuration,
                operator,
                operator.sharing() == null ? null : GossipTransport.open(operator.sharing(), configuration));
    }

    private Server(
            Transport transport, RouterConfiguration configuration, OperatorConfiguration operator, PeerSharing sharing)
            throws InterruptedException {
        this.transport = transport;
        this.sharing = sharing;
        router = new Router(transport, configuration, operator, sharing);
        List<RequestClass> groups = configuration.settings().requestClasses();
        double longest = groups.stream()
                .mapToDouble(RequestClass::clientTimeoutSeconds)
                .max()
                .orElse(Double.POSITIVE_INFINITY);
        shutdownSchedule = ShutdownSchedule.of(longest);
    }

    public InetSocketAddress address() {
        return router.address();
    }

    /** Takes over what can be changed while it serves. */
    public synchronized void reload(RouterConfiguration fresh, OperatorConfiguration operator) {
        if (!closed) {
            transport.eventLoop().execute(() -> router.reload(fresh, operator));
        }
    }

    /** Serves on while the platform waits, answers what it has taken, then closes; returns when all is over. */
    public void shutDown() throws Exception {
        Log.info("ending: takes commands for " + Math.round(shutdownSchedule.acceptUntil() * 1000) + " ms");
        long start = System.nanoTime();
        Thread.sleep(Math.round(ShutdownSchedule.MIN_ACCEPT_SECONDS * 1000));
        awaitNoClients(start, shutdownSchedule.acceptUntil());
        transport.eventLoop().submit(router::end).get();
        awaitNoClients(start, shutdownSchedule.failPendingAt());
        transport.eventLoop().submit(router::giveUp).get();
        awaitNoClients(start, shutdownSchedule.exitAt());
        if (sharing != null) {
            sharing.leave();
        }
        close();
        Log.info("ended");
    }

    /** Waits so many seconds from the start, or until no client is left. */
    private void awaitNoClients(long start, double seconds) throws Exception {
        Callable<Boolean> ended = router::ended;
        while ((System.nanoTime() - start) / 1e9 < seconds
                && !transport.eventLoop().submit(ended).get()) {
            Thread.sleep(POLL_INTERVAL_MS);
        }
    }

    /** Ends at once, whatever is in hand. */
    public synchronized void close() {
        if (!closed) {
            closed = true;
            router.close();
            transport.close();
            if (sharing != null) {
                sharing.close();
            }
        }
    }
}
