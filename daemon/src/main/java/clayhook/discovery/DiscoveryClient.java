package clayhook.discovery;

import clayhook.log.Log;
import clayhook.transport.Transport;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Watches one service: one call after the other, each as soon as the last is answered, on one connection while that
 * answers; beside it, now and then, a check that does not wait for news.
 */
final class DiscoveryClient {
    /** Asks for the whole list. */
    static final long NO_VERSION = -1;

    /**
     * An answer that is later than this once its call's wait is over is told of; most come within some milliseconds.
     */
    private static final int LATE_MS = 500;
    /** Above the time that a call may wait for its turn; below the time at which news count as told. */
    private static final int TURN_MS = 1900;

    /** Where no connection stands by then the service cannot be reached, or another try gets there sooner. */
    private static final double CONNECT_S = 1;
    /** The status of a service that turns a call away, as too many came. */
    private static final int BUSY = 503;

    private final Transport transport;
    final InetSocketAddress address;
    private final Discovery.Listener listener;
    private final String host;
    private final int waitMs;
    private final Checks checks;
    private long version;
    /** The one in use, or null. */
    private Line current;
    /**
     * The one before, whose answer is late and still welcome; it leaves with any answer, or when its call is given up.
     */
    private Line former;
    /** The one for checks, or null; it stays as long as the service keeps it. */
    private Line side;
    /** The next check, or null before the first answer and after the end. */
    private ScheduledFuture<?> nextCheck;

    /** {@code wait}: seconds that a call waits for news. */
    DiscoveryClient(
            Transport transport,
            InetSocketAddress address,
            long version,
            double wait,
            Checks checks,
            Discovery.Listener listener) {
        this.transport = transport;
        this.address = address;
        this.version = version;
        this.checks = checks;
        this.listener = listener;
        waitMs = (int) Math.round(wait * 1000);
        host = address.getHostString() + ":" + address.getPort();
    }

    /** One connection, and the call that it carries. */
    private final class Line extends ChannelInboundHandlerAdapter {
        private Channel channel;
        /** The call in hand, or null; each has an object of its own. */
        private Object call = new Object();

        private long askedAt;
        private boolean late;

        private void connect() {
            channel = transport.connect(
                    address,
                    CONNECT_S,
                    () -> new ChannelHandler[] {new HttpDecoder(), this},
                    () -> failed(this, "no connection", 0));
        }

        private void ask() {
            Object made = new Object();
            call = made;
            askedAt = System.nanoTime();
            boolean waits = version != NO_VERSION && this != side;
            String query = version == NO_VERSION ? "" : "?after=" + version + "&wait_ms=" + (waits ? waitMs : 0);
            String request = "GET /v1/endpoints" + query + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n";
            channel.writeAndFlush(Unpooled.copiedBuffer(request, StandardCharsets.US_ASCII));
            if (waits) {
                unless(made, waitMs + LATE_MS, this::isLate);
            }
            unless(made, (waits ? waitMs : 0) + TURN_MS, () -> failed(this, "no answer", 0));
        }

        /** Runs that after so long where the call is still in hand. */
        private void unless(Object made, int milliseconds, Runnable then) {
            channel.eventLoop()
                    .schedule(
                            () -> {
                                if (call == made) {
                                    then.run();
                                }
                            },
                            milliseconds,
                            TimeUnit.MILLISECONDS);
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
            if ((this == current || this == former || this == side)
                    && call != null
                    && message instanceof HttpResponse response) {
                answered(this, response);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            failed(this, "the connection ended", 0);
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
        if (nextCheck == null) {
            checkAfter(checks.next());
        }
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
        Line checking = side;
        current = former = side = null;
        drop(left);
        drop(late);
        drop(checking);
        if (nextCheck != null) {
            nextCheck.cancel(false);
            nextCheck = null;
        }
    }

    private void checkAfter(double seconds) {
        if (nextCheck != null) {
            nextCheck.cancel(false);
        }
        nextCheck = transport.loop().schedule(this::check, (long) (seconds * 1e9), TimeUnit.NANOSECONDS);
    }

    private void check() {
        if (side == null) {
            side = new Line();
            side.connect();
        } else if (side.call == null) {
            side.ask();
        } // else the one before is not over, and its end asks for the next
    }

    private void answered(Line line, HttpResponse response) {
        if (response.status() != 200) {
            failed(line, "status " + response.status(), response.status());
            return;
        }
        NodeList list;
        try {
            list = NodeList.parse(response.body());
        } catch (IllegalArgumentException e) {
            failed(line, e.getMessage(), 0);
            return;
        }
        checkAfter(checks.next());
        if (line == side) {
            checks.answered((System.nanoTime() - line.askedAt) / 1e9);
            if (list.version() <= version && current != null) {
                line.call = null;
                if (response.last()) {
                    side = null;
                    drop(line);
                }
                return;
            }
            // The watch is broken, or has missed what it should have told: this line takes its place.
            side = null;
            drop(current);
            current = line;
            // Guards against undoing what a watch told while this was on its way.
            list = list.whole() || list.version() >= version ? list : new NodeList(version, false, List.of());
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

    private void failed(Line line, String why, int status) {
        if (status == BUSY) {
            checks.turnedAway();
        }
        if (line == side) {
            side = null;
            if (line.call != null) { // else it was closed between two checks
                checkAfter(status == BUSY ? checks.next() : checks.again());
            }
        } else if (line == former) {
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
