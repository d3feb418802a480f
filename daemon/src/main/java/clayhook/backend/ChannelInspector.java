package clayhook.backend;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.nio.AbstractNioChannel;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;

/** Reads the state of a channel that Netty's own API reports only later or not at all. Event loop only. */
final class ChannelInspector {
    private ChannelInspector() {}

    /** Whether some of the bytes written to the channel have not been written to its socket yet. */
    static boolean hasUnsentBytes(Channel channel) {
        ChannelOutboundBuffer outbound = channel.unsafe().outboundBuffer();
        return outbound != null && !outbound.isEmpty();
    }

    /**
     * Whether the channel is open and its socket has no unread input and no end of stream. Polls the socket itself, so
     * that it also detects what arrived since the event loop last polled. May consume a byte; the channel must be
     * closed if the result is false.
     */
    static boolean isOpenWithoutInput(Channel channel) {
        if (!channel.isActive()) {
            return false;
        }
        try {
            return !(channel.unsafe() instanceof AbstractNioChannel.NioUnsafe unsafe
                    && unsafe.ch() instanceof SocketChannel socket
                    && socket.read(ByteBuffer.allocate(1)) != 0);
        } catch (IOException e) {
            return false;
        }
    }
}
