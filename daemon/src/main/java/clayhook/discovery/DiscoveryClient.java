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
    private static final int LATE_ANSWER_MS = 500;
    /** Above the time that a call may wait for its turn; below the time at which news count as told. */
    private static final int ANSWER_TIMEOUT_MS = 1900;

    /** Where no connection stands by then the service cannot be reached, or another try gets there sooner. */
    private static final double CONNECT_TIMEOUT_SECONDS = 1;
    /** The status of a service that turns a call away, as too many came. */
    private static final int SERVICE_UNAVAILABLE = 503;

    private final Transport transport;
    final InetSocketAddress address;
    private final EndpointWatcher.Listener listener;
    private final String host;
    private final int longPollMs;
    private final WatchLivenessCheck livenessCheck;
    private long version;
    /** The one in use, or null. */
    private PollConnection watchConnection;
    /**
     * The one before, whose answer is late and still welcome; it leaves with any answer, or when its call is given up.
     */
    private PollConnection lateConnection;
    /** The one for checks, or null; it stays as long as the service keeps it. */
    private PollConnection checkConnection;
    /** The next check, or null before the first answer and after the end. */
    private ScheduledFuture<?> scheduledCheck;

    /** {@code wait}: seconds that a call waits for news. */
    DiscoveryClient(
            Transport transport,
            InetSocketAddress address,
            long version,
            double wait,
            WatchLivenessCheck checks,
            EndpointWatcher.Listener listener) {
        this.transport = transport;
        this.address = address;
        this.version = version;
        this.livenessCheck = checks;
        this.listener = listener;
        longPollMs = (int) Math.round(wait * 1000);
        host = address.getHostString() + ":" + address.getPort();
    }

    /** One connection, and the call that it carries. */
    private final class PollConnection extends ChannelInboundHandlerAdapter {
        private Channel channel;
        /** The call in hand, or null; each has an object of its own. */
        private Object pendingPoll = new Object();

        private long polledAtNanos;
        private boolean late;

        private void connect() {
            channel = transport.connect(
                    address,
                    CONNECT_TIMEOUT_SECONDS,
                    () -> new ChannelHandler[] {new HttpResponseDecoder(), this},
                    () -> onFailure(this, "no connection", 0));
        }

        private void poll() {
            Object made = new Object();
            pendingPoll = made;
            polledAtNanos = System.nanoTime();
            boolean waits = version != NO_VERSION && this != checkConnection;
            String query = version == NO_VERSION ? "" : "?after=" + version + "&wait_ms=" + (waits ? longPollMs : 0);
            String request = "GET /v1/endpoints" + query + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n";
            channel.writeAndFlush(Unpooled.copiedBuffer(request, StandardCharsets.US_ASCII));
            if (waits) {
                ifStillPending(made, longPollMs + LATE_ANSWER_MS, this::onLate);
            }
            ifStillPending(made, (waits ? longPollMs : 0) + ANSWER_TIMEOUT_MS, () -> onFailure(this, "no answer", 0));
        }

        /** Runs that after so long where the call is still in hand. */
        private void ifStillPending(Object made, int milliseconds, Runnable then) {
            channel.eventLoop()
                    .schedule(
                            () -> {
                                if (pendingPoll == made) {
                                    then.run();
                                }
                            },
                            milliseconds,
                            TimeUnit.MILLISECONDS);
        }

        private void onLate() {
            if (this == watchConnection) {
                late = true;
                listener.onEndpointListLate();
            }
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            poll();
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            if ((this == watchConnection || this == lateConnection || this == checkConnection)
                    && pendingPoll != null
                    && message instanceof HttpResponse response) {
                onResponse(this, response);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            onFailure(this, "the connection ended", 0);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /** Sees to it that a watch stands; one whose answer is late does not count. */
    void ensureWatching() {
        if (watchConnection != null && !watchConnection.late) {
            return;
        } else if (watchConnection != null) {
            discard(lateConnection);
            lateConnection = watchConnection;
        }
        watchConnection = new PollConnection();
        watchConnection.connect();
        if (scheduledCheck == null) {
            scheduleCheck(livenessCheck.nextIntervalSeconds());
        }
    }

    private static void discard(PollConnection line) {
        if (line != null) {
            line.pendingPoll = null;
            if (line.channel != null) { // else it failed at once
                line.channel.close();
            }
        }
    }

    /** Watches no more. */
    void close() {
        PollConnection left = watchConnection;
        PollConnection late = lateConnection;
        PollConnection checking = checkConnection;
        watchConnection = lateConnection = checkConnection = null;
        discard(left);
        discard(late);
        discard(checking);
        if (scheduledCheck != null) {
            scheduledCheck.cancel(false);
            scheduledCheck = null;
        }
    }

    private void scheduleCheck(double seconds) {
        if (scheduledCheck != null) {
            scheduledCheck.cancel(false);
        }
        scheduledCheck = transport.eventLoop().schedule(this::check, (long) (seconds * 1e9), TimeUnit.NANOSECONDS);
    }

    private void check() {
        if (checkConnection == null) {
            checkConnection = new PollConnection();
            checkConnection.connect();
        } else if (checkConnection.pendingPoll == null) {
            checkConnection.poll();
        } // else the one before is not over, and its end asks for the next
    }

    private void onResponse(PollConnection line, HttpResponse response) {
        if (response.status() != 200) {
            onFailure(line, "status " + response.status(), response.status());
            return;
        }
        EndpointList list;
        try {
            list = EndpointList.parse(response.body());
        } catch (IllegalArgumentException e) {
            onFailure(line, e.getMessage(), 0);
            return;
        }
        scheduleCheck(livenessCheck.nextIntervalSeconds());
        if (line == checkConnection) {
            livenessCheck.onAnswered((System.nanoTime() - line.polledAtNanos) / 1e9);
            if (list.version() <= version && watchConnection != null) {
                line.pendingPoll = null;
                if (response.closesConnection()) {
                    checkConnection = null;
                    discard(line);
                }
                return;
            }
            // The watch is broken, or has missed what it should have told: this line takes its place.
            checkConnection = null;
            discard(watchConnection);
            watchConnection = line;
            // Guards against undoing what a watch told while this was on its way.
            list = list.complete() || list.version() >= version ? list : new EndpointList(version, false, List.of());
        }
        version = list.version();
        line.late = false;
        PollConnection other = line == watchConnection ? lateConnection : watchConnection;
        watchConnection = response.closesConnection() ? null : line;
        lateConnection = null;
        discard(other);
        if (response.closesConnection()) {
            discard(line);
        }
        listener.onEndpointList(list);
        if (watchConnection == null) {
            ensureWatching();
        } else {
            watchConnection.poll();
        }
    }

    private void onFailure(PollConnection line, String why, int status) {
        if (status == SERVICE_UNAVAILABLE) {
            livenessCheck.onRejected();
        }
        if (line == checkConnection) {
            checkConnection = null;
            if (line.pendingPoll != null) { // else it was closed between two checks
                scheduleCheck(
                        status == SERVICE_UNAVAILABLE
                                ? livenessCheck.nextIntervalSeconds()
                                : livenessCheck.nextRetrySeconds());
            }
        } else if (line == lateConnection) {
            lateConnection = null;
        } else if (line == watchConnection) {
            Log.warn("discovery", "discovery failed: " + why);
            watchConnection = null;
            listener.onEndpointListFailed();
        } else {
            return;
        }
        discard(line);
    }
}
