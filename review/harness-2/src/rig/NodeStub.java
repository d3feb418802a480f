package rig;

import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A node: a thread for each connection. What a statement does and what is answered is up to its {@link Service}. */
public final class NodeStub implements AutoCloseable {
    /** Decides on the answers of a node. Called on the threads of its connections. */
    public interface Service {
        /** The answer to a query that is no empty query, without ReadyForQuery; null to break the connection. */
        byte[] answer(NodeStub node, String query) throws InterruptedException;
    }

    public final String uid;
    public final InetSocketAddress address;
    private final ServerSocket server;
    private final Service service;
    /** How long the node works on a new connection before it welcomes it, in milliseconds. */
    public volatile long handshakeMillis;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

    public NodeStub(String uid, int port, Service service) throws IOException {
        this.uid = uid;
        this.service = service;
        server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port));
        address = new InetSocketAddress("127.0.0.1", server.getLocalPort());
        Threads.start("node " + uid, this::accept);
    }

    private void accept() throws IOException {
        while (!server.isClosed()) {
            Socket socket = server.accept();
            socket.setTcpNoDelay(true);
            connections.add(socket);
            Threads.start("connection to " + uid, () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        try (socket) {
            var in = new DataInputStream(new java.io.BufferedInputStream(socket.getInputStream()));
            OutputStream out = socket.getOutputStream();
            if (Wire.readStartup(in) == null) {
                return;
            }
            Thread.sleep(handshakeMillis);
            out.write(new Wire().authenticationOk()
                    .parameter("client_encoding", "UTF8")
                    .parameter("standard_conforming_strings", "on")
                    .backendKey()
                    .ready()
                    .bytes());
            for (Wire.Message message = Wire.read(in); message != null; message = Wire.read(in)) {
                if (message.type() != 'Q') {
                    return;
                }
                String text = message.text();
                if (text.isBlank()) {
                    out.write(new Wire().emptyQueryResponse().ready().bytes());
                    continue;
                }
                byte[] answer = service.answer(this, text);
                if (answer == null) {
                    socket.setSoLinger(true, 0);
                    return;
                }
                out.write(answer);
                out.write(new Wire().ready().bytes());
            }
        } finally {
            connections.remove(socket);
        }
    }

    /** Ends the node as the end of its process does: connections are reset and new ones are refused. */
    @Override
    public void close() throws IOException {
        server.close();
        for (Socket socket : connections) {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException e) {
                // closed already
            }
        }
    }
}
