package clayhook.clustertests;

import clayhook.transport.Transport;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;

/**
 * A relay of all datagrams between routers, with one socket for each router, at which the other routers reach it. The
 * source address of a datagram identifies the sender and thereby the directed link. The relay forwards a datagram from
 * the sender's socket, so that the receiver sees an address to which it can reply and no datagram bypasses the relay.
 */
@SuppressWarnings("FutureReturnValueIgnored") // a datagram that cannot be sent is lost, as on a network
public final class DatagramRelay {
    private static final int MAX_DATAGRAM_BYTES = 1 << 16;
    /**
     * Bound on the datagrams that are delayed at the same time, over all links; further ones are dropped. It holds the
     * traffic of one second of a fleet far busier than those of the tests.
     */
    private static final int MAX_DELAYED = 1 << 16;

    private final List<Channel> sockets = new ArrayList<>();
    private final List<InetSocketAddress> routers;
    private final Map<InetSocketAddress, Integer> routerByAddress = new HashMap<>();
    private final NetworkLink[][] links;
    private final AtomicLong unknownSenders = new AtomicLong();
    /** Number of datagrams that are delayed now. Accessed by the event loop's thread only. */
    private int delayedCount;

    /**
     * Binds the sockets of the relay on the transport's event loop; they are closed with the transport.
     *
     * @param routers the addresses at which the routers actually listen and from which they send
     */
    public DatagramRelay(Transport transport, List<InetSocketAddress> routers, long seed) throws InterruptedException {
        this.routers = List.copyOf(routers);
        links = new NetworkLink[routers.size()][routers.size()];
        var random = new SplittableRandom(seed);
        for (int i = 0; i < routers.size(); i++) {
            routerByAddress.put(routers.get(i), i);
            for (int j = 0; j < routers.size(); j++) {
                links[i][j] = new NetworkLink(random.split());
            }
        }
        for (int i = 0; i < routers.size(); i++) {
            sockets.add(new Bootstrap()
                    .group(transport.eventLoop())
                    .channelFactory(NioDatagramChannel::new)
                    .handler(new Socket(i))
                    .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES))
                    .bind(transport.ephemeralAddress(0))
                    .sync()
                    .channel());
        }
    }

    /** The address at which the other routers reach a router. */
    public InetSocketAddress address(int router) {
        return (InetSocketAddress) sockets.get(router).localAddress();
    }

    /** The address at which a router actually listens; only the relay sends to it. */
    public InetSocketAddress routerAddress(int router) {
        return routers.get(router);
    }

    public NetworkLink link(int from, int to) {
        return links[from][to];
    }

    /** Number of datagrams with that delivery, over all links. */
    public long count(NetworkLink.Delivery delivery) {
        return Stream.of(links)
                .flatMap(Stream::of)
                .mapToLong(link -> link.count(delivery))
                .sum();
    }

    /** Number of datagrams that came from none of the routers; these are dropped. */
    public long unknownSenders() {
        return unknownSenders.get();
    }

    /** Receives the datagrams that are sent to one router. */
    private final class Socket extends SimpleChannelInboundHandler<DatagramPacket> {
        private final int to;

        Socket(int to) {
            this.to = to;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            Integer from = routerByAddress.get(packet.sender());
            if (from == null) {
                unknownSenders.incrementAndGet();
                return;
            }
            double now = System.nanoTime() / 1e9;
            for (NetworkLink.Departure departure :
                    links[from][to].transmit(ByteBufUtil.getBytes(packet.content()), now)) {
                if (departure.at() <= now) {
                    send(from, departure.bytes());
                } else if (delayedCount < MAX_DELAYED) {
                    delayedCount++;
                    ctx.executor()
                            .schedule(
                                    () -> {
                                        delayedCount--;
                                        send(from, departure.bytes());
                                    },
                                    (long) ((departure.at() - now) * 1e9),
                                    TimeUnit.NANOSECONDS);
                }
            }
        }

        private void send(int from, byte[] bytes) {
            sockets.get(from).writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(bytes), routers.get(to)));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // Sending to a router that is down raises an IOException at the sending socket, which is ignored.
            if (!(cause instanceof IOException)) {
                ctx.fireExceptionCaught(cause);
            }
        }
    }
}
