package clayhook.warmup;

import clayhook.transport.Transport;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import java.net.InetSocketAddress;
import java.util.function.Supplier;

/** A server that replaces an external system. Thread-safe; its channels run on the event loop of its transport. */
abstract class StubServer {
    private final InetSocketAddress requestedAddress;
    private final Channel serverChannel;

    /**
     * Starts to listen at an address; blocks until the server listens.
     *
     * @param handlers creates the channel handlers of each connection
     */
    StubServer(Transport transport, InetSocketAddress address, Supplier<ChannelHandler[]> handlers)
            throws InterruptedException {
        requestedAddress = address;
        serverChannel = transport.listen(address, handlers);
    }

    /** The address at which the server listens, with the assigned port if port 0 was requested. */
    public final InetSocketAddress address() {
        return serverChannel.localAddress() instanceof InetSocketAddress assigned ? assigned : requestedAddress;
    }

    /** Stops accepting connections; open connections stay open. */
    public final void close() throws InterruptedException {
        serverChannel.close().sync();
    }
}
