package clayhook.clustertests;

import clayhook.protocol.MessageEncoder;
import clayhook.warmup.StubClient;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Clients that send small messages of one kind to a router as fast as the connection takes them, until they are closed.
 * A client whose connection the router ends connects again. Thread-safe.
 */
final class ClientFlood implements AutoCloseable {
    /** The messages that the clients send. */
    enum Kind {
        EMPTY_STATEMENTS,
        /** Empty statements whose answers are not read. */
        EMPTY_STATEMENTS_UNREAD,
        /** Requests for encryption in place of a start-up message. */
        ENCRYPTION_REQUESTS,
        STATEMENTS_WITHOUT_ID_AND_TIMEOUT,
        /** Statements of request classes that do not exist, each with a new name, key and id. */
        STATEMENTS_OF_NEW_CLASSES,
        /** Statements for replica sets that do not exist, each with a new number, key and id. */
        STATEMENTS_FOR_NEW_REPLICA_SETS,
        /** Statements with a comment of many short fields. */
        STATEMENTS_OF_MANY_FIELDS,
        /** Messages of the extended query protocol, which are skipped as no Sync follows. */
        EXTENDED_QUERIES,
        /** Messages that end a sequence of the extended query protocol. */
        SYNCS,
        /** Messages that have no answer. */
        FLUSHES,
        /** Sound reads, each with a new key and id. */
        READS;

        private boolean beginsSession() {
            return this != ENCRYPTION_REQUESTS;
        }

        private boolean readsAnswers() {
            return this != EMPTY_STATEMENTS_UNREAD;
        }
    }

    private static final int ENCRYPTION_REQUEST_LENGTH = 8;
    private static final int ENCRYPTION_REQUEST_CODE = 80877103;
    /** The number of bytes that a client passes to its socket at a time. */
    private static final int CHUNK_BYTES = 32 * 1024;

    private static final int READ_BUFFER_BYTES = 64 * 1024;
    private static final int FIELD_COUNT = 2000;
    private static final long RECONNECT_PAUSE_MS = 10;
    private static final AtomicLong NUMBERS = new AtomicLong();
    private static final String MANY_FIELDS = manyFields();

    private final InetSocketAddress router;
    private final Kind kind;
    private final List<Thread> threads = new ArrayList<>();
    private final List<Socket> sockets = new ArrayList<>();
    private final AtomicLong sentBytes = new AtomicLong();
    private boolean closed;

    /** Starts that number of clients, each on its own connection. */
    ClientFlood(InetSocketAddress router, Kind kind, int clients) {
        this.router = router;
        this.kind = kind;
        for (int i = 0; i < clients; i++) {
            threads.add(startDaemon(this::run));
        }
    }

    private static Thread startDaemon(Runnable task) {
        var thread = new Thread(task, "flood");
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private static String manyFields() {
        var fields = new StringBuilder();
        for (int i = 0; i < FIELD_COUNT; i++) {
            fields.append(",f").append(i).append("=1");
        }
        return fields.toString();
    }

    /** The number of bytes that the clients have sent. */
    long sentBytes() {
        return sentBytes.get();
    }

    private void run() {
        while (!isClosed()) {
            try (Socket socket = open()) {
                flood(socket);
            } catch (IOException e) {
                pause();
            }
        }
    }

    private static void pause() {
        try {
            Thread.sleep(RECONNECT_PAUSE_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized boolean isClosed() {
        return closed;
    }

    private Socket open() throws IOException {
        var socket = new Socket(router.getAddress(), router.getPort());
        synchronized (this) {
            sockets.add(socket);
            if (closed) {
                socket.close();
            }
        }
        if (kind.readsAnswers()) {
            startDaemon(() -> discardAnswers(socket));
        }
        return socket;
    }

    private static void discardAnswers(Socket socket) {
        var buffer = new byte[READ_BUFFER_BYTES];
        try (InputStream in = socket.getInputStream()) {
            while (in.read(buffer) >= 0) {
                // answers of a flood are not examined
            }
        } catch (IOException e) {
            // the connection has ended
        }
    }

    private void flood(Socket socket) throws IOException {
        OutputStream out = socket.getOutputStream();
        if (kind.beginsSession()) {
            ByteBuf startup = MessageEncoder.startupMessage("client", "core");
            startup.readBytes(out, startup.readableBytes());
        }
        while (true) {
            ByteBuf chunk = chunk();
            int length = chunk.readableBytes();
            chunk.readBytes(out, length);
            sentBytes.addAndGet(length);
        }
    }

    private ByteBuf chunk() {
        ByteBuf chunk = Unpooled.buffer(2 * CHUNK_BYTES);
        while (chunk.readableBytes() < CHUNK_BYTES) {
            chunk.writeBytes(message());
        }
        return chunk;
    }

    private ByteBuf message() {
        return switch (kind) {
            case EMPTY_STATEMENTS, EMPTY_STATEMENTS_UNREAD -> MessageEncoder.query(new byte[0]);
            case ENCRYPTION_REQUESTS ->
                Unpooled.buffer().writeInt(ENCRYPTION_REQUEST_LENGTH).writeInt(ENCRYPTION_REQUEST_CODE);
            case STATEMENTS_WITHOUT_ID_AND_TIMEOUT -> statement("c=any,cluster=1");
            case STATEMENTS_OF_NEW_CLASSES -> statement(id() + ",c=" + newName() + ",d=400,cluster=1");
            case STATEMENTS_FOR_NEW_REPLICA_SETS ->
                statement(id() + ",c=any,d=400,cluster=" + (2 + NUMBERS.incrementAndGet()));
            case STATEMENTS_OF_MANY_FIELDS -> statement(id() + ",c=" + newName() + ",d=400,cluster=1" + MANY_FIELDS);
            case EXTENDED_QUERIES -> emptyMessage('P');
            case SYNCS -> emptyMessage('S');
            case FLUSHES -> emptyMessage('H');
            case READS -> statement(id() + ",c=any,d=400,cluster=1");
        };
    }

    private static ByteBuf statement(String fields) {
        return StubClient.statement(false, newName(), fields);
    }

    private static String id() {
        return "id=" + newName();
    }

    private static String newName() {
        return "n" + NUMBERS.incrementAndGet();
    }

    private static ByteBuf emptyMessage(char type) {
        return Unpooled.buffer().writeByte(type).writeInt(Integer.BYTES);
    }

    /** Closes the connections of all clients and waits until the clients have ended. */
    @Override
    public void close() throws IOException {
        synchronized (this) {
            closed = true;
            for (Socket socket : sockets) {
                socket.close();
            }
        }
        join(threads);
    }

    /** Waits until threads have ended; returns early if the current thread is interrupted. */
    static void join(List<Thread> threads) {
        try {
            for (Thread thread : threads) {
                thread.join();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
