package clayhook.discovery;

import clayhook.transport.Transport;
import java.net.InetSocketAddress;
import java.util.random.RandomGenerator;

/**
 * Watches the endpoint list, whatever address the discovery service moves to. After a move the service that answered
 * last is watched on until the new one has answered.
 *
 * <p>Event loop only, but for the constructor, which sends nothing.
 */
public final class EndpointWatcher {
    /** Hears what the discovery service reports. Called on the event loop. */
    public interface Listener {
        /** A list came: complete, or the endpoints that have changed. */
        void onEndpointList(EndpointList list);

        /** The watch failed; the next one is opened by {@link #ensureWatching}. */
        void onEndpointListFailed();

        /** The age of the list has become known, or has become unknown. */
        default void onWatchEvent(WatchEvent event) {}

        /** The answer to the watch is late: it may have fallen silent. {@link #ensureWatching} opens one beside it. */
        void onEndpointListLate();
    }

    private final Transport transport;
    private final Listener listener;
    private final double longPollSeconds;
    private final RandomGenerator random;
    private ServiceWatch current;
    /** The service that answered last, or null; it is watched until the current one has answered. */
    private ServiceWatch previous;

    private InetSocketAddress lastAnsweredBy;

    /**
     * Prepares a watch; {@link #ensureWatching} opens it.
     *
     * @param version the list version that is known; changes after it are reported
     * @param longPollSeconds how long a watch waits for changes
     * @param random spreads the polls of many routers
     */
    public EndpointWatcher(
            Transport transport,
            InetSocketAddress address,
            long version,
            double longPollSeconds,
            RandomGenerator random,
            Listener listener) {
        this.transport = transport;
        this.listener = listener;
        this.longPollSeconds = longPollSeconds;
        this.random = random;
        current = new ServiceWatch(address, version);
    }

    /** The watch on the service at one address; its faults are reported only while it is the current one. */
    private final class ServiceWatch implements Listener {
        private final DiscoveryClient client;
        private boolean hasAnswered;

        private ServiceWatch(InetSocketAddress address, long version) {
            client = new DiscoveryClient(
                    transport, address, version, longPollSeconds, new WatchLivenessCheck(random), this);
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

    /** Opens a watch unless there is one whose answer is not late. */
    public void ensureWatching() {
        current.client.ensureWatching();
    }

    /** The service is at another address: asks there for the complete list, as versions there may be others. */
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

    /** The address of the service that reported a list last, or null. */
    public InetSocketAddress lastAnsweredBy() {
        return lastAnsweredBy;
    }

    /** Ends all watches. */
    public void close() {
        current.client.close();
        if (previous != null) {
            previous.client.close();
        }
    }
}
