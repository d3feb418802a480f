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
 * A client that sends statements, and reduces each answer to a text: the value of its row, the SQLSTATE of its error,
 * or {@value #READY} where it had neither. Any thread may use it; it runs on the event loop of its transport.
 */
@SuppressWarnings("FutureReturnValueIgnored") // a failed write or close ends in channelInactive
public final class StubClient {
    /** More than any answer here takes. */
    private static final int TIMEOUT_SECONDS = 20;
    /** The only answer of a client whose connection was not established. */
    public static final String NO_CONNECTION = "no connection";

    /** The answer to a startup, and to a statement with neither a row nor an error. */
    private static final String READY = "ready";

    private static final double NANOS_PER_SECOND = 1e9;

    private final BlockingQueue<String> answers = new LinkedBlockingQueue<>();
    private final List<ByteBuf> queuedBeforeConnect = new ArrayList<>();
    private final Channel channel;

    /** Begins to connect. */
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

    /** Sends bytes at once, or as soon as the connection is established. */
    public void send(ByteBuf bytes) {
        channel.eventLoop().execute(() -> {
            if (channel.isActive()) {
                channel.writeAndFlush(bytes);
            } else {
                queuedBeforeConnect.add(bytes);
            }
        });
    }

    /** A query with a key-value statement on one key, whose comment holds these fields. */
    public static ByteBuf statement(boolean writes, String fields) {
        return statement(writes, "k", fields);
    }

    /** A query with a key-value statement on the given key, which names the session, and these comment fields. */
    public static ByteBuf statement(boolean writes, String key, String fields) {
        String text = writes
                ? "INSERT INTO state (uid, val) VALUES ('" + key + "', '\\x9f03') RETURNING val"
                : "SELECT val FROM state WHERE uid = '" + key + "'";
        return MessageEncoder.query((text + " /* " + fields + " */").getBytes(UTF_8));
    }

    /** A startup message and a first query in one buffer. */
    public static ByteBuf startupAndFirst(ByteBuf first) {
        return Unpooled.wrappedBuffer(MessageEncoder.startupMessage("client", "core"), first);
    }

    /**
     * Waits for the next answer, which is {@code closed} once the router has closed the connection; null after
     * {@value #TIMEOUT_SECONDS} seconds.
     */
    public String nextAnswer() throws InterruptedException {
        return nextAnswer(TIMEOUT_SECONDS);
    }

    /** Waits for the next answer; null where none came within so many seconds. */
    public String nextAnswer(double seconds) throws InterruptedException {
        return answers.poll((long) (seconds * NANOS_PER_SECOND), TimeUnit.NANOSECONDS);
    }

    /** Closes the connection. */
    public void close() {
        channel.close();
    }
}
