package clayhook.trials;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;

/**
 * Stands between routers: one socket for each, at which the others reach it. By the source of a datagram the relay knows the
 * sender, and with it the directed link; what comes through leaves from the sender's own socket here, so that the receiver sees
 * the address that it may answer to, and no datagram finds a way around.
 */
public final class Relay implements AutoCloseable {
    private static final int LONGEST = 1 << 16;
    /** Datagrams under way at most, over all links; what comes beyond is lost. A second of a fleet far busier than any here. */
    private static final int MOST_UNDER_WAY = 1 << 16;

    private record UnderWay(double at, long number, int from, int to, byte[] bytes) {
    }

    private final List<DatagramChannel> sockets = new ArrayList<>();
    private final List<InetSocketAddress> routers;
    private final Map<SocketAddress, Integer> byAddress = new HashMap<>();
    private final Link[][] links;
    private final Selector selector = Selector.open();
    private final AtomicLong strangers = new AtomicLong();
    /** Emptied as time passes. */
    private final PriorityQueue<UnderWay> underWay =
            new PriorityQueue<>(Comparator.comparingDouble(UnderWay::at).thenComparingLong(UnderWay::number));
    private final ByteBuffer buffer = ByteBuffer.allocate(LONGEST);
    private final Thread thread = new Thread(this::run, "relay");
    private long number;
    private volatile boolean closed;

    /** {@code routers} are the addresses at which they really listen and from which they send. */
    public Relay(List<InetSocketAddress> routers, long seed) throws IOException {
        this.routers = List.copyOf(routers);
        links = new Link[routers.size()][routers.size()];
        var random = new SplittableRandom(seed);
        for (int i = 0; i < routers.size(); i++) {
            byAddress.put(routers.get(i), i);
            var socket = DatagramChannel.open().bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            socket.configureBlocking(false).register(selector, SelectionKey.OP_READ, i);
            sockets.add(socket);
            for (int j = 0; j < routers.size(); j++) {
                links[i][j] = new Link(random.split());
            }
        }
        thread.setDaemon(true);
        thread.start();
    }

    /** Where the others reach that router. */
    public InetSocketAddress address(int router) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), sockets.get(router).socket().getLocalPort());
    }

    /** Where it really listens; only the relay sends there. */
    public InetSocketAddress behind(int router) {
        return routers.get(router);
    }

    int routers() {
        return routers.size();
    }

    public Link link(int from, int to) {
        return links[from][to];
    }

    /** Of the datagrams on all links. */
    public long count(Link.Fate fate) {
        return Stream.of(links).flatMap(Stream::of).mapToLong(link -> link.count(fate)).sum();
    }

    /** Datagrams that came from none of the routers; these go nowhere. */
    public long strangers() {
        return strangers.get();
    }

    private static double now() {
        return System.nanoTime() / 1e9;
    }

    private void run() {
        try {
            while (!closed) {
                UnderWay next = underWay.peek();
                if (next == null) {
                    selector.select(this::readable);
                } else if (next.at() > now()) {
                    selector.select(this::readable, Math.max(1, (long) ((next.at() - now()) * 1000)));
                } else {
                    selector.selectNow(this::readable);
                }
                while (!underWay.isEmpty() && underWay.peek().at() <= now()) {
                    send(underWay.poll());
                }
            }
        } catch (IOException e) {
            if (!closed) {
                throw new UncheckedIOException(e);
            }
        }
    }

    private void readable(SelectionKey key) {
        int to = (Integer) key.attachment();
        try {
            for (SocketAddress from = sockets.get(to).receive(buffer.clear()); from != null;
                    from = sockets.get(to).receive(buffer.clear())) {
                byte[] bytes = new byte[buffer.flip().remaining()];
                buffer.get(bytes);
                came(from, to, bytes);
            }
        } catch (IOException e) {
            // Guards against a router that is not there: the machine tells of it at the socket that sent to it
        }
    }

    private void came(SocketAddress source, int to, byte[] bytes) {
        Integer from = byAddress.get(source);
        if (from == null) {
            strangers.incrementAndGet();
            return;
        }
        for (Link.Departure departure : links[from][to].take(bytes, now())) {
            if (underWay.size() < MOST_UNDER_WAY) {
                underWay.add(new UnderWay(departure.at(), number++, from, to, departure.bytes()));
            }
        }
    }

    private void send(UnderWay datagram) {
        try {
            sockets.get(datagram.from()).send(ByteBuffer.wrap(datagram.bytes()), routers.get(datagram.to()));
        } catch (IOException e) {
            // as above: lost, as a datagram may be
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        selector.wakeup();
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        for (DatagramChannel socket : sockets) {
            socket.close();
        }
        selector.close();
    }
}
