package clayhook.clustertests;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/** Allocates unused loopback ports for processes that a test starts. Thread-safe. */
final class SparePorts {
    /** Below the range of ephemeral ports, so that the port of a router is still free when the router is restarted. */
    private static final int FIRST_PORT = 20_000;

    private static final int PORT_COUNT = 12_000;
    private static final int SPREAD = 97;
    /** Offset of the next port; test processes that run at the same time begin at different offsets. */
    private static final AtomicInteger NEXT_OFFSET =
            new AtomicInteger((int) (ProcessHandle.current().pid() * SPREAD % PORT_COUNT));

    private SparePorts() {}

    /** Returns an address that is currently unused both for datagrams and for connections. */
    static InetSocketAddress next() {
        while (true) {
            int port = FIRST_PORT + NEXT_OFFSET.getAndIncrement() % PORT_COUNT;
            var address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
            try (var datagrams = new DatagramSocket(address);
                    var connections = new ServerSocket()) {
                connections.bind(datagrams.getLocalSocketAddress());
                return address;
            } catch (IOException e) {
                // the port is in use; try the next one
            }
        }
    }
}
