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
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.UnixDomainSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

/** One event loop and the connections on it: TCP, or for a rehearsal what nothing outside can reach. */
public final class Transport {
    /** Connections that the machine may accept before the process does. */
    private static final int BACKLOG = 1024;
    /**
     * Accepted in one turn: each may be over the budget, and what made room for it holds its own until the next turn.
     */
    private static final int MAX_ACCEPTS_PER_TICK = 4;
    /** Of one connection in one turn, so that none holds up the others. */
    private static final int MAX_READS_PER_TICK = 2;
    /** Without a task for so long, and after so long at the latest, a loop that is to end does. */
    private static final int SHUTDOWN_QUIET_PERIOD_MS = 50;

    private static final int SHUTDOWN_TIMEOUT_MS = 1000;
    /** Over what connections go: the network, sockets in a folder, or queues within the process. */
    private enum Kind {
        TCP,
        UNIX_SOCKET,
        IN_PROCESS
    }

    /** Tells the addresses within this process apart that several transports listen at. */
    private static final AtomicInteger LAST_ID = new AtomicInteger();

    static {
        NettyLogHandler.install();
    }

    private final Kind kind;
    /** Where the sockets of a rehearsal lie; null without. */
    private final Path socketDirectory;

    private final int id = LAST_ID.incrementAndGet();
    private final MultiThreadIoEventLoopGroup group;
    private final AtomicBoolean closed = new AtomicBoolean();
    /** Makes what connects; throws ChannelException where no descriptor is left. */
    private final Supplier<Channel> channelFactory;

    private Transport(Kind kind, Path folder, IoHandlerFactory handlers, Supplier<Channel> sockets) {
        this.channelFactory = sockets;
        this.kind = kind;
        this.socketDirectory = folder;
        group = new MultiThreadIoEventLoopGroup(1, handlers);
    }

    public static Transport tcp() {
        return tcp(NioSocketChannel::new);
    }

    static Transport tcp(Supplier<Channel> sockets) {
        return new Transport(Kind.TCP, null, NioIoHandler.newFactory(), sockets);
    }

    /** Ports are but names here; the same code runs as for TCP. */
    public static Transport unixSockets() throws IOException {
        return new Transport(
                Kind.UNIX_SOCKET,
                Files.createTempDirectory("clayhook"),
                NioIoHandler.newFactory(),
                NioDomainSocketChannel::new);
    }

    /** For a platform that lets no process connect to itself: all but the sockets runs as for TCP. */
    public static Transport inProcess() {
        return new Transport(Kind.IN_PROCESS, null, LocalIoHandler.newFactory(), LocalChannel::new);
    }

    /** An address to listen at: a free port, or in a rehearsal that name. */
    public InetSocketAddress ephemeralAddress(int name) {
        return new InetSocketAddress("127.0.0.1", kind == Kind.TCP ? 0 : name);
    }

    public EventLoop eventLoop() {
        return group.next();
    }

    /** Listens at an address; {@code handlers} makes the handlers of each connection. */
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

    private static final class BacklogDrainingServerChannel extends NioServerSocketChannel {
        /** Hands on some of what the machine has accepted and the process has not; false where that is no more. */
        private boolean acceptBacklog() {
            var accepted = new ArrayList<Object>();
            try {
                while (accepted.size() < MAX_ACCEPTS_PER_TICK && doReadMessages(accepted) > 0) {
                    // the next one
                }
            } catch (Exception e) {
                Log.warn("accept", "accepts no more before it closes: " + e);
            }
            accepted.forEach(pipeline()::fireChannelRead);
            return accepted.size() == MAX_ACCEPTS_PER_TICK;
        }
    }

    /** Listens no more. A listening socket resets what waits to be accepted as it closes: that is accepted first. */
    public void stopListening(Channel listening) {
        if (listening instanceof BacklogDrainingServerChannel own && own.isOpen() && own.acceptBacklog()) {
            eventLoop()
                    .schedule(
                            () -> stopListening(listening),
                            1,
                            TimeUnit.MILLISECONDS); // once descriptors are free again
        } else {
            listening.close();
        }
    }

    /**
     * Connects; {@code failed} runs, on the loop and after this returns, if that does not come about within so many
     * seconds. Null where there is no descriptor for it.
     */
    public Channel connect(
            InetSocketAddress address, double seconds, Supplier<ChannelHandler[]> handlers, Runnable failed) {
        Channel channel;
        try {
            channel = channelFactory.get();
        } catch (ChannelException e) {
            // Guards against Netty's answer to that: it runs listeners on a thread of its own.
            Log.warn("connect", "no socket to connect with: " + e.getCause());
            eventLoop().execute(failed);
            return null;
        }
        var bootstrap = new Bootstrap()
                .group(group)
                .channelFactory(() -> channel)
                .handler(initializer(handlers))
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.ceil(seconds * 1000));
        if (kind == Kind.TCP) {
            bootstrap.option(ChannelOption.TCP_NODELAY, true);
        }
        bootstrap.connect(socketAddress(address)).addListener(done -> {
            if (!done.isSuccess()) {
                failed.run();
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
     * Ends the loop and all that is on it. Netty closes connections only in a turn that begins after the request to
     * end; without a quiet period a loop that is asked between two steps of a turn ends there, and they stay open.
     */
    public void close() {
        if (!closed.getAndSet(true)) {
            eventLoop().execute(() -> group.shutdownGracefully(
                            SHUTDOWN_QUIET_PERIOD_MS, SHUTDOWN_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                    .addListener(done -> deleteSocketDirectory()));
        }
    }

    /** Waits until nothing of it is open any more, for so many seconds at most. */
    public void awaitClosed(double seconds) throws InterruptedException {
        group.awaitTermination((long) (seconds * 1e9), TimeUnit.NANOSECONDS);
    }

    private void deleteSocketDirectory() throws IOException {
        if (socketDirectory != null) {
            for (File left : socketDirectory.toFile().listFiles()) {
                Files.deleteIfExists(left.toPath());
            }
            Files.delete(socketDirectory);
        }
    }
}
