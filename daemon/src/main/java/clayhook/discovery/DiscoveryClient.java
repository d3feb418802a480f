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

/** Watches one service: one call after the other, each as soon as the last is answered, on one connection while that answers. */
final class DiscoveryClient {
    /** Asks for the whole list. */
    static final long NO_VERSION = -1;

    /** An answer that is later than this once its call's wait is over is told of; most come within some milliseconds. */
    private static final int LATE_MS = 500;
    /** Above the time that a call may wait for its turn; below the time at which news count as told. */
    private static final int TURN_MS = 1900;

    /** As long as a call may wait for its turn. */
    private static final double CONNECT_S = 2;

    private final Transport transport;
    final InetSocketAddress address;
    private final Discovery.Listener listener;
    private final String host;
    private final int waitMs;
    private long version;
    /** The one in use, or null. */
    private Line current;
    /** The one before, whose answer is late and still welcome; it leaves with any answer, or when its call is given up. */
    private Line former;

    /** {@code wait}: seconds that a call waits for news. */
    DiscoveryClient(Transport transport, InetSocketAddress address, long version, double wait, Discovery.Listener listener) {
        this.transport = transport;
        this.address = address;
        this.version = version;
        this.listener = listener;
        waitMs = (int) Math.round(wait * 1000);
        host = address.getHostString() + ":" + address.getPort();
    }

    /** One connection, and the call that it carries. */
    private final class Line extends ChannelInboundHandlerAdapter {
        private Channel channel;
        /** The call in hand; each has an object of its own. */
        private Object call = new Object();
        private boolean late;

        private void connect() {
            channel = transport.connect(address, CONNECT_S, () -> new ChannelHandler[] {new HttpDecoder(), this},
                    () -> failed(this, "no connection"));
        }

        private void ask() {
            Object made = new Object();
            call = made;
            boolean whole = version == NO_VERSION;
            String query = whole ? "" : "?after=" + version + "&wait_ms=" + waitMs;
            String request = "GET /v1/endpoints" + query + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n";
            channel.writeAndFlush(Unpooled.copiedBuffer(request, StandardCharsets.US_ASCII));
            if (!whole) {
                unless(made, waitMs + LATE_MS, this::isLate);
            }
            unless(made, (whole ? 0 : waitMs) + TURN_MS, () -> failed(this, "no answer"));
        }

        /** Runs that after so long where the call is still in hand. */
        private void unless(Object made, int milliseconds, Runnable then) {
            channel.eventLoop().schedule(() -> {
                if (call == made) {
                    then.run();
                }
            }, milliseconds, TimeUnit.MILLISECONDS);
        }

        private void isLate() {
            if (this == current) {
                late = true;
                listener.listLate();
            }
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            ask();
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            if ((this == current || this == former) && message instanceof HttpResponse response) {
                answered(this, response);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            failed(this, "the connection ended");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /** Sees to it that a watch stands; one whose answer is late does not count. */
    void watch() {
        if (current != null && !current.late) {
            return;
        } else if (current != null) {
            drop(former);
            former = current;
        }
        current = new Line();
        current.connect();
    }

    private static void drop(Line line) {
        if (line != null) {
            line.call = null;
            if (line.channel != null) { // else it failed at once
                line.channel.close();
            }
        }
    }

    /** Watches no more. */
    void close() {
        Line left = current;
        Line late = former;
        current = former = null;
        drop(left);
        drop(late);
    }

    private void answered(Line line, HttpResponse response) {
        if (response.status() != 200) {
            failed(line, "status " + response.status());
            return;
        }
        NodeList list;
        try {
            list = NodeList.parse(response.body());
        } catch (IllegalArgumentException e) {
            failed(line, e.getMessage());
            return;
        }
        version = list.version();
        line.late = false;
        Line other = line == current ? former : current;
        current = response.last() ? null : line;
        former = null;
        drop(other);
        if (response.last()) {
            drop(line);
        }
        listener.listed(list);
        if (current == null) {
            watch();
        } else {
            current.ask();
        }
    }

    private void failed(Line line, String why) {
        if (line == former) {
            former = null;
        } else if (line == current) {
            Log.warn("discovery", "discovery failed: " + why);
            current = null;
            listener.listFailed();
        } else {
            return;
        }
        drop(line);
    }
}
