package clayhook.discovery;

import clayhook.transport.Transport;
import java.net.InetSocketAddress;
import java.util.random.RandomGenerator;

/** The watch on the list of nodes, whatever address its service moves to. */
public final class Discovery {
    /** Hears what discovery tells. */
    public interface Listener {
        void listed(NodeList list);

        /** A call failed; the next one is made when {@link #watch} is called. */
        void listFailed();

        /** The answer to a call is late: its watch may have fallen silent. {@link #watch} asks anew beside it. */
        void listLate();
    }

    private final Transport transport;
    private final Listener listener;
    private final double wait;
    private final RandomGenerator random;
    private Source current;
    /** The one that told news last; it goes on until the current one has answered. */
    private Source former;

    private InetSocketAddress toldBy;

    /** {@code wait}: seconds that a call waits for news; {@code random} spreads the calls of many routers. */
    public Discovery(
            Transport transport,
            InetSocketAddress address,
            long version,
            double wait,
            RandomGenerator random,
            Listener listener) {
        this.transport = transport;
        this.listener = listener;
        this.wait = wait;
        this.random = random;
        current = new Source(address, version);
    }

    private final class Source implements Listener {
        private final DiscoveryClient client;
        private boolean answered;

        private Source(InetSocketAddress address, long version) {
            client = new DiscoveryClient(transport, address, version, wait, new Checks(random), this);
        }

        @Override
        public void listed(NodeList list) {
            answered = true;
            toldBy = client.address;
            if (this == current && former != null) {
                former.client.close();
                former = null;
            }
            listener.listed(list);
        }

        @Override
        public void listFailed() {
            if (this == current) {
                listener.listFailed();
            }
        }

        @Override
        public void listLate() {
            if (this == current) {
                listener.listLate();
            }
        }
    }

    /** Sees to it that a watch stands. */
    public void watch() {
        current.client.watch();
    }

    /** The service is at that address now: all is asked for anew, as the versions there may be others. */
    public void move(InetSocketAddress to) {
        if (!to.equals(current.client.address)) {
            Source left = current.answered ? former : current;
            if (left != null) {
                left.client.close();
            }
            former = current.answered ? current : former;
            current = new Source(to, DiscoveryClient.NO_VERSION);
        }
        watch();
    }

    /** Where the list came from that was told last; null for none yet. */
    public InetSocketAddress toldBy() {
        return toldBy;
    }

    /** Watches no more. */
    public void close() {
        current.client.close();
        if (former != null) {
            former.client.close();
        }
    }
}
