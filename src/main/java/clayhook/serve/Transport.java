package clayhook.serve;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.local.LocalAddress;
import io.netty.channel.local.LocalChannel;
import io.netty.channel.local.LocalIoHandler;
import io.netty.channel.local.LocalServerChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** One event loop and the connections on it: sockets, or for a rehearsal nothing outside the process. */
public final class Transport {
    /** Connections that the machine may accept before the process does. */
    private static final int BACKLOG = 1024;
    private final boolean sockets;
    private final MultiThreadIoEventLoopGroup group;

    private Transport(boolean sockets) {
        this.sockets = sockets;
        group = new MultiThreadIoEventLoopGroup(1, sockets ? NioIoHandler.newFactory() : LocalIoHandler.newFactory());
    }

    public static Transport sockets() {
        return new Transport(true);
    }

    /** Addresses are but names here. */
    public static Transport withinProcess() {
        return new Transport(false);
    }

    /** An address to listen at in a rehearsal: a free port, or within the process that name. */
    public InetSocketAddress spare(int name) {
        return new InetSocketAddress("127.0.0.1", sockets ? 0 : name);
    }

    EventLoop loop() {
        return group.next();
    }

    /** Listens at an address; {@code handlers} makes the handlers of each connection. */
    public Channel listen(InetSocketAddress address, Supplier<ChannelHandler[]> handlers) throws InterruptedException {
        var bootstrap = new ServerBootstrap().group(group).childHandler(initializer(handlers));
        if (sockets) {
            bootstrap.channel(NioServerSocketChannel.class).option(ChannelOption.SO_BACKLOG, BACKLOG)
                    .option(ChannelOption.SO_REUSEADDR, true).childOption(ChannelOption.TCP_NODELAY, true);
        } else {
            bootstrap.channel(LocalServerChannel.class);
        }
        return bootstrap.bind(at(address)).sync().channel();
    }

    /** Connects; {@code failed} runs if that does not come about within so many seconds. */
    public Channel connect(InetSocketAddress address, double seconds, Supplier<ChannelHandler[]> handlers,
            Runnable failed) {
        var bootstrap = new Bootstrap().group(group).handler(initializer(handlers))
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.ceil(seconds * 1000));
        if (sockets) {
            bootstrap.channel(NioSocketChannel.class).option(ChannelOption.TCP_NODELAY, true);
        } else {
            bootstrap.channel(LocalChannel.class);
        }
        var connecting = bootstrap.connect(at(address));
        connecting.addListener(done -> {
            if (!done.isSuccess()) {
                failed.run();
            }
        });
        return connecting.channel();
    }

    private SocketAddress at(InetSocketAddress address) {
        return sockets ? address : new LocalAddress(address.toString());
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
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
