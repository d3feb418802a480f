package clayhook.warmup;

import clayhook.transport.Transport;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import java.net.InetSocketAddress;
import java.util.function.Supplier;

/**
 * A small server in the place of an outside system. It runs on the event loop of its transport; any thread may call it.
 */
abstract class StubServer {
    private final InetSocketAddress requestedAddress;
    private final Channel serverChannel;

    /**
     * Listens at an address; blocks until it does.
     *
     * @param handlers makes the handlers of each connection
     */
    StubServer(Transport transport, InetSocketAddress address, Supplier<ChannelHandler[]> handlers)
            throws InterruptedException {
        requestedAddress = address;
        serverChannel = transport.listen(address, handlers);
    }

    /** Where it listens: the port that was assigned where any was asked for. */
    public final InetSocketAddress address() {
        return serverChannel.localAddress() instanceof InetSocketAddress assigned ? assigned : requestedAddress;
    }

    /** Accepts no more connections; those that are open stay. */
    public final void close() throws InterruptedException {
        serverChannel.close().sync();
    }
}
