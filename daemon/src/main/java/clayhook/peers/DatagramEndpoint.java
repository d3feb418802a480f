package clayhook.peers;

import clayhook.discovery.EndpointList;
import clayhook.fleet.Address;
import clayhook.fleet.Packet;
import java.io.IOException;
import java.net.Inet4Address;
import java.net.InetSocketAddress;
import java.net.StandardProtocolFamily;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.function.BiConsumer;

/** The socket that packets come and go by, and the wait for them. For one thread; {@link #wakeUp} is for all. */
final class DatagramEndpoint implements AutoCloseable {
    /** Bytes asked of the machine for what comes while the thread is at other work; what finds no room is lost. */
    private static final int SOCKET_BUFFER_BYTES = 1 << 20;
    /** Packets taken in one go. Guards against a flood that leaves no time for anything else. */
    static final int MAX_DATAGRAMS_PER_RECEIVE = 64;
    /** Seconds; nothing here is so seldom that it could not be looked at as often. */
    private static final double MAX_WAIT_SECONDS = 1;

    private final DatagramChannel channel;
    private final Selector selector;
    private final SelectionKey selectionKey;
    /** A byte more than a packet may have, so that longer ones show. */
    private final ByteBuffer receiveBuffer = ByteBuffer.allocateDirect(Packet.MAX_BYTES + 1);

    private final ByteBuffer sendBuffer = ByteBuffer.allocateDirect(Packet.MAX_BYTES);
    private long oversizedDatagrams;
    private long unsentPackets;

    private DatagramEndpoint(DatagramChannel channel, Selector selector) throws IOException {
        this.channel = channel;
        this.selector = selector;
        channel.configureBlocking(false);
        selectionKey = channel.register(selector, SelectionKey.OP_READ);
    }

    /** Throws IOException naming the address where nothing can be received there. */
    static DatagramEndpoint bind(InetSocketAddress address) throws IOException {
        var channel = DatagramChannel.open(
                address.getAddress() instanceof Inet4Address
                        ? StandardProtocolFamily.INET
                        : StandardProtocolFamily.INET6);
        try {
            channel.setOption(StandardSocketOptions.SO_RCVBUF, SOCKET_BUFFER_BYTES);
            channel.setOption(StandardSocketOptions.SO_SNDBUF, SOCKET_BUFFER_BYTES);
            channel.bind(address);
            return new DatagramEndpoint(channel, Selector.open());
        } catch (IOException e) {
            channel.close();
            throw new IOException(
                    "sharing.listen: " + address.getAddress().getHostAddress() + ":" + address.getPort() + ": "
                            + e.getMessage(),
                    e);
        }
    }

    int port() throws IOException {
        return ((InetSocketAddress) channel.getLocalAddress()).getPort();
    }

    /** Hands on what has come in; returns whether there may be more. */
    boolean receive(BiConsumer<Address, byte[]> to) throws IOException {
        for (int i = 0; i < MAX_DATAGRAMS_PER_RECEIVE; i++) {
            receiveBuffer.clear();
            var from = (InetSocketAddress) channel.receive(receiveBuffer);
            if (from == null) {
                return false;
            }
            receiveBuffer.flip();
            if (receiveBuffer.remaining() > Packet.MAX_BYTES) {
                oversizedDatagrams++;
                continue;
            }
            var bytes = new byte[receiveBuffer.remaining()];
            receiveBuffer.get(bytes);
            to.accept(new Address(from.getAddress().getHostAddress(), from.getPort()), bytes);
        }
        return true;
    }

    /** What cannot go is lost, as anything may be on the way. */
    void send(Address to, byte[] bytes) {
        InetSocketAddress address = EndpointList.parseAddress(to.toString());
        try {
            sendBuffer.clear().put(bytes).flip();
            if (address == null || channel.send(sendBuffer, address) == 0) {
                unsentPackets++;
            }
        } catch (IOException | RuntimeException e) {
            unsentPackets++; // nowhere to go, or no address that can be sent to: a peer may tell any
        }
    }

    /**
     * Waits until something comes, {@link #wakeUp} is called or the time is over; deaf, it leaves what comes where it
     * is.
     */
    void await(double seconds, boolean deaf) throws IOException {
        selectionKey.interestOps(deaf ? 0 : SelectionKey.OP_READ);
        long milliseconds = (long) Math.ceil(Math.min(seconds, MAX_WAIT_SECONDS) * 1000);
        if (milliseconds > 0) {
            selector.select(milliseconds);
        } else {
            selector.selectNow();
        }
        selector.selectedKeys().clear();
    }

    /** Ends the wait, or the next one. */
    void wakeUp() {
        selector.wakeup();
    }

    /** Datagrams longer than any packet. */
    long oversizedDatagrams() {
        return oversizedDatagrams;
    }

    /** Packets that the machine did not take. */
    long unsentPackets() {
        return unsentPackets;
    }

    @Override
    public void close() throws IOException {
        selector.close();
        channel.close();
    }
}
