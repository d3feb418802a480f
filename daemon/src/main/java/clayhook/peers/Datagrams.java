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

/** The socket that packets come and go by, and the wait for them. For one thread; {@link #wake} is for all. */
final class Datagrams implements AutoCloseable {
    /** Bytes asked of the machine for what comes while the thread is at other work; what finds no room is lost. */
    private static final int ROOM = 1 << 20;
    /** Packets taken in one go. Guards against a flood that leaves no time for anything else. */
    static final int BURST = 64;
    /** Seconds; nothing here is so seldom that it could not be looked at as often. */
    private static final double LONGEST_WAIT = 1;

    private final DatagramChannel channel;
    private final Selector selector;
    private final SelectionKey key;
    /** A byte more than a packet may have, so that longer ones show. */
    private final ByteBuffer in = ByteBuffer.allocateDirect(Packet.LONGEST + 1);

    private final ByteBuffer out = ByteBuffer.allocateDirect(Packet.LONGEST);
    private long oversize;
    private long unsent;

    private Datagrams(DatagramChannel channel, Selector selector) throws IOException {
        this.channel = channel;
        this.selector = selector;
        channel.configureBlocking(false);
        key = channel.register(selector, SelectionKey.OP_READ);
    }

    /** Throws IOException naming the address where nothing can be received there. */
    static Datagrams at(InetSocketAddress address) throws IOException {
        var channel = DatagramChannel.open(
                address.getAddress() instanceof Inet4Address
                        ? StandardProtocolFamily.INET
                        : StandardProtocolFamily.INET6);
        try {
            channel.setOption(StandardSocketOptions.SO_RCVBUF, ROOM);
            channel.setOption(StandardSocketOptions.SO_SNDBUF, ROOM);
            channel.bind(address);
            return new Datagrams(channel, Selector.open());
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
        for (int i = 0; i < BURST; i++) {
            in.clear();
            var from = (InetSocketAddress) channel.receive(in);
            if (from == null) {
                return false;
            }
            in.flip();
            if (in.remaining() > Packet.LONGEST) {
                oversize++;
                continue;
            }
            var bytes = new byte[in.remaining()];
            in.get(bytes);
            to.accept(new Address(from.getAddress().getHostAddress(), from.getPort()), bytes);
        }
        return true;
    }

    /** What cannot go is lost, as anything may be on the way. */
    void send(Address to, byte[] bytes) {
        InetSocketAddress address = EndpointList.parseAddress(to.toString());
        try {
            out.clear().put(bytes).flip();
            if (address == null || channel.send(out, address) == 0) {
                unsent++;
            }
        } catch (IOException | RuntimeException e) {
            unsent++; // nowhere to go, or no address that can be sent to: a peer may tell any
        }
    }

    /**
     * Waits until something comes, {@link #wake} is called or the time is over; deaf, it leaves what comes where it is.
     */
    void await(double seconds, boolean deaf) throws IOException {
        key.interestOps(deaf ? 0 : SelectionKey.OP_READ);
        long milliseconds = (long) Math.ceil(Math.min(seconds, LONGEST_WAIT) * 1000);
        if (milliseconds > 0) {
            selector.select(milliseconds);
        } else {
            selector.selectNow();
        }
        selector.selectedKeys().clear();
    }

    /** Ends the wait, or the next one. */
    void wake() {
        selector.wakeup();
    }

    /** Datagrams longer than any packet. */
    long oversize() {
        return oversize;
    }

    /** Packets that the machine did not take. */
    long unsent() {
        return unsent;
    }

    @Override
    public void close() throws IOException {
        selector.close();
        channel.close();
    }
}
