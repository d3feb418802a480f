package clayhook.frontend;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Closes a client connection without reading any more of it. A request that crosses the close is not taken, and its
 * client finds the last bytes, an error that answers it. The connection stays half open for a moment: closing a socket
 * that holds unread bytes resets the connection, and on the way to the client the reset may overtake the last bytes.
 * Event loop only.
 */
final class UnreadClose extends ChannelInboundHandlerAdapter {
    /** From the end of the sending side; several times what a busy client takes to notice it. */
    private static final int LINGER_MS = 300;

    private final HalfClose halfClose;

    private UnreadClose(Channel channel) {
        halfClose = new HalfClose(channel);
    }

    /**
     * Stops reading, writes the last bytes behind all earlier ones, ends the sending side, and closes the connection a
     * moment later.
     *
     * @param onWritten runs once the bytes are written or have failed
     */
    static void begin(Channel channel, ByteBuf lastBytes, Runnable onWritten) {
        var close = new UnreadClose(channel);
        channel.config().setAutoRead(false);
        channel.pipeline().addFirst(close);
        close.halfClose.begin(lastBytes, LINGER_MS, onWritten);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        halfClose.onClosed();
        ctx.fireChannelInactive();
    }
}
