package clayhook.warmup;

import static java.nio.charset.StandardCharsets.UTF_8;

import clayhook.protocol.ClientMessage;
import clayhook.protocol.ClientMessageDecoder;
import clayhook.protocol.KeyValueStatement;
import clayhook.protocol.MemoryBudget;
import clayhook.protocol.MessageEncoder;
import clayhook.transport.Transport;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.function.Function;

/** A node that does to each statement what it is told to. */
public final class StubNode extends StubServer {
    /** What a node may do: answer with a row, an error of that code, or that, reset the connection, or say nothing. */
    public record StubResponse(String value, String errorCode, boolean closesConnection, ByteBuf bytes) {
        private StubResponse(String value, String errorCode, boolean resets) {
            this(value, errorCode, resets, null);
        }

        public static StubResponse answer(String value) {
            return new StubResponse(value, null, false);
        }

        public static StubResponse bytes(ByteBuf bytes) {
            return new StubResponse(null, null, false, bytes);
        }

        public static StubResponse error(String code) {
            return new StubResponse(null, code, false);
        }

        public static StubResponse closeConnection() {
            return new StubResponse(null, null, true);
        }

        public static StubResponse silence() {
            return new StubResponse(null, null, false);
        }
    }

    /** The role of a node that leaves probes unanswered. */
    public static final String UNRESPONSIVE = "mute";

    public StubNode(
            Transport transport,
            InetSocketAddress address,
            String role,
            Function<KeyValueStatement, StubResponse> deeds)
            throws InterruptedException {
        super(transport, address, () -> new ChannelHandler[] {
            new ClientMessageDecoder(new MemoryBudget(Long.MAX_VALUE)), new StubNodeHandler(role, deeds)
        });
    }

    /** An answer of one row, and what a node tells with it; {@code applied} is its position in milliseconds. */
    public static ByteBuf row(String value, String role, long applied, String load) {
        byte[] bytes = value.getBytes(UTF_8);
        ByteBuf out = Unpooled.buffer();
        out.writeByte('T')
                .writeInt(4 + 2 + 4 + 18)
                .writeShort(1)
                .writeBytes("val\0".getBytes(UTF_8))
                .writeZero(18);
        out.writeByte('D')
                .writeInt(4 + 2 + 4 + bytes.length)
                .writeShort(1)
                .writeInt(bytes.length)
                .writeBytes(bytes);
        out.writeByte('C').writeInt(4 + 9).writeBytes("SELECT 1\0".getBytes(UTF_8));
        writeParameterStatus(out, "role", role);
        writeParameterStatus(out, "applied_ms", Long.toString(applied));
        writeParameterStatus(out, "load", load);
        return out.writeBytes(MessageEncoder.readyForQuery());
    }

    private static void writeParameterStatus(ByteBuf out, String name, String value) {
        byte[] text = (name + '\0' + value + '\0').getBytes(UTF_8);
        out.writeByte('S').writeInt(4 + text.length).writeBytes(text);
    }

    private static final class StubNodeHandler extends ChannelInboundHandlerAdapter {
        private final String role;
        private final Function<KeyValueStatement, StubResponse> responses;

        private StubNodeHandler(String role, Function<KeyValueStatement, StubResponse> deeds) {
            this.role = role;
            this.responses = deeds;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            if (message instanceof ClientMessage.Startup) {
                ctx.writeAndFlush(MessageEncoder.startupResponse(0, Map.of()));
            } else if (message instanceof ClientMessage.Query query) {
                respond(ctx, responses.apply(query.statement()));
            } else if (message instanceof ClientMessage.UnreadableQuery && !role.equals(UNRESPONSIVE)) {
                respond(
                        ctx,
                        StubResponse.answer("x0=" + System.currentTimeMillis() / 1000.0 + ",x1="
                                + (role.equals("primary") ? 1 : 0) + ",inflight=1"));
            }
        }

        private void respond(ChannelHandlerContext ctx, StubResponse deed) {
            if (deed.closesConnection()) {
                ctx.close();
            } else if (deed.bytes() != null) {
                ctx.writeAndFlush(deed.bytes().retainedDuplicate());
            } else if (deed.errorCode() != null) {
                ctx.writeAndFlush(MessageEncoder.error(false, deed.errorCode(), "as told", null));
            } else if (deed.value() != null) {
                ctx.writeAndFlush(row(deed.value()));
            }
        }

        private ByteBuf row(String value) {
            return StubNode.row(
                    value, role, System.currentTimeMillis(), "inflight=1,x0=" + System.currentTimeMillis() / 1000.0);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
