package clayhook.rehearsal;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.function.Supplier;

/** A small server on a loopback port that stands in for an outside system. */
abstract class StandIn {
    private final Channel listening;

    /** {@code handlers} makes the handlers of each connection. */
    StandIn(EventLoopGroup loop, Supplier<ChannelHandler[]> handlers) throws InterruptedException {
        listening = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline().addLast(handlers.get());
                    }
                }).bind(InetAddress.getLoopbackAddress(), 0).sync().channel();
    }

    public final InetSocketAddress address() {
        return (InetSocketAddress) listening.localAddress();
    }

    /** Takes no more connections. */
    public final void close() throws InterruptedException {
        listening.close().sync();
    }
}
