package clayhook.rehearsal;

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
public final class StandInDiscovery extends StandIn {

    public StandInDiscovery(Transport transport, InetSocketAddress address, Function<String, String> answers)
            throws InterruptedException {
        this(transport, address, (call, answer) -> answer.test(answers.apply(call)));
    }

    /**
     * {@code calls} is handed each call and what takes its answer, once, by any thread; false where its caller has
     * gone.
     */
    public StandInDiscovery(Transport transport, InetSocketAddress address, BiConsumer<String, Predicate<String>> calls)
            throws InterruptedException {
        super(transport, address, () -> new ChannelHandler[] {new Connection(calls)});
    }

    private static final class Connection extends ChannelInboundHandlerAdapter {
        private final BiConsumer<String, Predicate<String>> calls;
        private final StringBuilder read = new StringBuilder();

        private Connection(BiConsumer<String, Predicate<String>> calls) {
            this.calls = calls;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            var bytes = (ByteBuf) message;
            read.append(bytes.toString(US_ASCII));
            bytes.release();
            int end = read.indexOf("\r\n\r\n");
            if (end < 0) {
                return;
            }
            String call = read.substring(0, read.indexOf("\r\n"));
            read.delete(0, end + 4);
            calls.accept(call, body -> answer(ctx, body));
        }

        private static boolean answer(ChannelHandlerContext ctx, String body) {
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
