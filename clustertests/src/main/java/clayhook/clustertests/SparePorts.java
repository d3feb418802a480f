package clayhook.clustertests;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/** Ports on loopback for processes that a test starts. Thread-safe. */
final class SparePorts {
    /** Below the ports that systems give to connections, so that a router that returns finds its own still free. */
    private static final int FIRST_PORT = 20_000;

    private static final int PORT_COUNT = 12_000;
    private static final int SPREAD = 97;
    /** Test processes that run side by side start at different ports. */
    private static final AtomicInteger NEXT =
            new AtomicInteger((int) (ProcessHandle.current().pid() * SPREAD % PORT_COUNT));

    private SparePorts() {}

    /** An address for both datagrams and connections that nobody uses now. */
    static InetSocketAddress next() {
        while (true) {
            int port = FIRST_PORT + NEXT.getAndIncrement() % PORT_COUNT;
            var address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
            try (var datagrams = new DatagramSocket(address);
                    var connections = new ServerSocket()) {
                connections.bind(datagrams.getLocalSocketAddress());
                return address;
            } catch (IOException e) {
                // taken; the next one
            }
        }
    }
}
