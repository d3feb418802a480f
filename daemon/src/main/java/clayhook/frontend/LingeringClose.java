package clayhook.frontend;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Closes a client connection without losing the last response. Closing a socket that holds unread bytes resets the
 * connection, and the reset may discard bytes that the client has not read. So this handler stands first in the
 * pipeline, reads and drops all input, ends the sending side, and waits for the client's close. Event loop only.
 */
@SuppressWarnings("FutureReturnValueIgnored") // a failed write, end of output or close ends in channelInactive
final class LingeringClose extends ChannelInboundHandlerAdapter {
    /** From the end of the sending side; many times the round trip of bytes that cross it, also on a busy machine. */
    private static final int LINGER_MS = 1000;
    /** More than a client has in transit when it learns of the close; one that sends more is reset. */
    private static final int MAX_DISCARDED_BYTES = 1 << 20;

    private final HalfClose halfClose;
    private int discardedBytes;

    private LingeringClose(Channel channel) {
        halfClose = new HalfClose(channel);
    }

    /** Discards all input from now on; responses may still be written. */
    static LingeringClose begin(Channel channel) {
        var close = new LingeringClose(channel);
        channel.pipeline().addFirst(close);
        return close;
    }

    /**
     * Ends the sending side once everything before and these bytes are written, and closes the connection when the
     * client has done so too, or after the time limit.
     *
     * @param onWritten runs once the bytes are written or have failed
     */
    void finish(ByteBuf lastBytes, Runnable onWritten) {
        halfClose.begin(lastBytes, LINGER_MS, onWritten);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        var bytes = (ByteBuf) message;
        discardedBytes += bytes.readableBytes();
        bytes.release();
        // A client that sends without end would otherwise be read for ever.
        if (discardedBytes > MAX_DISCARDED_BYTES) {
            ctx.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        halfClose.onClosed();
        ctx.fireChannelInactive();
    }

    /** How many bytes were read and dropped. */
    int discardedBytes() {
        return discardedBytes;
    }
}
