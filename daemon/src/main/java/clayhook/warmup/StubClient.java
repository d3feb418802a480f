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

/** A client that sends statements and hands out what comes back, a word an answer. */
public final class StubClient {
    /** More than any answer here takes. */
    private static final int TIMEOUT_SECONDS = 20;
    /** The one word of a client that never reached the router. */
    public static final String NO_CONNECTION = "no connection";

    private final BlockingQueue<String> answers = new LinkedBlockingQueue<>();
    private final List<ByteBuf> queuedBeforeConnect = new ArrayList<>();
    private final Channel channel;

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
        private String answer = "ready";

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            queuedBeforeConnect.forEach(ctx::writeAndFlush);
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            if (message instanceof NodeMessage.Part part && part.type() == 'D') {
                answer = part.firstColumn();
            } else if (message instanceof NodeMessage.ErrorResponse error) {
                answer = error.sqlState();
            } else if (message instanceof NodeMessage.ReadyForQuery) {
                answers.add(answer);
                answer = "ready";
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            answers.add(answer.equals("ready") ? "closed" : answer + " closed");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /** Sends at once; before the connection stands, as soon as it does. */
    public void send(ByteBuf bytes) {
        channel.eventLoop().execute(() -> {
            if (channel.isActive()) {
                channel.writeAndFlush(bytes);
            } else {
                queuedBeforeConnect.add(bytes);
            }
        });
    }

    /** A statement whose comment holds these fields. */
    public static ByteBuf statement(boolean writes, String fields) {
        return statement(writes, "k", fields);
    }

    /** The same on that key, which names the session. */
    public static ByteBuf statement(boolean writes, String key, String fields) {
        String text = writes
                ? "INSERT INTO state (uid, val) VALUES ('" + key + "', '\\x9f03') RETURNING val"
                : "SELECT val FROM state WHERE uid = '" + key + "'";
        return MessageEncoder.query((text + " /* " + fields + " */").getBytes(UTF_8));
    }

    /** Startup and a first statement in one piece. */
    public static ByteBuf startupAndFirst(ByteBuf first) {
        return Unpooled.wrappedBuffer(MessageEncoder.startupMessage("client", "core"), first);
    }

    /** The value, the code of the error, or ready for what had neither; closed once the router ended. */
    public String nextAnswer() throws InterruptedException {
        return nextAnswer(TIMEOUT_SECONDS);
    }

    /** The same, or null where nothing came within so many seconds. */
    public String nextAnswer(double seconds) throws InterruptedException {
        return answers.poll((long) (seconds * 1e9), TimeUnit.NANOSECONDS);
    }

    public void close() {
        channel.close();
    }
}
