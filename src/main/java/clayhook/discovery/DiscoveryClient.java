package clayhook.discovery;

import clayhook.serve.Log;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/** Watches the list of nodes: one connection, one call after the other, each as soon as the last is answered. */
public final class DiscoveryClient {
    /** Long beside the cost of a call; short beside the time after which a silent service is found out. */
    private static final int WAIT_MS = 10_000;
    /** Above the time that a call may wait for its turn; below the time at which news count as told. */
    private static final int SILENT_MS = WAIT_MS + 1900;

    /** Hears what discovery tells. */
    public interface Listener {
        void listed(NodeList list);

        /** A call failed; the next one is made when {@link #watch} is called. */
        void listFailed();
    }

    private final InetSocketAddress address;
    private final Listener listener;
    private final Bootstrap bootstrap;
    private final String host;
    private long version;
    /** The call in hand, or null. */
    private Call call;
    private Channel connection;

    public DiscoveryClient(EventLoopGroup loop, InetSocketAddress address, long version, Listener listener) {
        this.address = address;
        this.version = version;
        this.listener = listener;
        host = address.getHostString() + ":" + address.getPort();
        bootstrap = new Bootstrap().group(loop).channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true).option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 2000)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline().addLast(new HttpDecoder(), new Answers());
                    }
                });
    }

    private final class Call {
    }

    private final class Answers extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            if (ctx.channel() == connection && message instanceof HttpResponse response) {
                answered(response);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (ctx.channel() == connection) {
                connection = null;
                failed("the connection ended");
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /** Sees to it that a watch stands. */
    public void watch() {
        if (call != null) {
            return;
        }
        var made = new Call();
        call = made;
        if (connection != null) {
            ask(made);
            return;
        }
        var connecting = bootstrap.connect(address);
        connection = connecting.channel();
        connecting.addListener(done -> {
            if (done.isSuccess() && call == made) {
                ask(made);
            } else if (call == made) {
                failed("no connection");
            }
        });
    }

    private void ask(Call made) {
        String request = "GET /v1/endpoints?after=" + version + "&wait_ms=" + WAIT_MS + " HTTP/1.1\r\nHost: "
                + host + "\r\n\r\n";
        connection.writeAndFlush(Unpooled.copiedBuffer(request, StandardCharsets.US_ASCII));
        connection.eventLoop().schedule(() -> {
            if (call == made) {
                failed("no answer");
            }
        }, SILENT_MS, TimeUnit.MILLISECONDS);
    }

    private void answered(HttpResponse response) {
        if (response.status() != 200) {
            failed("status " + response.status());
            return;
        }
        NodeList list;
        try {
            list = NodeList.parse(response.body());
        } catch (IllegalArgumentException e) {
            failed(e.getMessage());
            return;
        }
        version = list.version();
        call = null;
        listener.listed(list);
        watch();
    }

    private void failed(String why) {
        if (call == null) {
            return;
        }
        Log.warn("discovery", "discovery failed: " + why);
        call = null;
        Channel old = connection;
        connection = null;
        if (old != null) {
            old.close();
        }
        listener.listFailed();
    }
}
