package clayhook.frontend;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Closes a client connection without losing the last response. Closing a socket that holds unread bytes resets the
 * connection, and the reset may discard bytes that the client has not read. This handler is therefore the first one of
 * the pipeline, reads and discards all input, shuts down the output, and waits until the client closes its side. All
 * methods must be called on the event loop.
 */
@SuppressWarnings("FutureReturnValueIgnored") // a failed write, shutdown or close ends in channelInactive
final class LingeringClose extends ChannelInboundHandlerAdapter {
    /** The time limit after the shutdown of the output; many times a network round trip, even on a busy machine. */
    private static final int LINGER_MS = 1000;
    /** More than a client has in transit when it detects the close; a connection that receives more is reset. */
    private static final int MAX_DISCARDED_BYTES = 1 << 20;

    private final HalfClose halfClose;
    private int discardedBytes;

    private LingeringClose(Channel channel) {
        halfClose = new HalfClose(channel);
    }

    /** Discards all further input of the channel; responses may still be written. */
    static LingeringClose begin(Channel channel) {
        var close = new LingeringClose(channel);
        channel.pipeline().addFirst(close);
        channel.config().setAutoRead(true);
        return close;
    }

    /**
     * Writes the last bytes after all earlier ones, shuts down the output, and closes the connection when the client
     * closes its side or after the time limit.
     *
     * @param onWritten called once the write has completed or failed
     */
    void finish(ByteBuf lastBytes, Runnable onWritten) {
        halfClose.begin(lastBytes, LINGER_MS, onWritten);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        var bytes = (ByteBuf) message;
        discardedBytes += bytes.readableBytes();
        bytes.release();
        // Bounds the bytes read from a client that keeps sending.
        if (discardedBytes > MAX_DISCARDED_BYTES) {
            ctx.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        halfClose.onClosed();
        ctx.fireChannelInactive();
    }

    /** The number of bytes that have been read and discarded. */
    int discardedBytes() {
        return discardedBytes;
    }
}
