package clayhook.clustertests;

import clayhook.protocol.MessageEncoder;
import io.netty.buffer.ByteBuf;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/** Clients that connect and send only a start-up message, and so occupy file descriptors of a router. */
final class IdleClients implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MS = 1000;

    private final List<Socket> sockets = new ArrayList<>();

    /** Connects that number of clients, or fewer if the router accepts no more. */
    IdleClients(InetSocketAddress router, int count) {
        for (int i = 0; i < count; i++) {
            var socket = new Socket();
            sockets.add(socket);
            try {
                socket.connect(router, CONNECT_TIMEOUT_MS);
                ByteBuf startup = MessageEncoder.startupMessage("client", "core");
                startup.readBytes(socket.getOutputStream(), startup.readableBytes());
            } catch (IOException e) {
                // the router is down or rejects the client
            }
        }
    }

    @Override
    public void close() throws IOException {
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
