package clayhook.frontend;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.socket.DuplexChannel;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Shuts down the output of a connection, and closes the connection after a time limit. All methods must be called on
 * the event loop.
 */
@SuppressWarnings("FutureReturnValueIgnored") // a failed write, shutdown or close ends in channelInactive
final class HalfClose {
    private final Channel channel;
    private Future<?> timeLimit;

    HalfClose(Channel channel) {
        this.channel = channel;
    }

    /**
     * Writes the last bytes after all earlier ones, shuts down the output, and closes the connection after the time
     * limit. Closes the connection immediately if the write fails.
     *
     * @param onWritten called once the write has completed or failed
     */
    void begin(ByteBuf lastBytes, int timeLimitMs, Runnable onWritten) {
        channel.writeAndFlush(lastBytes).addListener(done -> {
            onWritten.run();
            if (done.isSuccess() && channel instanceof DuplexChannel socket) {
                socket.shutdownOutput();
                timeLimit = channel.eventLoop().schedule(() -> channel.close(), timeLimitMs, TimeUnit.MILLISECONDS);
            } else {
                channel.close();
            }
        });
    }

    /** Cancels the time limit, because the connection is closed. */
    void onClosed() {
        if (timeLimit != null) {
            timeLimit.cancel(false);
        }
    }
}
