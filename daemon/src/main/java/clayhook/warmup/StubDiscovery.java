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

/** A discovery service whose answers the caller provides. Its threads are those of {@link StubServer}. */
public final class StubDiscovery extends StubServer {

    /**
     * Creates a service that answers each call immediately.
     *
     * @param answers called on the event loop with the request line; returns the JSON of an endpoint list, a complete
     *     HTTP response, or null to leave the call unanswered
     */
    @SuppressWarnings("ReturnValueIgnored") // false only if the caller has disconnected and needs no answer
    public StubDiscovery(Transport transport, InetSocketAddress address, Function<String, String> answers)
            throws InterruptedException {
        this(transport, address, (requestLine, answer) -> answer.test(answers.apply(requestLine)));
    }

    /**
     * Creates a service whose answers may be sent later.
     *
     * @param requestListener called on the event loop for each call, with the request line and a function that sends
     *     the answer; the function may be called once, on any thread, and returns false if the caller has disconnected
     */
    public StubDiscovery(
            Transport transport, InetSocketAddress address, BiConsumer<String, Predicate<String>> requestListener)
            throws InterruptedException {
        super(transport, address, () -> new ChannelHandler[] {new StubDiscoveryHandler(requestListener)});
    }

    @SuppressWarnings("FutureReturnValueIgnored") // a failed write closes the channel
    private static final class StubDiscoveryHandler extends ChannelInboundHandlerAdapter {
        private static final String END_OF_HEADERS = "\r\n\r\n";

        private final BiConsumer<String, Predicate<String>> requestListener;
        private final StringBuilder received = new StringBuilder();

        private StubDiscoveryHandler(BiConsumer<String, Predicate<String>> requestListener) {
            this.requestListener = requestListener;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            var bytes = (ByteBuf) message;
            received.append(bytes.toString(US_ASCII));
            bytes.release();
            int end = received.indexOf(END_OF_HEADERS);
            if (end < 0) {
                return;
            }
            String requestLine = received.substring(0, received.indexOf("\r\n"));
            received.delete(0, end + END_OF_HEADERS.length());
            requestListener.accept(requestLine, body -> writeAnswer(ctx, body));
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
