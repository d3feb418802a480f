package clayhook.backend;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.nio.AbstractNioChannel;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;

/** Questions to a channel that Netty answers only later, if at all. Event loop only. */
final class ChannelInspector {
    private ChannelInspector() {}

    /** Whether bytes that were written to the channel have not all gone out to its socket yet. */
    static boolean hasUnsentBytes(Channel channel) {
        ChannelOutboundBuffer outbound = channel.unsafe().outboundBuffer();
        return outbound != null && !outbound.isEmpty();
    }

    /**
     * Whether neither an end nor a byte has come on a channel on which nothing is due, also since the loop last polled
     * its socket. Reads a byte if there is one, so that a channel that is not quiet is of no further use.
     */
    static boolean isQuiet(Channel channel) {
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
