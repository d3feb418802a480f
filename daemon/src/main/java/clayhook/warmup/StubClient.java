package clayhook.warmup;

import static java.nio.charset.StandardCharsets.UTF_8;

import clayhook.protocol.MemoryBudget;
import clayhook.protocol.MessageEncoder;
import clayhook.protocol.NodeMessage;
import clayhook.protocol.NodeMessageDecoder;
import clayhook.transport.Transport;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * A client that sends statements and converts each answer to a string: the value of its row, the SQLSTATE of its error,
 * or {@value #READY} if it has neither. Thread-safe; its channel runs on the event loop of its transport.
 */
@SuppressWarnings("FutureReturnValueIgnored") // a failed write or close ends in channelInactive
public final class StubClient {
    /** The timeout of connecting and of waiting for an answer; longer than any answer of a stub takes. */
    private static final int TIMEOUT_SECONDS = 20;
    /** The only answer that a client returns if its connection could not be established. */
    public static final String NO_CONNECTION = "no connection";

    /** The answer to a startup message, and to a statement that yields neither a row nor an error. */
    private static final String READY = "ready";

    private static final double NANOS_PER_SECOND = 1e9;

    private final BlockingQueue<String> answers = new LinkedBlockingQueue<>();
    private final List<ByteBuf> queuedBeforeConnect = new ArrayList<>();
    private final Channel channel;

    /** Starts to connect to a router; returns at once. */
    public StubClient(Transport transport, InetSocketAddress router) {
        channel = transport.connect(
                router,
                TIMEOUT_SECONDS,
                () -> new ChannelHandler[] {
                    new NodeMessageDecoder(new MemoryBudget(Long.MAX_VALUE)), new StubClientHandler()
                },
                () -> answers.add(NO_CONNECTION));
    }

    private final class StubClientHandler extends ChannelInboundHandlerAdapter {
        private String answer = READY;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            queuedBeforeConnect.forEach(ctx::writeAndFlush);
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            if (message instanceof NodeMessage.ResultMessage part && part.type() == 'D') {
                answer = part.firstColumn();
            } else if (message instanceof NodeMessage.ErrorResponse error) {
                answer = error.sqlState();
            } else if (message instanceof NodeMessage.ReadyForQuery) {
                answers.add(answer);
                answer = READY;
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            answers.add(answer.equals(READY) ? "closed" : answer + " closed");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /** Sends bytes as soon as the connection is established. */
    public void send(ByteBuf bytes) {
        channel.eventLoop().execute(() -> {
            if (channel.isActive()) {
                channel.writeAndFlush(bytes);
            } else {
                queuedBeforeConnect.add(bytes);
            }
        });
    }

    /** Encodes a query with a key-value statement on the key {@code k}; its comment contains the given fields. */
    public static ByteBuf statement(boolean writes, String fields) {
        return statement(writes, "k", fields);
    }

    /**
     * Encodes a query with a key-value statement.
     *
     * @param writes whether the statement is a write
     * @param key the key that is read or written, which also identifies the session
     * @param fields the fields of the statement's comment
     */
    public static ByteBuf statement(boolean writes, String key, String fields) {
        String text = writes
                ? "INSERT INTO state (uid, val) VALUES ('" + key + "', '\\x9f03') RETURNING val"
                : "SELECT val FROM state WHERE uid = '" + key + "'";
        return MessageEncoder.query((text + " /* " + fields + " */").getBytes(UTF_8));
    }

    /** Encodes a startup message and appends the first query to it. */
    public static ByteBuf startupAndFirst(ByteBuf query) {
        return Unpooled.wrappedBuffer(MessageEncoder.startupMessage("client", "core"), query);
    }

    /**
     * Waits for the next answer, which is {@code closed} if the router has closed the connection. Returns null if none
     * arrives within {@value #TIMEOUT_SECONDS} seconds.
     */
    public String nextAnswer() throws InterruptedException {
        return nextAnswer(TIMEOUT_SECONDS);
    }

    /** Waits for the next answer; returns null if none arrives within the given time. */
    public String nextAnswer(double seconds) throws InterruptedException {
        return answers.poll((long) (seconds * NANOS_PER_SECOND), TimeUnit.NANOSECONDS);
    }

    /** Closes the connection. */
    public void close() {
        channel.close();
    }
}
