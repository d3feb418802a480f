package clayhook.rehearsal;

import clayhook.transport.Transport;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import java.net.InetSocketAddress;
import java.util.function.Supplier;

/** A small server that stands in for an outside system. */
abstract class StandIn {
    private final InetSocketAddress asked;
    private final Channel listening;

    /** {@code handlers} makes the handlers of each connection. */
    StandIn(Transport transport, InetSocketAddress address, Supplier<ChannelHandler[]> handlers)
            throws InterruptedException {
        asked = address;
        listening = transport.listen(address, handlers);
    }

    public final InetSocketAddress address() {
        return listening.localAddress() instanceof InetSocketAddress given ? given : asked;
    }

    /** Takes no more connections. */
    public final void close() throws InterruptedException {
        listening.close().sync();
    }
}
