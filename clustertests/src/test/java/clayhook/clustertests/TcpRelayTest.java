package clayhook.clustertests;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

class TcpRelayTest {
    private static final double DELAY_SECONDS = 0.3;
    private static final int READ_TIMEOUT_MS = 20_000;
    private static final byte[] LAST_BYTES = {7, 8, 9};

    /**
     * A reset by the server must not overtake the server's last bytes, which the relay still delays. An earlier relay
     * reset the client at once when it failed to write the client's bytes to the server, so that an answer in transit
     * looked lost. It is the suspected cause of three lost requests in a shutdown in a soak with 30 routers (seed 2,
     * relays with a delay of 80 ms); the records of that run neither confirm nor exclude it.
     */
    @Test
    @Timeout(60)
    void resetArrivesAfterBytesThatServerSentBefore() throws Exception {
        try (var server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                var relay = new TcpRelay((InetSocketAddress) server.getLocalSocketAddress())) {
            relay.setDelay(DELAY_SECONDS);
            InetSocketAddress address = relay.address();
            try (var client = new Socket(address.getAddress(), address.getPort())) {
                client.setSoTimeout(READ_TIMEOUT_MS);
                client.getOutputStream().write(1);
                try (Socket connection = server.accept()) {
                    Thread.sleep((long) (DELAY_SECONDS / 2 * 1000));
                    connection.getOutputStream().write(LAST_BYTES);
                    Thread.sleep((long) (DELAY_SECONDS / 4 * 1000));
                    connection.setSoLinger(true, 0); // makes close() reset the connection
                }
                assertArrayEquals(LAST_BYTES, client.getInputStream().readNBytes(LAST_BYTES.length));
                assertThrows(IOException.class, () -> client.getInputStream().read());
            }
        }
    }
}
