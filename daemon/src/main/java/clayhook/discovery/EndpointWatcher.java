package clayhook.discovery;

import clayhook.transport.Transport;
import java.net.InetSocketAddress;
import java.util.random.RandomGenerator;

/** The watch on the list of nodes, whatever address its service moves to. */
public final class EndpointWatcher {
    /** Hears what discovery tells. */
    public interface Listener {
        void onEndpointList(EndpointList list);

        /** A call failed; the next one is made when {@link #ensureWatching} is called. */
        void onEndpointListFailed();

        /**
         * The answer to a call is late: its watch may have fallen silent. {@link #ensureWatching} asks anew beside it.
         */
        void onEndpointListLate();
    }

    private final Transport transport;
    private final Listener listener;
    private final double longPollSeconds;
    private final RandomGenerator random;
    private ServiceWatch current;
    /** The one that told news last; it goes on until the current one has answered. */
    private ServiceWatch previous;

    private InetSocketAddress lastAnsweredBy;

    /** {@code wait}: seconds that a call waits for news; {@code random} spreads the calls of many routers. */
    public EndpointWatcher(
            Transport transport,
            InetSocketAddress address,
            long version,
            double wait,
            RandomGenerator random,
            Listener listener) {
        this.transport = transport;
        this.listener = listener;
        this.longPollSeconds = wait;
        this.random = random;
        current = new ServiceWatch(address, version);
    }

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
        public void onEndpointListLate() {
            if (this == current) {
                listener.onEndpointListLate();
            }
        }
    }

    /** Sees to it that a watch stands. */
    public void ensureWatching() {
        current.client.ensureWatching();
    }

    /** The service is at that address now: all is asked for anew, as the versions there may be others. */
    public void moveTo(InetSocketAddress to) {
        if (!to.equals(current.client.address)) {
            ServiceWatch left = current.hasAnswered ? previous : current;
            if (left != null) {
                left.client.close();
            }
            previous = current.hasAnswered ? current : previous;
            current = new ServiceWatch(to, DiscoveryClient.NO_VERSION);
        }
        ensureWatching();
    }

    /** Where the list came from that was told last; null for none yet. */
    public InetSocketAddress lastAnsweredBy() {
        return lastAnsweredBy;
    }

    /** Watches no more. */
    public void close() {
        current.client.close();
        if (previous != null) {
            previous.client.close();
        }
    }
}
