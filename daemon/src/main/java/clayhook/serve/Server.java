package clayhook.serve;

import clayhook.RequestClass;
import clayhook.config.Configuration;
import clayhook.config.Operator;
import clayhook.log.Log;
import clayhook.peers.Peers;
import clayhook.transport.Transport;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.Callable;

/** One router from its start to its end. */
public final class Server {
    private static final long LOOK_MS = 20;

    private final Transport transport;
    private final Router router;
    /** Null where nothing is shared with other routers. */
    private final Sharing sharing;

    private final GracePeriod grace;
    private boolean closed;

    /** Without a file of the operator's. */
    public Server(Transport transport, Configuration configuration) throws InterruptedException {
        this(transport, configuration, Operator.OFF, null);
    }

    /** Throws IOException naming the address where others cannot be heard at it. */
    public Server(Transport transport, Configuration configuration, Operator operator)
            throws IOException, InterruptedException {
        this(
                transport,
                configuration,
                operator,
                operator.sharing() == null ? null : Peers.open(operator.sharing(), configuration));
    }

    private Server(Transport transport, Configuration configuration, Operator operator, Sharing sharing)
            throws InterruptedException {
        this.transport = transport;
        this.sharing = sharing;
        router = new Router(transport, configuration, operator, sharing);
        List<RequestClass> groups = configuration.settings().requestClasses();
        double longest =
                groups.stream().mapToDouble(RequestClass::clientTimeoutSeconds).max().orElse(Double.POSITIVE_INFINITY);
        grace = GracePeriod.of(longest);
    }

    public InetSocketAddress address() {
        return router.address();
    }

    /** Takes over what can be changed while it serves. */
    public synchronized void reload(Configuration fresh, Operator operator) {
        if (!closed) {
            transport.loop().execute(() -> router.reload(fresh, operator));
        }
    }

    /** Serves on while the platform waits, answers what it has taken, then closes; returns when all is over. */
    public void end() throws Exception {
        Log.info("ending: takes commands for " + Math.round(grace.takesUntil() * 1000) + " ms");
        long start = System.nanoTime();
        Thread.sleep(Math.round(GracePeriod.STILL_OPEN * 1000));
        await(start, grace.takesUntil());
        transport.loop().submit(router::end).get();
        await(start, grace.givesUpAt());
        transport.loop().submit(router::giveUp).get();
        await(start, grace.leavesAt());
        if (sharing != null) {
            sharing.leave();
        }
        close();
        Log.info("ended");
    }

    /** Waits so many seconds from the start, or until no client is left. */
    private void await(long start, double seconds) throws Exception {
        Callable<Boolean> ended = router::ended;
        while ((System.nanoTime() - start) / 1e9 < seconds
                && !transport.loop().submit(ended).get()) {
            Thread.sleep(LOOK_MS);
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
