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

/** A node whose responses to statements the caller provides. Its threads are those of {@link StubServer}. */
public final class StubNode extends StubServer {
    /**
     * The response of a node to a statement. If all components are null or false, the node never answers.
     *
     * @param value the value of the row that answers the statement, or null
     * @param errorCode the SQLSTATE of the error that answers the statement, or null
     * @param closesConnection whether the node closes the connection instead of answering
     * @param bytes the bytes that the node writes instead of an encoded answer, or null
     */
    public record StubResponse(String value, String errorCode, boolean closesConnection, ByteBuf bytes) {
        private StubResponse(String value, String errorCode, boolean closesConnection) {
            this(value, errorCode, closesConnection, null);
        }

        /** Answers with one row of one column. */
        public static StubResponse answer(String value) {
            return new StubResponse(value, null, false);
        }

        /** Writes the given bytes unchanged. The buffer is not released, so it may be used for several responses. */
        public static StubResponse bytes(ByteBuf bytes) {
            return new StubResponse(null, null, false, bytes);
        }

        /** Answers with an error. */
        public static StubResponse error(String sqlState) {
            return new StubResponse(null, sqlState, false);
        }

        /** Closes the connection without an answer. */
        public static StubResponse closeConnection() {
            return new StubResponse(null, null, true);
        }

        /** Never answers. */
        public static StubResponse silence() {
            return new StubResponse(null, null, false);
        }
    }

    /** The role to pass for a node that does not answer health checks. */
    public static final String UNRESPONSIVE = "mute";

    private static final byte[] COLUMN_NAME = "val\0".getBytes(UTF_8);
    private static final byte[] COMMAND_TAG = "SELECT 1\0".getBytes(UTF_8);
    /** The size of the length field of a message or a value. */
    private static final int LENGTH_BYTES = 4;
    /** The size of the field that holds the number of columns. */
    private static final int COUNT_BYTES = 2;
    /** The size of the column description after the name: table, number, type, size, modifier and format. */
    private static final int COLUMN_DESCRIPTION_BYTES = 18;

    /**
     * Starts a node; blocks until it listens.
     *
     * @param role the role that each answer reports, {@code primary} or {@code replica}, or {@link #UNRESPONSIVE}
     * @param responses called on the event loop with each statement; returns the response to it
     */
    public StubNode(
            Transport transport,
            InetSocketAddress address,
            String role,
            Function<KeyValueStatement, StubResponse> responses)
            throws InterruptedException {
        super(transport, address, () -> new ChannelHandler[] {
            new ClientMessageDecoder(new MemoryBudget(Long.MAX_VALUE)), new StubNodeHandler(role, responses)
        });
    }

    /**
     * Encodes an answer that consists of one row and of the node's role, applied position and load report.
     *
     * @param appliedMillis the node's applied position in milliseconds
     * @param load the node's load report
     */
    public static ByteBuf row(String value, String role, long appliedMillis, String load) {
        byte[] bytes = value.getBytes(UTF_8);
        ByteBuf out = Unpooled.buffer();
        out.writeByte('T')
                .writeInt(LENGTH_BYTES + COUNT_BYTES + COLUMN_NAME.length + COLUMN_DESCRIPTION_BYTES)
                .writeShort(1)
                .writeBytes(COLUMN_NAME)
                .writeZero(COLUMN_DESCRIPTION_BYTES);
        out.writeByte('D')
                .writeInt(LENGTH_BYTES + COUNT_BYTES + LENGTH_BYTES + bytes.length)
                .writeShort(1)
                .writeInt(bytes.length)
                .writeBytes(bytes);
        out.writeByte('C').writeInt(LENGTH_BYTES + COMMAND_TAG.length).writeBytes(COMMAND_TAG);
        writeParameterStatus(out, "role", role);
        writeParameterStatus(out, "applied_ms", Long.toString(appliedMillis));
        writeParameterStatus(out, "load", load);
        return out.writeBytes(MessageEncoder.readyForQuery());
    }

    private static void writeParameterStatus(ByteBuf out, String name, String value) {
        byte[] text = (name + '\0' + value + '\0').getBytes(UTF_8);
        out.writeByte('S').writeInt(LENGTH_BYTES + text.length).writeBytes(text);
    }

    @SuppressWarnings("FutureReturnValueIgnored") // a failed write closes the channel
    private static final class StubNodeHandler extends ChannelInboundHandlerAdapter {
        private static final double MILLIS_PER_SECOND = 1000;

        private final String role;
        private final Function<KeyValueStatement, StubResponse> responses;

        private StubNodeHandler(String role, Function<KeyValueStatement, StubResponse> responses) {
            this.role = role;
            this.responses = responses;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            if (message instanceof ClientMessage.Startup) {
                ctx.writeAndFlush(MessageEncoder.startupResponse(0, Map.of()));
            } else if (message instanceof ClientMessage.Query query) {
                respond(ctx, responses.apply(query.statement()));
            } else if (message instanceof ClientMessage.EmptyQuery) {
                ctx.writeAndFlush(MessageEncoder.emptyQueryResponse());
            } else if (message instanceof ClientMessage.UnreadableQuery && !role.equals(UNRESPONSIVE)) {
                respond(ctx, StubResponse.answer(loadReport()));
            }
        }

        private void respond(ChannelHandlerContext ctx, StubResponse response) {
            if (response.closesConnection()) {
                ctx.close();
            } else if (response.bytes() != null) {
                ctx.writeAndFlush(response.bytes().retainedDuplicate());
            } else if (response.errorCode() != null) {
                ctx.writeAndFlush(MessageEncoder.error(false, response.errorCode(), "as told", null));
            } else if (response.value() != null) {
                ctx.writeAndFlush(row(response.value()));
            }
        }

        private String loadReport() {
            int primary = role.equals("primary") ? 1 : 0;
            return "x0=" + nowSeconds() + ",x1=" + primary + ",inflight=1";
        }

        private ByteBuf row(String value) {
            return StubNode.row(value, role, System.currentTimeMillis(), "inflight=1,x0=" + nowSeconds());
        }

        private static double nowSeconds() {
            return System.currentTimeMillis() / MILLIS_PER_SECOND;
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
