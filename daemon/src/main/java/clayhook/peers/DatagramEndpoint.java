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

/** A non-blocking UDP socket with a selector that waits for datagrams. For one thread, except {@link #wakeUp}. */
final class DatagramEndpoint implements AutoCloseable {
    /**
     * The size of the kernel's send and receive buffers. While the thread is busy, the kernel drops datagrams that
     * exceed the receive buffer.
     */
    private static final int SOCKET_BUFFER_BYTES = 1 << 20;
    /** Datagrams received per call of {@link #receive}, so that a flood does not starve the thread's other work. */
    static final int MAX_DATAGRAMS_PER_RECEIVE = 64;
    /** The longest wait; bounds the delay if a wake-up is missed. */
    private static final double MAX_WAIT_SECONDS = 1;

    private final DatagramChannel channel;
    private final Selector selector;
    private final SelectionKey selectionKey;
    /** One byte larger than the largest packet, so that oversized datagrams are detected. */
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

    /**
     * Opens a socket and binds it to an address.
     *
     * @throws IOException if that fails; the message names the address
     */
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

    /** The local port. */
    int port() throws IOException {
        return ((InetSocketAddress) channel.getLocalAddress()).getPort();
    }

    /** Passes received datagrams and their senders to {@code consumer}; returns whether there may be more. */
    boolean receive(BiConsumer<Address, byte[]> consumer) throws IOException {
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
            consumer.accept(new Address(from.getAddress().getHostAddress(), from.getPort()), bytes);
        }
        return true;
    }

    /** Sends a datagram. If that fails, the datagram is dropped and counted, since the network may lose it anyway. */
    void send(Address to, byte[] bytes) {
        InetSocketAddress address = EndpointList.parseAddress(to.toString());
        try {
            sendBuffer.clear().put(bytes).flip();
            if (address == null || channel.send(sendBuffer, address) == 0) {
                unsentPackets++;
            }
        } catch (IOException | RuntimeException e) {
            unsentPackets++; // the address is unreachable or invalid: a peer may advertise any address
        }
    }

    /**
     * Waits until a datagram arrives, {@link #wakeUp} is called or the given time has passed.
     *
     * @param ignoreDatagrams whether arriving datagrams stay in the kernel's buffer and do not end the wait
     */
    void await(double seconds, boolean ignoreDatagrams) throws IOException {
        selectionKey.interestOps(ignoreDatagrams ? 0 : SelectionKey.OP_READ);
        long milliseconds = (long) Math.ceil(Math.min(seconds, MAX_WAIT_SECONDS) * 1000);
        if (milliseconds > 0) {
            selector.select(milliseconds);
        } else {
            selector.selectNow();
        }
        selector.selectedKeys().clear();
    }

    /** Ends the current wait, or the next one if the thread is not waiting. For any thread. */
    void wakeUp() {
        selector.wakeup();
    }

    /** The number of received datagrams that exceeded the maximum packet size. */
    long oversizedDatagrams() {
        return oversizedDatagrams;
    }

    /** The number of packets that could not be sent. */
    long unsentPackets() {
        return unsentPackets;
    }

    @Override
    public void close() throws IOException {
        selector.close();
        channel.close();
    }
}
