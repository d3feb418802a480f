package clayhook.rehearsal;

import static java.nio.charset.StandardCharsets.UTF_8;

import clayhook.protocol.Allowance;
import clayhook.protocol.Encoder;
import clayhook.protocol.NodeDecoder;
import clayhook.protocol.NodeMessage;
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
public final class StandInClient {
    /** More than any answer here takes. */
    private static final int PATIENCE_S = 20;
    /** The one word of a client that never reached the router. */
    public static final String NO_CONNECTION = "no connection";

    private final BlockingQueue<String> heard = new LinkedBlockingQueue<>();
    private final List<ByteBuf> first = new ArrayList<>();
    private final Channel channel;

    public StandInClient(Transport transport, InetSocketAddress router) {
        channel = transport.connect(
                router,
                PATIENCE_S,
                () -> new ChannelHandler[] {new NodeDecoder(new Allowance(Long.MAX_VALUE)), new Answers()},
                () -> heard.add(NO_CONNECTION));
    }

    private final class Answers extends ChannelInboundHandlerAdapter {
        private String word = "ready";

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            first.forEach(ctx::writeAndFlush);
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            if (message instanceof NodeMessage.Part part && part.type() == 'D') {
                word = part.column();
            } else if (message instanceof NodeMessage.ErrorResponse error) {
                word = error.code();
            } else if (message instanceof NodeMessage.ReadyForQuery) {
                heard.add(word);
                word = "ready";
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            heard.add(word.equals("ready") ? "closed" : word + " closed");
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
                first.add(bytes);
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
        return Encoder.query((text + " /* " + fields + " */").getBytes(UTF_8));
    }

    /** Startup and a first statement in one piece. */
    public static ByteBuf hello(ByteBuf first) {
        return Unpooled.wrappedBuffer(Encoder.startup("client", "core"), first);
    }

    /** The value, the code of the error, or ready for what had neither; closed once the router ended. */
    public String next() throws InterruptedException {
        return next(PATIENCE_S);
    }

    /** The same, or null where nothing came within so many seconds. */
    public String next(double seconds) throws InterruptedException {
        return heard.poll((long) (seconds * 1e9), TimeUnit.NANOSECONDS);
    }

    public void close() {
        channel.close();
    }
}
