package clayhook.clustertests;

import clayhook.protocol.MessageEncoder;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Many clients of a router that send in ways that occupy its memory, each on its own connection: by kinds in turn. None
 * reads what the router sends. A client whose connection has ended connects again. Thread-safe.
 */
final class SlowSenders implements AutoCloseable {
    /** How a client sends. */
    private enum Kind {
        /** Writes a long statement in pieces. */
        IN_PIECES,
        /** Stops in the middle of a long statement. */
        STOPS_HALF_WAY,
        /** Sends a start-up message of many short parameters, and then many short statements at a time. */
        MANY_SHORT
    }

    private static final int THREADS = 4;
    private static final int CONNECT_TIMEOUT_MS = 2000;
    /** Pause in milliseconds between two steps of each client. */
    private static final int STEP_MS = 200;

    private static final int VALUE_BYTES = 64 * 1024;
    private static final int PIECE_BYTES = 16 * 1024;
    private static final int STATEMENTS_PER_STEP = 400;
    private static final int STARTUP_PARAMETERS = 1200;
    private static final AtomicLong NUMBERS = new AtomicLong();
    private static final String LONG_VALUE = "9f".repeat(VALUE_BYTES);

    /** One client and what it still has to send. */
    private static final class Sender {
        private final InetSocketAddress router;
        private final Kind kind;
        private SocketChannel channel;
        private ByteBuffer unsent = ByteBuffer.allocate(0);

        private Sender(InetSocketAddress router, Kind kind) {
            this.router = router;
            this.kind = kind;
        }

        private void step() {
            try {
                if (channel == null) {
                    connect();
                } else if (!unsent.hasRemaining()) {
                    unsent = nextMessages();
                }
                sendPart();
            } catch (IOException e) {
                close();
            }
        }

        private void connect() throws IOException {
            channel = SocketChannel.open();
            channel.socket().connect(router, CONNECT_TIMEOUT_MS);
            channel.configureBlocking(false);
            unsent = kind == Kind.MANY_SHORT
                    ? startupWithManyParameters()
                    : MessageEncoder.startupMessage("client", "core").nioBuffer();
        }

        private ByteBuffer nextMessages() {
            if (kind != Kind.MANY_SHORT) {
                return longStatement().nioBuffer();
            }
            ByteBuf statements = Unpooled.buffer();
            for (int i = 0; i < STATEMENTS_PER_STEP; i++) {
                statements.writeBytes(MessageEncoder.query(new byte[0]));
            }
            return statements.nioBuffer();
        }

        /** Writes as much as the kind of client sends in one step, or as the connection takes. */
        private void sendPart() throws IOException {
            boolean isStopped = kind == Kind.STOPS_HALF_WAY && unsent.capacity() > VALUE_BYTES;
            if (isStopped && unsent.position() > VALUE_BYTES) {
                return;
            }
            int length = kind == Kind.MANY_SHORT ? unsent.remaining() : Math.min(PIECE_BYTES, unsent.remaining());
            ByteBuffer part = unsent.slice(unsent.position(), length);
            unsent.position(unsent.position() + channel.write(part));
        }

        private void close() {
            try {
                if (channel != null) {
                    channel.close();
                }
            } catch (IOException e) {
                // closed as far as this client is concerned
            }
            channel = null;
            unsent = ByteBuffer.allocate(0);
        }

        private static ByteBuffer startupWithManyParameters() {
            var parameters = new String[2 * STARTUP_PARAMETERS];
            for (int i = 0; i < STARTUP_PARAMETERS; i++) {
                parameters[2 * i] = "p" + i;
                parameters[2 * i + 1] = "1";
            }
            return MessageEncoder.startupMessage("client", "core", parameters).nioBuffer();
        }

        private static ByteBuf longStatement() {
            long number = NUMBERS.incrementAndGet();
            return MessageEncoder.query(("INSERT INTO state (uid, val) VALUES ('slow" + number + "', '\\x" + LONG_VALUE
                            + "') RETURNING val /* id=slow" + number + ",c=write,cluster=1,d=2000,k=" + number
                            + " */")
                    .getBytes(StandardCharsets.UTF_8));
        }
    }

    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean running = true;

    /** Starts that number of clients. */
    SlowSenders(InetSocketAddress router, int clients) {
        for (int thread = 0; thread < THREADS; thread++) {
            var senders = new ArrayList<Sender>();
            for (int i = thread; i < clients; i += THREADS) {
                senders.add(new Sender(router, Kind.values()[i / THREADS % Kind.values().length]));
            }
            var daemon = new Thread(() -> run(senders), "slow senders");
            daemon.setDaemon(true);
            daemon.start();
            threads.add(daemon);
        }
    }

    private void run(List<Sender> senders) {
        try {
            while (running) {
                senders.forEach(Sender::step);
                Thread.sleep(STEP_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            senders.forEach(Sender::close);
        }
    }

    /** Closes the connections of all clients. */
    @Override
    public void close() {
        running = false;
        ClientFlood.join(threads);
    }
}
