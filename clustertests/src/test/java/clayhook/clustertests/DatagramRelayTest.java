package clayhook.clustertests;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;

import clayhook.transport.Transport;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

class DatagramRelayTest {
    private static DatagramSocket socket() throws IOException {
        var socket = new DatagramSocket(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        socket.setSoTimeout(20_000);
        return socket;
    }

    private static InetSocketAddress addressOf(DatagramSocket socket) {
        return (InetSocketAddress) socket.getLocalSocketAddress();
    }

    private static void send(DatagramSocket from, int content, InetSocketAddress to) throws IOException {
        from.send(new DatagramPacket(new byte[] {(byte) content}, 1, to));
    }

    /** Receives a datagram with the expected content and returns its source address. */
    private static InetSocketAddress receive(DatagramSocket socket, int content) throws IOException {
        var packet = new DatagramPacket(new byte[8], 8);
        socket.receive(packet);
        assertEquals(content, packet.getData()[0]);
        return (InetSocketAddress) packet.getSocketAddress();
    }

    @Test
    void repliesPassThroughRelayAndEachDirectionHasItsOwnFault() throws Exception {
        Transport transport = Transport.tcp();
        try (DatagramSocket a = socket();
                DatagramSocket b = socket();
                DatagramSocket stranger = socket()) {
            var relay = new DatagramRelay(transport, List.of(addressOf(a), addressOf(b)), 1);
            send(a, 1, relay.address(1));
            InetSocketAddress sender = receive(b, 1);
            assertEquals(relay.address(0), sender);
            send(b, 2, sender);
            assertEquals(relay.address(1), receive(a, 2));

            relay.link(0, 1).setFault(LinkFault.CUT);
            send(a, 3, relay.address(1));
            send(stranger, 4, relay.address(1));
            send(b, 5, relay.address(0));
            receive(a, 5);
            assertTimeoutPreemptively(Duration.ofSeconds(20), () -> {
                while (relay.link(0, 1).count(NetworkLink.Delivery.LOST) + relay.unknownSenders() < 2) {
                    Thread.sleep(1);
                }
            });
            relay.link(0, 1).setFault(LinkFault.NONE);
            send(a, 6, relay.address(1));
            receive(b, 6); // the datagrams of the cut link and of the unknown sender do not arrive
            assertEquals(1, relay.link(0, 1).count(NetworkLink.Delivery.LOST));
            assertEquals(0, relay.link(1, 0).count(NetworkLink.Delivery.LOST));
            assertEquals(1, relay.unknownSenders());
        } finally {
            transport.close();
        }
    }
}
