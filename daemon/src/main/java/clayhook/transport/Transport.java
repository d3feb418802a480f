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
import io.netty.channel.RecvByteBufAllocator;
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
 * One event loop thread and its connections: over TCP, or during a warm-up over sockets that are unreachable from
 * outside the process.
 *
 * <p>Thread-safe, except for {@link #stopListening}, which must be called on the event loop. The handlers passed to
 * {@link #listen} and {@link #connect} are created and run on the event loop.
 */
public final class Transport {
    /**
     * Length of the listen backlog: connections established by the operating system and not yet accepted by the
     * process.
     */
    private static final int BACKLOG = 1024;
    /**
     * Maximum number of connections accepted in one event loop iteration. Each may exceed the descriptor budget because
     * the descriptor of the connection evicted for it is freed only in the next iteration.
     */
    private static final int MAX_ACCEPTS_PER_TICK = 4;
    /** Maximum socket reads per connection in one event loop iteration, so that no connection delays the others. */
    private static final int MAX_READS_PER_TICK = 2;
    /** A closed event loop ends after this time without a task, or at the latest after the shutdown timeout. */
    private static final int SHUTDOWN_QUIET_PERIOD_MS = 50;

    private static final int SHUTDOWN_TIMEOUT_MS = 1000;
    private static final int BACKLOG_RETRY_MS = 1;
    private static final int MILLIS_PER_SECOND = 1000;
    private static final double NANOS_PER_SECOND = 1e9;

    private enum Kind {
        TCP,
        /** Unix domain sockets in a temporary directory of this transport. */
        UNIX_SOCKET,
        /** In-process channels without sockets. */
        IN_PROCESS
    }

    /** Source of the ids that distinguish the in-process addresses of several transports. */
    private static final AtomicInteger LAST_ID = new AtomicInteger();

    static {
        NettyLogHandler.install();
    }

    private final Kind kind;
    /** The directory of the Unix domain sockets; null for the other kinds. */
    private final Path socketDirectory;

    private final int id = LAST_ID.incrementAndGet();
    private final MultiThreadIoEventLoopGroup group;
    private final AtomicBoolean closed = new AtomicBoolean();
    /** Creates outbound channels; throws ChannelException if no file descriptor is available. */
    private final Supplier<Channel> channelFactory;

    private Transport(Kind kind, Path socketDirectory, IoHandlerFactory handlers, Supplier<Channel> channelFactory) {
        this.kind = kind;
        this.socketDirectory = socketDirectory;
        this.channelFactory = channelFactory;
        group = new MultiThreadIoEventLoopGroup(1, handlers);
    }

    /** Creates a transport over TCP. */
    public static Transport tcp() {
        return tcp(NioSocketChannel::new);
    }

    static Transport tcp(Supplier<Channel> channelFactory) {
        return new Transport(Kind.TCP, null, NioIoHandler.newFactory(), channelFactory);
    }

    /**
     * Creates a transport over Unix domain sockets, which executes the same code as TCP; ports are file names in a new
     * temporary directory.
     */
    public static Transport unixSockets() throws IOException {
        return new Transport(
                Kind.UNIX_SOCKET,
                Files.createTempDirectory("clayhook"),
                NioIoHandler.newFactory(),
                NioDomainSocketChannel::new);
    }

    /**
     * Creates a transport without sockets, for systems on which a process cannot connect to itself; ports are names of
     * in-process addresses.
     */
    public static Transport inProcess() {
        return new Transport(Kind.IN_PROCESS, null, LocalIoHandler.newFactory(), LocalChannel::new);
    }

    /** A loopback address to listen on: any free port over TCP, otherwise the given port, which must be unused. */
    @SuppressWarnings("AddressSelection") // a literal address, which needs no name resolution
    public InetSocketAddress ephemeralAddress(int port) {
        return new InetSocketAddress("127.0.0.1", kind == Kind.TCP ? 0 : port);
    }

    /** The event loop of all connections. */
    public EventLoop eventLoop() {
        return group.next();
    }

    /**
     * Starts listening on an address.
     *
     * @param handlers creates the handlers of each accepted connection
     * @return the bound listening channel
     * @throws InterruptedException if the thread is interrupted before the socket is bound
     */
    public Channel listen(InetSocketAddress address, Supplier<ChannelHandler[]> handlers) throws InterruptedException {
        var bootstrap = new ServerBootstrap()
                .group(group)
                .childHandler(initializer(handlers))
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, boundedReads());
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
     * Stops listening. The operating system resets connections in the backlog of a listening socket that is closed, so
     * these are accepted first, over several event loop iterations if there are many. Event loop only.
     */
    @SuppressWarnings("FutureReturnValueIgnored") // nothing waits for the close
    public void stopListening(Channel listening) {
        if (listening instanceof BacklogDrainingServerChannel channel
                && channel.isOpen()
                && channel.acceptBacklog(MAX_ACCEPTS_PER_TICK)) {
            // Retried after the descriptors of the connections evicted for the accepted ones have been freed.
            eventLoop().schedule(() -> stopListening(listening), BACKLOG_RETRY_MS, TimeUnit.MILLISECONDS);
        } else {
            listening.close();
        }
    }

    /**
     * Starts connecting to an address.
     *
     * @param timeout the time limit for establishing the connection, in seconds
     * @param handlers creates the handlers of the connection
     * @param onFailure runs on the event loop, after this method returns, if the connection is not established in time
     * @return the channel, which is not connected yet; null if no file descriptor is available
     */
    public Channel connect(
            InetSocketAddress address, double timeout, Supplier<ChannelHandler[]> handlers, Runnable onFailure) {
        return connectOrReport(address, timeout, handlers, cause -> onFailure.run());
    }

    /**
     * Starts connecting to an address like {@link #connect}, but reports the cause of a failure.
     *
     * @param onFailure receives the cause, which is null if no file descriptor was available
     */
    public Channel connectOrReport(
            InetSocketAddress address,
            double timeout,
            Supplier<ChannelHandler[]> handlers,
            Consumer<Throwable> onFailure) {
        Channel channel;
        try {
            channel = channelFactory.get();
        } catch (ChannelException e) {
            // Handled here because Netty would call the listeners on another thread.
            Log.warn("connect", "cannot open a socket: " + e.getCause());
            eventLoop().execute(() -> onFailure.accept(null));
            return null;
        }
        var bootstrap = new Bootstrap()
                .group(group)
                .channelFactory(() -> channel)
                .handler(initializer(handlers))
                .option(ChannelOption.RECVBUF_ALLOCATOR, boundedReads())
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

    private static RecvByteBufAllocator boundedReads() {
        return new AdaptiveRecvByteBufAllocator().maxMessagesPerRead(MAX_READS_PER_TICK);
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
     * Closes all connections and ends the event loop asynchronously; has no effect after the first call. Netty closes
     * connections only in an iteration that starts after the shutdown request. Without a quiet period, an event loop
     * that receives the request during an iteration ends with that iteration, and the connections stay open.
     */
    public void close() {
        if (!closed.getAndSet(true)) {
            eventLoop().execute(() -> group.shutdownGracefully(
                            SHUTDOWN_QUIET_PERIOD_MS, SHUTDOWN_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                    .addListener(done -> deleteSocketDirectory()));
        }
    }

    /** Waits until the event loop has ended, for at most the given number of seconds. */
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
