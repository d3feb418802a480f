package clayhook.discovery;

import clayhook.transport.Transport;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ConnectTimeoutException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/** A connection to the discovery service, with at most one poll pending at a time. Confined to the event loop. */
@SuppressWarnings("FutureReturnValueIgnored") // a failed write or close leads to channelInactive
final class PollConnection extends ChannelInboundHandlerAdapter {
    /**
     * Time after the end of its wait at which an unanswered long poll is late, in milliseconds; most answers arrive
     * within a few milliseconds.
     */
    private static final int LATE_ANSWER_MS = 500;

    /**
     * Time after the end of its wait at which an unanswered poll fails, in milliseconds. Longer than the two seconds
     * for which the service may queue a call, because a client that gives up earlier has to queue again at the end;
     * shorter than the time after which a change counts as notified.
     */
    private static final int ANSWER_TIMEOUT_MS = 2200;

    /**
     * Time limit of a connection attempt. If no connection is established by then, the service is unreachable or a new
     * attempt succeeds sooner.
     */
    private static final double CONNECT_TIMEOUT_SECONDS = 1;

    /** The version that requests the complete list instead of changes. */
    static final long NO_VERSION = -1;

    /** The wait with which the service answers at once, even if nothing has changed. */
    static final int NO_WAIT = 0;

    private static final double NANOS_PER_SECOND = 1e9;

    /** Receives the events of a connection and its polls. Called on the event loop. */
    interface Listener {
        /** Called when the connection is established and can be polled on. */
        void onConnected(PollConnection connection);

        /** Called when the answer to a long poll is late; it may still arrive. */
        void onLate(PollConnection connection);

        /** Called when the pending poll was answered. */
        void onResponse(PollConnection connection, HttpResponse response);

        /** Called when the connection could not be established, was closed, or did not answer in time. */
        void onFailure(PollConnection connection, String reason);

        /** Called when the service refused the connection; {@link #onFailure} follows. */
        void onRefused(PollConnection connection);
    }

    private final InetSocketAddress address;
    private final String host;
    private final Listener listener;
    private Channel channel;
    /**
     * Identifies the pending poll; null if none is pending. Each poll has its own object. A connection that is being
     * established counts as polling.
     */
    private Object pendingPoll = new Object();

    private long polledAtNanos;
    private long connectStartedAtNanos;
    private boolean longPoll;

    PollConnection(InetSocketAddress address, Listener listener) {
        this.address = address;
        host = address.getHostString() + ":" + address.getPort();
        this.listener = listener;
    }

    void connect(Transport transport) {
        connectStartedAtNanos = System.nanoTime();
        channel = transport.connectOrReport(
                address,
                CONNECT_TIMEOUT_SECONDS,
                () -> new ChannelHandler[] {new HttpResponseDecoder(), this},
                this::onConnectFailed);
    }

    private void onConnectFailed(Throwable cause) {
        if (cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException)) {
            listener.onRefused(this);
        }
        listener.onFailure(this, "no connection");
    }

    /**
     * Requests the endpoint list.
     *
     * @param version the version after which changes are requested, or {@link #NO_VERSION} for the complete list
     * @param waitMs how long the service may wait for a change, in milliseconds, or {@link #NO_WAIT}
     */
    void poll(long version, int waitMs) {
        Object poll = new Object();
        pendingPoll = poll;
        polledAtNanos = System.nanoTime();
        longPoll = waitMs > NO_WAIT;
        String query = version == NO_VERSION ? "" : "?after=" + version + "&wait_ms=" + waitMs;
        String request = "GET /v1/endpoints" + query + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n";
        channel.writeAndFlush(Unpooled.copiedBuffer(request, StandardCharsets.US_ASCII));
        if (waitMs > NO_WAIT) {
            scheduleIfPending(poll, waitMs + LATE_ANSWER_MS, () -> listener.onLate(this));
        }
        scheduleIfPending(poll, waitMs + ANSWER_TIMEOUT_MS, () -> listener.onFailure(this, "no answer"));
    }

    /** Schedules a task that runs only if the poll is still pending after the delay. */
    private void scheduleIfPending(Object poll, int delayMs, Runnable task) {
        channel.eventLoop()
                .schedule(
                        () -> {
                            if (pendingPoll == poll) {
                                task.run();
                            }
                        },
                        delayMs,
                        TimeUnit.MILLISECONDS);
    }

    /** Whether a poll is pending or the connection is being established. */
    boolean isPolling() {
        return pendingPoll != null;
    }

    /** Whether a poll was sent on this connection. */
    boolean hasPolled() {
        return polledAtNanos != 0;
    }

    /** Whether the last poll allows the service to wait for changes. */
    boolean isLongPoll() {
        return longPoll;
    }

    /** Seconds since the last poll was sent. */
    double secondsSincePoll() {
        return (System.nanoTime() - polledAtNanos) / NANOS_PER_SECOND;
    }

    /** Seconds since {@link #connect} was called. */
    double secondsSinceConnect() {
        return (System.nanoTime() - connectStartedAtNanos) / NANOS_PER_SECOND;
    }

    /** Clears the pending poll; an answer to it is ignored. */
    void endPoll() {
        pendingPoll = null;
    }

    /** Closes the connection; no further event of its poll is reported. */
    void discard() {
        pendingPoll = null;
        if (channel != null) { // null if no file descriptor was available
            channel.close();
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        listener.onConnected(this);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (pendingPoll != null && message instanceof HttpResponse response) {
            listener.onResponse(this, response);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        listener.onFailure(this, "the connection was closed");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}
