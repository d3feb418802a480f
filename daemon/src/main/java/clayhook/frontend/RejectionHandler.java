package clayhook.frontend;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Rejects a client for which no file descriptor is available: sends an error and closes the connection without reading
 * its input. All methods must be called on the event loop.
 */
final class RejectionHandler extends ChannelInboundHandlerAdapter {
    /**
     * Limits the number of rejected connections of one listener that stay half open so that the error reaches the
     * client. All methods must be called on the event loop.
     */
    static final class LingeringLimit {
        /**
         * The descriptors of these connections are part of the reserve of {@link clayhook.transport.DescriptorBudget}.
         */
        private static final int MAX_LINGERING = 16;

        private int count;

        private boolean tryAcquire() {
            if (count >= MAX_LINGERING) {
                return false;
            }
            count++;
            return true;
        }

        private void release() {
            count--;
        }
    }

    private final LingeringLimit lingeringLimit;
    /** Whether this connection is counted as a lingering one. */
    private boolean holdsLingeringSlot;

    RejectionHandler(LingeringLimit lingeringLimit) {
        this.lingeringLimit = lingeringLimit;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        ctx.channel().config().setAutoRead(false);
    }

    /**
     * Sends the error and closes the connection after a short delay. If too many rejected connections linger, closes it
     * right after the write instead, in which case the client may not receive the error.
     */
    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        ByteBuf error = ClientResponses.noDescriptorLeft();
        holdsLingeringSlot = lingeringLimit.tryAcquire();
        if (holdsLingeringSlot) {
            CloseWithoutReading.begin(ctx.channel(), error, () -> {});
        } else {
            ctx.writeAndFlush(error).addListener(ChannelFutureListener.CLOSE);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (holdsLingeringSlot) {
            lingeringLimit.release();
        }
    }

    @Override
    @SuppressWarnings("FutureReturnValueIgnored") // the close ends in channelInactive
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}
