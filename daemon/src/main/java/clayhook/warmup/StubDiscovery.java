package clayhook.warmup;

import static java.nio.charset.StandardCharsets.US_ASCII;

import clayhook.transport.Transport;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.net.InetSocketAddress;
import java.util.function.BiConsumer;
import java.util.function.Function;
import java.util.function.Predicate;

/** Discovery that answers each call with a list, or with all that begins with HTTP; null leaves the call waiting. */
public final class StubDiscovery extends StubServer {

    public StubDiscovery(Transport transport, InetSocketAddress address, Function<String, String> answers)
            throws InterruptedException {
        this(transport, address, (call, answer) -> answer.test(answers.apply(call)));
    }

    /**
     * {@code calls} is handed each call and what takes its answer, once, by any thread; false where its caller has
     * gone.
     */
    public StubDiscovery(Transport transport, InetSocketAddress address, BiConsumer<String, Predicate<String>> calls)
            throws InterruptedException {
        super(transport, address, () -> new ChannelHandler[] {new StubDiscoveryHandler(calls)});
    }

    private static final class StubDiscoveryHandler extends ChannelInboundHandlerAdapter {
        private final BiConsumer<String, Predicate<String>> requestListener;
        private final StringBuilder received = new StringBuilder();

        private StubDiscoveryHandler(BiConsumer<String, Predicate<String>> calls) {
            this.requestListener = calls;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            var bytes = (ByteBuf) message;
            received.append(bytes.toString(US_ASCII));
            bytes.release();
            int end = received.indexOf("\r\n\r\n");
            if (end < 0) {
                return;
            }
            String call = received.substring(0, received.indexOf("\r\n"));
            received.delete(0, end + 4);
            requestListener.accept(call, body -> writeAnswer(ctx, body));
        }

        private static boolean writeAnswer(ChannelHandlerContext ctx, String body) {
            if (body != null && body.startsWith("HTTP")) {
                ctx.writeAndFlush(Unpooled.copiedBuffer(body, US_ASCII));
            } else if (body != null) {
                ctx.writeAndFlush(Unpooled.copiedBuffer(
                        "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body, US_ASCII));
            }
            return ctx.channel().isActive();
        }
    }
}
