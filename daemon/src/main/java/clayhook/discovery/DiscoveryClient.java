package clayhook.discovery;

import clayhook.log.Log;
import clayhook.transport.Transport;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/** Watches one service: one connection, one call after the other, each as soon as the last is answered. */
final class DiscoveryClient {
    /** Asks for the whole list. */
    static final long NO_VERSION = -1;

    /** Long beside the cost of a call; short beside the time after which a silent service is found out. */
    private static final int WAIT_MS = 10_000;
    /** Above the time that a call may wait for its turn; below the time at which news count as told. */
    private static final int TURN_MS = 1900;

    /** As long as a call may wait for its turn. */
    private static final double CONNECT_S = 2;

    private final Transport transport;
    final InetSocketAddress address;
    private final Discovery.Listener listener;
    private final String host;
    private long version;
    /** The call in hand, or null. */
    private Call call;
    private Channel connection;

    DiscoveryClient(Transport transport, InetSocketAddress address, long version, Discovery.Listener listener) {
        this.transport = transport;
        this.address = address;
        this.version = version;
        this.listener = listener;
        host = address.getHostString() + ":" + address.getPort();
    }

    private final class Call {
    }

    private final class Answers extends ChannelInboundHandlerAdapter {
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            if (ctx.channel() == connection && call != null) {
                ask(call);
            }
        }

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
    void watch() {
        if (call != null) {
            return;
        }
        var made = new Call();
        call = made;
        if (connection != null) {
            ask(made);
            return;
        }
        connection = transport.connect(address, CONNECT_S,
                () -> new ChannelHandler[] {new HttpDecoder(), new Answers()}, () -> {
                    if (call == made) {
                        failed("no connection");
                    }
                });
    }

    private void drop() {
        Channel old = connection;
        connection = null;
        if (old != null) {
            old.close();
        }
    }

    /** Watches no more. */
    void close() {
        call = null;
        drop();
    }

    private void ask(Call made) {
        boolean whole = version == NO_VERSION;
        String query = whole ? "" : "?after=" + version + "&wait_ms=" + WAIT_MS;
        String request = "GET /v1/endpoints" + query + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n";
        connection.writeAndFlush(Unpooled.copiedBuffer(request, StandardCharsets.US_ASCII));
        connection.eventLoop().schedule(() -> {
            if (call == made) {
                failed("no answer");
            }
        }, whole ? TURN_MS : WAIT_MS + TURN_MS, TimeUnit.MILLISECONDS);
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
        if (response.last()) {
            drop();
        }
        listener.listed(list);
        watch();
    }

    private void failed(String why) {
        if (call == null) {
            return;
        }
        Log.warn("discovery", "discovery failed: " + why);
        call = null;
        drop();
        listener.listFailed();
    }
}
