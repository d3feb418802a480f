package clayhook.frontend;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Stands before all other handlers once nothing more is taken from a client. A close over unread bytes resets the
 * connection and takes the last answer with it, and only who reads sees the client close: what comes is read and
 * dropped.
 */
final class LingeringClose extends ChannelInboundHandlerAdapter {
    /** From the end of the sending side; many times what bytes that cross it take, also on a busy machine. */
    private static final int LINGER_MS = 1000;
    /** More than a client has on its way when it hears that nothing more is taken. */
    private static final int MAX_DISCARDED_BYTES = 1 << 20;

    private final Channel channel;
    private int discardedBytes;
    private Future<?> lingerTimeout;

    private LingeringClose(Channel channel) {
        this.channel = channel;
    }

    /** Takes nothing more; answers may still be written. */
    static LingeringClose begin(Channel channel) {
        var close = new LingeringClose(channel);
        channel.pipeline().addFirst(close);
        return close;
    }

    /** Ends the sending side once all and these bytes are written, and the rest when the client has done so too. */
    void finish(ByteBuf last, Runnable written) {
        channel.writeAndFlush(last).addListener(done -> {
            written.run();
            if (done.isSuccess() && channel instanceof DuplexChannel socket) {
                socket.shutdownOutput();
                lingerTimeout = channel.eventLoop().schedule(() -> channel.close(), LINGER_MS, TimeUnit.MILLISECONDS);
            } else {
                channel.close();
            }
        });
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        var bytes = (ByteBuf) message;
        discardedBytes += bytes.readableBytes();
        bytes.release();
        // Guards against reading for ever for a client that sends without end.
        if (discardedBytes > MAX_DISCARDED_BYTES) {
            ctx.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (lingerTimeout != null) {
            lingerTimeout.cancel(false);
        }
        ctx.fireChannelInactive();
    }
}
