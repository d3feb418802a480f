package clayhook.serve;

import clayhook.RequestClass;
import clayhook.config.OperatorConfiguration;
import clayhook.config.RouterConfiguration;
import clayhook.log.Log;
import clayhook.peers.GossipTransport;
import clayhook.sharing.PeerSharing;
import clayhook.transport.Transport;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.Callable;

/** A router with its transport and its sharing with peers, from start to shutdown. Thread-safe. */
public final class Server {
    private static final long POLL_INTERVAL_MS = 20;
    private static final double NANOS_PER_SECOND = 1e9;

    private final Transport transport;
    private final Router router;
    /** Null if sharing with peers is disabled. */
    private final PeerSharing sharing;

    private final ShutdownSchedule shutdownSchedule;
    private boolean closed;

    /** Starts a server with the defaults of the operator's configuration. */
    public Server(Transport transport, RouterConfiguration configuration) throws InterruptedException {
        this(transport, configuration, OperatorConfiguration.DEFAULTS, null, 0);
    }

    /** Starts a server at the start of the process. */
    public Server(Transport transport, RouterConfiguration configuration, OperatorConfiguration operator)
            throws IOException, InterruptedException {
        this(transport, configuration, operator, 0);
    }

    /**
     * Starts a server, which listens for clients when this constructor returns.
     *
     * @param secondsSinceStart the time since the start of the process; the known endpoint list is at least this old
     * @throws IOException if datagrams of peers cannot be received; its message contains the address
     */
    public Server(
            Transport transport,
            RouterConfiguration configuration,
            OperatorConfiguration operator,
            double secondsSinceStart)
            throws IOException, InterruptedException {
        this(
                transport,
                configuration,
                operator,
                operator.sharing() == null ? null : GossipTransport.open(operator.sharing(), configuration),
                secondsSinceStart);
    }

    private Server(
            Transport transport,
            RouterConfiguration configuration,
            OperatorConfiguration operator,
            PeerSharing sharing,
            double secondsSinceStart)
            throws InterruptedException {
        this.transport = transport;
        this.sharing = sharing;
        router = new Router(transport, configuration, operator, sharing, secondsSinceStart);
        shutdownSchedule = ShutdownSchedule.of(
                longestClientTimeout(configuration.settings().requestClasses()));
    }

    /** The longest client timeout of all request classes in seconds; infinite if there are no request classes. */
    private static double longestClientTimeout(List<RequestClass> requestClasses) {
        return requestClasses.stream()
                .mapToDouble(RequestClass::clientTimeoutSeconds)
                .max()
                .orElse(Double.POSITIVE_INFINITY);
    }

    /** The address that clients connect to. */
    public InetSocketAddress address() {
        return router.address();
    }

    /** Applies the settings of a reloaded configuration that need no restart, asynchronously on the event loop. */
    public synchronized void reload(RouterConfiguration configuration, OperatorConfiguration operator) {
        if (!closed) {
            transport.eventLoop().execute(() -> router.reload(configuration, operator));
        }
    }

    /**
     * Shuts down gracefully according to the {@link ShutdownSchedule}. Blocks until the shutdown is complete; must not
     * be called on the event loop.
     */
    public void shutDown() throws Exception {
        Log.info("shutting down: admits requests for " + Math.round(shutdownSchedule.acceptUntil() * 1000) + " ms");
        long startNanos = System.nanoTime();
        Thread.sleep(Math.round(ShutdownSchedule.MIN_ACCEPT_SECONDS * 1000));
        awaitNoClients(startNanos, shutdownSchedule.acceptUntil());
        transport.eventLoop().submit(router::drain).get();
        awaitNoClients(startNanos, shutdownSchedule.failPendingAt());
        transport.eventLoop().submit(router::failPendingRequests).get();
        awaitNoClients(startNanos, shutdownSchedule.exitAt());
        if (sharing != null) {
            sharing.leave();
        }
        transport.eventLoop().submit(router::finish).get();
        close();
        Log.info("ended");
    }

    /** Blocks until no client is connected or until {@code seconds} have passed since {@code startNanos}. */
    private void awaitNoClients(long startNanos, double seconds) throws Exception {
        Callable<Boolean> hasNoClients = router::hasNoClients;
        while ((System.nanoTime() - startNanos) / NANOS_PER_SECOND < seconds
                && !transport.eventLoop().submit(hasNoClients).get()) {
            Thread.sleep(POLL_INTERVAL_MS);
        }
    }

    /** Closes the server immediately, without waiting for requests in flight. */
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
