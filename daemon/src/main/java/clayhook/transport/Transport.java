package clayhook.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
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
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

/** One event loop and the connections on it: TCP, or for a rehearsal what nothing outside can reach. */
public final class Transport {
    /** Connections that the machine may accept before the process does. */
    private static final int BACKLOG = 1024;
    /** Of one connection in one turn, so that none holds up the others. */
    private static final int READS = 2;
    /** Over what connections go: the network, sockets in a folder, or queues within the process. */
    private enum Kind { TCP, FOLDER, PROCESS }

    /** Tells the addresses within this process apart that several transports listen at. */
    private static final AtomicInteger TRANSPORTS = new AtomicInteger();

    private final Kind kind;
    /** Where the sockets of a rehearsal lie; null without. */
    private final Path folder;
    private final int number = TRANSPORTS.incrementAndGet();
    private final MultiThreadIoEventLoopGroup group;
    /** Makes the sockets that connect. */
    private final ChannelFactory<? extends Channel> sockets;

    private Transport(Kind kind, Path folder, IoHandlerFactory handlers, ChannelFactory<? extends Channel> sockets) {
        this.kind = kind;
        this.folder = folder;
        this.sockets = sockets;
        group = new MultiThreadIoEventLoopGroup(1, handlers);
    }

    public static Transport tcp() {
        return tcp(NioSocketChannel::new);
    }

    static Transport tcp(ChannelFactory<? extends Channel> sockets) {
        return new Transport(Kind.TCP, null, NioIoHandler.newFactory(), sockets);
    }

    /** Ports are but names here; the same code runs as for TCP. */
    public static Transport rehearsal() throws IOException {
        return new Transport(Kind.FOLDER, Files.createTempDirectory("clayhook"), NioIoHandler.newFactory(),
                NioDomainSocketChannel::new);
    }

    /** For a platform that lets no process connect to itself: all but the sockets runs as for TCP. */
    public static Transport withinProcess() {
        return new Transport(Kind.PROCESS, null, LocalIoHandler.newFactory(), LocalChannel::new);
    }

    /** An address to listen at: a free port, or in a rehearsal that name. */
    public InetSocketAddress spare(int name) {
        return new InetSocketAddress("127.0.0.1", kind == Kind.TCP ? 0 : name);
    }

    public EventLoop loop() {
        return group.next();
    }

    /** Listens at an address; {@code handlers} makes the handlers of each connection. */
    public Channel listen(InetSocketAddress address, Supplier<ChannelHandler[]> handlers) throws InterruptedException {
        var bootstrap = new ServerBootstrap().group(group).childHandler(initializer(handlers))
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, new AdaptiveRecvByteBufAllocator().maxMessagesPerRead(READS));
        switch (kind) {
            case TCP -> bootstrap.channelFactory(NioServerSocketChannel::new).option(ChannelOption.SO_BACKLOG, BACKLOG)
                    .option(ChannelOption.SO_REUSEADDR, true).childOption(ChannelOption.TCP_NODELAY, true);
            case FOLDER -> bootstrap.channelFactory(NioServerDomainSocketChannel::new);
            case PROCESS -> bootstrap.channelFactory(LocalServerChannel::new);
        }
        return bootstrap.bind(at(address)).sync().channel();
    }

    /** Connects; {@code failed} runs on the loop if that does not come about within so many seconds. */
    public Channel connect(InetSocketAddress address, double seconds, Supplier<ChannelHandler[]> handlers,
            Runnable failed) {
        var bootstrap = new Bootstrap().group(group).channelFactory(sockets).handler(initializer(handlers))
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.ceil(seconds * 1000));
        if (kind == Kind.TCP) {
            bootstrap.option(ChannelOption.TCP_NODELAY, true);
        }
        var connecting = bootstrap.connect(at(address));
        connecting.addListener(done -> {
            if (!done.isSuccess() && loop().inEventLoop()) {
                failed.run();
            } else if (!done.isSuccess()) {
                // Guards against lists changed by two threads: a socket that cannot be made fails on another one.
                loop().execute(failed);
            }
        });
        return connecting.channel();
    }

    private SocketAddress at(InetSocketAddress address) {
        return switch (kind) {
            case TCP -> address;
            case FOLDER -> UnixDomainSocketAddress.of(folder.resolve("" + address.getPort()));
            case PROCESS -> new LocalAddress(number + "-" + address.getPort());
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

    /** Ends the loop and all that is on it. */
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).addListener(done -> {
            if (folder != null) {
                for (File left : folder.toFile().listFiles()) {
                    Files.deleteIfExists(left.toPath());
                }
                Files.delete(folder);
            }
        });
    }
}
