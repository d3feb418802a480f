package clayhook.clustertests;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Arrays;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * A relay of TCP connections to one address that can delay bytes in both directions, stop forwarding without closing
 * connections, and reset connections. It forwards the end of one direction as such, and a reset as a reset after the
 * bytes that were received before it. Thread-safe.
 */
final class TcpRelay implements AutoCloseable {
    private static final int BACKLOG = 1024;
    private static final int BUFFER_BYTES = 65536;
    /** Bound on the chunks queued in one direction of a connection; the relay stops reading when it is reached. */
    private static final int MAX_QUEUED_CHUNKS = 1024;

    private static final double NANOS_PER_SECOND = 1e9;
    /** Marker chunk for the end of a direction. */
    private static final byte[] END = {};
    /** Marker chunk for a reset. */
    private static final byte[] RESET = {0};

    private record Chunk(byte[] bytes, long dueNanos) {}

    private final InetSocketAddress target;
    private final ServerSocket serverSocket;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private volatile double delaySeconds;
    private volatile boolean cut;

    /** Starts to relay connections from an ephemeral port to an address. */
    TcpRelay(InetSocketAddress target) throws IOException {
        this.target = target;
        serverSocket = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        start("relay to " + target, this::acceptConnections);
    }

    private static void start(String name, Runnable body) {
        var thread = new Thread(body, name);
        thread.setDaemon(true);
        thread.start();
    }

    InetSocketAddress address() {
        return (InetSocketAddress) serverSocket.getLocalSocketAddress();
    }

    /** Delays bytes that are received from now on by that number of seconds, in each direction. */
    void setDelay(double seconds) {
        delaySeconds = seconds;
    }

    /** Stops or resumes forwarding; bytes that are received meanwhile are forwarded when it resumes. */
    void setCut(boolean isCut) {
        cut = isCut;
    }

    /** Resets all connections. */
    void resetAll() {
        sockets.forEach(TcpRelay::reset);
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // the socket is already closed
        }
    }

    private void acceptConnections() {
        while (!serverSocket.isClosed()) {
            try {
                Socket client = serverSocket.accept();
                connect(client);
            } catch (IOException e) {
                // the relay is closed, or this connection has ended
            }
        }
    }

    private void connect(Socket client) {
        var server = new Socket();
        try {
            server.connect(target);
            client.setTcpNoDelay(true);
            server.setTcpNoDelay(true);
        } catch (IOException e) {
            reset(client);
            return;
        }
        sockets.add(client);
        sockets.add(server);
        relay(client, server);
        relay(server, client);
    }

    private void relay(Socket from, Socket to) {
        BlockingQueue<Chunk> queue = new LinkedBlockingQueue<>(MAX_QUEUED_CHUNKS);
        start("relay from " + from.getRemoteSocketAddress(), () -> read(from, queue));
        start("relay to " + to.getRemoteSocketAddress(), () -> write(queue, from, to));
    }

    private void read(Socket from, BlockingQueue<Chunk> queue) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            InputStream in = from.getInputStream();
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                enqueue(queue, Arrays.copyOf(buffer, count));
            }
            enqueue(queue, END);
        } catch (IOException e) {
            enqueue(queue, RESET);
        }
    }

    private void enqueue(BlockingQueue<Chunk> queue, byte[] bytes) {
        try {
            queue.put(new Chunk(bytes, System.nanoTime() + (long) (delaySeconds * NANOS_PER_SECOND)));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void write(BlockingQueue<Chunk> queue, Socket from, Socket to) {
        try {
            OutputStream out = to.getOutputStream();
            while (true) {
                Chunk chunk = queue.take();
                TimeUnit.NANOSECONDS.sleep(chunk.dueNanos() - System.nanoTime());
                awaitForwarding();
                if (chunk.bytes() == RESET) {
                    reset(to);
                    break;
                } else if (chunk.bytes() == END) {
                    to.shutdownOutput();
                    break;
                }
                out.write(chunk.bytes());
            }
        } catch (IOException e) {
            // The receiver has reset the connection. Its reader forwards the reset after the bytes received before it.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        removeIfEnded(from, to);
    }

    private void awaitForwarding() throws InterruptedException {
        while (cut) {
            Thread.sleep(1);
        }
    }

    private void removeIfEnded(Socket from, Socket to) {
        boolean ended = to.isClosed() || (to.isOutputShutdown() && from.isOutputShutdown());
        if (ended) {
            sockets.remove(from);
            sockets.remove(to);
            closeQuietly(from);
            closeQuietly(to);
        }
    }

    private static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // the socket is already closed
        }
    }

    @Override
    public void close() throws IOException {
        cut = false;
        serverSocket.close();
        resetAll();
    }
}
