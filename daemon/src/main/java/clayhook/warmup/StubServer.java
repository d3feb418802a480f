package clayhook.warmup;

import clayhook.transport.Transport;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import java.net.InetSocketAddress;
import java.util.function.Supplier;

/** A small server that stands in for an outside system. */
abstract class StubServer {
    private final InetSocketAddress requestedAddress;
    private final Channel serverChannel;

    /** {@code handlers} makes the handlers of each connection. */
    StubServer(Transport transport, InetSocketAddress address, Supplier<ChannelHandler[]> handlers)
            throws InterruptedException {
        requestedAddress = address;
        serverChannel = transport.listen(address, handlers);
    }

    public final InetSocketAddress address() {
        return serverChannel.localAddress() instanceof InetSocketAddress given ? given : requestedAddress;
    }

    /** Takes no more connections. */
    public final void close() throws InterruptedException {
        serverChannel.close().sync();
    }
}
