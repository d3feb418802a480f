package clayhook.transport;

import clayhook.log.Log;
import clayhook.log.NettyLogHandler;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.local.LocalAddress;
import io.netty.channel.local.LocalChannel;
import io.netty.channel.local.LocalIoHandler;
import io.netty.channel.local.LocalServerChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioDomainSocketChannel;
import io.netty.channel.socket.nio.NioServerDomainSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.UnixDomainSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * One event loop thread and the connections on it: over TCP, or for a warm-up over sockets that nothing outside the
 * process can reach.
 *
 * <p>Thread-safe, but for {@link #stopListening}, which is called on the event loop. The handlers that {@link #listen}
 * and {@link #connect} ask for are made and run on the event loop.
 */
public final class Transport {
    /** Connections that the system accepts before the process does. */
    private static final int BACKLOG = 1024;
    /**
     * Connections accepted in one event loop iteration. Each may exceed the descriptor budget, as the descriptor of the
     * connection that is evicted for it is freed only in the next iteration.
     */
    private static final int MAX_ACCEPTS_PER_TICK = 4;
    /** Socket reads of one connection in one event loop iteration, so that none delays the others. */
    private static final int MAX_READS_PER_TICK = 2;
    /** A loop that is closed ends when it has had no task for so long, or after the time limit. */
    private static final int SHUTDOWN_QUIET_PERIOD_MS = 50;

    private static final int SHUTDOWN_TIMEOUT_MS = 1000;
    private static final int BACKLOG_RETRY_MS = 1;
    private static final int MILLIS_PER_SECOND = 1000;
    private static final double NANOS_PER_SECOND = 1e9;

    private enum Kind {
        TCP,
        /** Unix domain sockets in a directory of this transport. */
        UNIX_SOCKET,
        /** Queues within the process. */
        IN_PROCESS
    }

    /** Distinguishes the in-process addresses of several transports. */
    private static final AtomicInteger LAST_ID = new AtomicInteger();

    static {
        NettyLogHandler.install();
    }

    private final Kind kind;
    /** Null but for Unix domain sockets. */
    private final Path socketDirectory;

    private final int id = LAST_ID.incrementAndGet();
    private final MultiThreadIoEventLoopGroup group;
    private final AtomicBoolean closed = new AtomicBoolean();
    /** Makes channels that connect; throws ChannelException where no descriptor is left. */
    private final Supplier<Channel> channelFactory;

    private Transport(Kind kind, Path socketDirectory, IoHandlerFactory handlers, Supplier<Channel> channelFactory) {
        this.kind = kind;
        this.socketDirectory = socketDirectory;
        this.channelFactory = channelFactory;
        group = new MultiThreadIoEventLoopGroup(1, handlers);
    }

    /** A transport over TCP. */
    public static Transport tcp() {
        return tcp(NioSocketChannel::new);
    }

    static Transport tcp(Supplier<Channel> channelFactory) {
        return new Transport(Kind.TCP, null, NioIoHandler.newFactory(), channelFactory);
    }

    /** A transport over Unix domain sockets, which runs the code of TCP; ports are file names in a new directory. */
    public static Transport unixSockets() throws IOException {
        return new Transport(
                Kind.UNIX_SOCKET,
                Files.createTempDirectory("clayhook"),
                NioIoHandler.newFactory(),
                NioDomainSocketChannel::new);
    }

    /** A transport without sockets, for systems that let no process connect to itself; ports are names. */
    public static Transport inProcess() {
        return new Transport(Kind.IN_PROCESS, null, LocalIoHandler.newFactory(), LocalChannel::new);
    }

    /** A loopback address to listen at: over TCP any free port, otherwise the given one, which must be unused. */
    @SuppressWarnings("AddressSelection") // a literal address, which is not looked up
    public InetSocketAddress ephemeralAddress(int port) {
        return new InetSocketAddress("127.0.0.1", kind == Kind.TCP ? 0 : port);
    }

    /** The event loop of all connections. */
    public EventLoop eventLoop() {
        return group.next();
    }

    /**
     * Listens at an address.
     *
     * @param handlers makes the handlers of each accepted connection
     * @return the listening channel, bound
     * @throws InterruptedException if the thread is interrupted before the socket is bound
     */
    public Channel listen(InetSocketAddress address, Supplier<ChannelHandler[]> handlers) throws InterruptedException {
        var bootstrap = new ServerBootstrap()
                .group(group)
                .childHandler(initializer(handlers))
                .childOption(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator().maxMessagesPerRead(MAX_READS_PER_TICK));
        switch (kind) {
            case TCP ->
                bootstrap
                        .channelFactory(BacklogDrainingServerChannel::new)
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .option(
                                ChannelOption.RECVBUF_ALLOCATOR,
                                new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(MAX_ACCEPTS_PER_TICK))
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true);
            case UNIX_SOCKET -> bootstrap.channelFactory(NioServerDomainSocketChannel::new);
            case IN_PROCESS -> bootstrap.channelFactory(LocalServerChannel::new);
        }
        return bootstrap.bind(socketAddress(address)).sync().channel();
    }

    /**
     * Stops listening. The system resets connections that wait to be accepted as a listening socket closes, so these
     * are accepted first, over several event loop iterations if there are many. Event loop only.
     */
    @SuppressWarnings("FutureReturnValueIgnored") // nothing waits for the close
    public void stopListening(Channel listening) {
        if (listening instanceof BacklogDrainingServerChannel channel
                && channel.isOpen()
                && channel.acceptBacklog(MAX_ACCEPTS_PER_TICK)) {
            // Later, once the descriptors of connections evicted for the accepted ones are free.
            eventLoop().schedule(() -> stopListening(listening), BACKLOG_RETRY_MS, TimeUnit.MILLISECONDS);
        } else {
            listening.close();
        }
    }

    /**
     * Begins to connect.
     *
     * @param timeout seconds for the connection to be established
     * @param handlers makes the handlers of the connection
     * @param onFailure runs on the event loop, after this method returns, if the connection is not established in time
     * @return the channel, not connected yet; null where no descriptor is left for it
     */
    public Channel connect(
            InetSocketAddress address, double timeout, Supplier<ChannelHandler[]> handlers, Runnable onFailure) {
        return connectOrReport(address, timeout, handlers, cause -> onFailure.run());
    }

    /** The same; {@code onFailure} gets the cause, null where no descriptor was left. */
    public Channel connectOrReport(
            InetSocketAddress address,
            double timeout,
            Supplier<ChannelHandler[]> handlers,
            Consumer<Throwable> onFailure) {
        Channel channel;
        try {
            channel = channelFactory.get();
        } catch (ChannelException e) {
            // Not left to Netty, which would call the listeners on a thread of its own.
            Log.warn("connect", "cannot open a socket: " + e.getCause());
            eventLoop().execute(() -> onFailure.accept(null));
            return null;
        }
        var bootstrap = new Bootstrap()
                .group(group)
                .channelFactory(() -> channel)
                .handler(initializer(handlers))
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.ceil(timeout * MILLIS_PER_SECOND));
        if (kind == Kind.TCP) {
            bootstrap.option(ChannelOption.TCP_NODELAY, true);
        }
        bootstrap.connect(socketAddress(address)).addListener(done -> {
            if (!done.isSuccess()) {
                onFailure.accept(done.cause());
            }
        });
        return channel;
    }

    private SocketAddress socketAddress(InetSocketAddress address) {
        return switch (kind) {
            case TCP -> address;
            case UNIX_SOCKET -> UnixDomainSocketAddress.of(socketDirectory.resolve("" + address.getPort()));
            case IN_PROCESS -> new LocalAddress(id + "-" + address.getPort());
        };
    }

    private static ChannelInitializer<Channel> initializer(Supplier<ChannelHandler[]> handlers) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline().addLast(handlers.get());
            }
        };
    }

    /**
     * Closes all connections and ends the event loop, without waiting for that; has no effect after the first call.
     * Netty closes connections only in an iteration that begins after the request to shut down. Without a quiet period,
     * a loop that gets the request between two steps of an iteration ends there, and they stay open.
     */
    public void close() {
        if (!closed.getAndSet(true)) {
            eventLoop().execute(() -> group.shutdownGracefully(
                            SHUTDOWN_QUIET_PERIOD_MS, SHUTDOWN_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                    .addListener(done -> deleteSocketDirectory()));
        }
    }

    /** Waits until the event loop has ended, for so many seconds at most. */
    public void awaitClosed(double seconds) throws InterruptedException {
        group.awaitTermination((long) (seconds * NANOS_PER_SECOND), TimeUnit.NANOSECONDS);
    }

    private void deleteSocketDirectory() throws IOException {
        if (socketDirectory != null) {
            for (File file : socketDirectory.toFile().listFiles()) {
                Files.deleteIfExists(file.toPath());
            }
            Files.delete(socketDirectory);
        }
    }
}
