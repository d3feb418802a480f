package clayhook.frontend;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Closes a client connection without reading further input. A request that is in transit during the close is not
 * handled, and its client receives the last bytes, an error that answers it. The connection stays half open for a short
 * time, because closing a socket that holds unread bytes resets the connection, and the reset may reach the client
 * before the last bytes do. All methods must be called on the event loop.
 */
final class CloseWithoutReading extends ChannelInboundHandlerAdapter {
    /** The delay after the shutdown of the output; several times as long as a busy client needs to detect it. */
    private static final int LINGER_MS = 300;

    private final HalfClose halfClose;

    private CloseWithoutReading(Channel channel) {
        halfClose = new HalfClose(channel);
    }

    /**
     * Stops reading, writes the last bytes after all earlier ones, shuts down the output, and closes the connection
     * after a short delay.
     *
     * @param onWritten called once the write has completed or failed
     */
    static void begin(Channel channel, ByteBuf lastBytes, Runnable onWritten) {
        var close = new CloseWithoutReading(channel);
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
