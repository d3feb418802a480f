package clayhook.frontend;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.socket.DuplexChannel;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/** The end of the sending side of a connection, and its close after a time limit. Event loop only. */
@SuppressWarnings("FutureReturnValueIgnored") // a failed write, end of output or close ends in channelInactive
final class HalfClose {
    private final Channel channel;
    private Future<?> timeLimit;

    HalfClose(Channel channel) {
        this.channel = channel;
    }

    /**
     * Writes the last bytes behind all earlier ones, ends the sending side, and closes the connection after the time
     * limit; at once where the bytes cannot be written.
     *
     * @param onWritten runs once the bytes are written or have failed
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

    /** The connection is closed. */
    void onClosed() {
        if (timeLimit != null) {
            timeLimit.cancel(false);
        }
    }
}
