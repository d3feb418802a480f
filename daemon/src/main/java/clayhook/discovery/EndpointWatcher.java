package clayhook.discovery;

import clayhook.transport.Transport;
import java.net.InetSocketAddress;
import java.util.random.RandomGenerator;

/**
 * Watches the endpoint list and follows the discovery service from one address to the next. After a move, the service
 * instance that answered last remains watched until the new one has answered.
 *
 * <p>Confined to the event loop, except for the constructor, which performs no I/O.
 */
public final class EndpointWatcher {
    /** Receives the endpoint lists and the state of the watch. Called on the event loop. */
    public interface Listener {
        /** Called for each list received, which is complete or contains the changed endpoints. */
        void onEndpointList(EndpointList list);

        /** Called when the watch has failed; {@link #ensureWatching} opens the next one. */
        void onEndpointListFailed();

        /** Called when the age of the list has become known or unknown. */
        default void onWatchEvent(WatchEvent event) {}

        /**
         * Called when the answer to the watch is late, which may mean that the connection is dead.
         * {@link #ensureWatching} opens a second watch and keeps the late one.
         */
        void onEndpointListLate();
    }

    private final Transport transport;
    private final Listener listener;
    private final boolean pushed;
    private final double longPollSeconds;
    private final RandomGenerator random;
    private ServiceWatch current;
    /** The watch on the service that answered last, kept until the current one has answered; null if there is none. */
    private ServiceWatch previous;

    private InetSocketAddress lastAnsweredBy;

    /**
     * Creates a watcher without opening the watch; {@link #ensureWatching} opens it.
     *
     * @param version the list version that the caller already has; later changes are reported
     * @param pushed whether changes count as notified at once, so that a watch is preceded by a poll that does not wait
     * @param longPollSeconds the longest time in seconds that a long poll waits for changes
     * @param random source of the jitter that spreads the polls of many routers
     */
    public EndpointWatcher(
            Transport transport,
            InetSocketAddress address,
            long version,
            boolean pushed,
            double longPollSeconds,
            RandomGenerator random,
            Listener listener) {
        this.transport = transport;
        this.listener = listener;
        this.pushed = pushed;
        this.longPollSeconds = longPollSeconds;
        this.random = random;
        current = new ServiceWatch(address, version);
    }

    /**
     * The watch on the service at one address; it always reports lists, but reports failures and events only while it
     * is the current one.
     */
    private final class ServiceWatch implements Listener {
        private final DiscoveryClient client;
        private boolean hasAnswered;

        private ServiceWatch(InetSocketAddress address, long version) {
            client = new DiscoveryClient(
                    transport, address, version, pushed, longPollSeconds, new WatchLivenessCheck(random), this);
        }

        @Override
        public void onEndpointList(EndpointList list) {
            hasAnswered = true;
            lastAnsweredBy = client.address;
            if (this == current && previous != null) {
                previous.client.close();
                previous = null;
            }
            listener.onEndpointList(list);
        }

        @Override
        public void onEndpointListFailed() {
            if (this == current) {
                listener.onEndpointListFailed();
            }
        }

        @Override
        public void onWatchEvent(WatchEvent event) {
            if (this == current) {
                listener.onWatchEvent(event);
            }
        }

        @Override
        public void onEndpointListLate() {
            if (this == current) {
                listener.onEndpointListLate();
            }
        }
    }

    /** Opens a watch unless one is open whose answer is not late. */
    public void ensureWatching() {
        current.client.ensureWatching();
    }

    /**
     * Watches the service at a new address. Requests the complete list there because the versions of another service
     * instance may differ.
     */
    public void moveTo(InetSocketAddress newAddress) {
        if (!newAddress.equals(current.client.address)) {
            ServiceWatch superseded = current.hasAnswered ? previous : current;
            if (superseded != null) {
                superseded.client.close();
            }
            previous = current.hasAnswered ? current : previous;
            current = new ServiceWatch(newAddress, PollConnection.NO_VERSION);
        }
        ensureWatching();
    }

    /** The address of the service that last reported a list, or null if none has. */
    public InetSocketAddress lastAnsweredBy() {
        return lastAnsweredBy;
    }

    /** Closes all watches. */
    public void close() {
        current.client.close();
        if (previous != null) {
            previous.client.close();
        }
    }
}
