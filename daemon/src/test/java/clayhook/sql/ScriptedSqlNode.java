package clayhook.sql;

import static java.nio.charset.StandardCharsets.UTF_8;

import clayhook.protocol.ClientMessage;
import clayhook.protocol.ClientMessageDecoder;
import clayhook.protocol.MemoryBudget;
import clayhook.protocol.MessageEncoder;
import clayhook.transport.Transport;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Function;

/** A node that accepts any statement, records the executed statements, and reacts to each as defined by the test. */
@SuppressWarnings("FutureReturnValueIgnored") // a failed write or close ends in the close of the channel
final class ScriptedSqlNode {
    /**
     * The reaction of the node to a statement: a response, an error, or a connection reset before or after the
     * execution of the statement.
     */
    record Reaction(Kind kind, ByteBuf response, String sqlState) {
        enum Kind {
            ANSWER,
            ERROR,
            RESET_BEFORE,
            RESET_AFTER
        }

        static Reaction rows(String... values) {
            ByteBuf out = Unpooled.buffer();
            appendMessage(
                    out,
                    'T',
                    Unpooled.buffer()
                            .writeShort(2)
                            .writeBytes("a\0".getBytes(UTF_8))
                            .writeZero(6)
                            .writeInt(25)
                            .writeZero(8)
                            .writeBytes("b\0".getBytes(UTF_8))
                            .writeZero(6)
                            .writeInt(25)
                            .writeZero(8));
            for (String value : values) {
                byte[] bytes = value.getBytes(UTF_8);
                appendMessage(
                        out,
                        'D',
                        Unpooled.buffer()
                                .writeShort(2)
                                .writeInt(bytes.length)
                                .writeBytes(bytes)
                                .writeInt(-1));
            }
            return new Reaction(Kind.ANSWER, appendMessage(out, 'C', cString("SELECT " + values.length)), null);
        }

        static Reaction tag(String tag) {
            return new Reaction(Kind.ANSWER, appendMessage(Unpooled.buffer(), 'C', cString(tag)), null);
        }

        static Reaction bytes(ByteBuf bytes) {
            return new Reaction(Kind.ANSWER, bytes, null);
        }

        static Reaction error(String sqlState) {
            return new Reaction(Kind.ERROR, null, sqlState);
        }
    }

    /** The statements that the node executed, in order. */
    final Queue<String> executedStatements = new ConcurrentLinkedQueue<>();

    /** The SET and RESET statements that the node received, in order. */
    final Queue<String> settingStatements = new ConcurrentLinkedQueue<>();

    final Queue<Channel> connections = new ConcurrentLinkedQueue<>();

    /** Closes all connections, which simulates a failure of the node. */
    void closeConnections() {
        connections.forEach(Channel::close);
    }

    /** The node rejects settings that contain this text. */
    volatile String rejectedSettings = "'Mars'";

    private final String role;
    private final Function<String, Reaction> script;
    private final Channel serverChannel;

    ScriptedSqlNode(Transport transport, String role, Function<String, Reaction> script) throws InterruptedException {
        this.role = role;
        this.script = script;
        serverChannel =
                transport.listen(transport.ephemeralAddress(0), () -> new ChannelHandler[] {
                    new ClientMessageDecoder(new MemoryBudget(Long.MAX_VALUE), true), new Connection()
                });
    }

    InetSocketAddress address() {
        return (InetSocketAddress) serverChannel.localAddress();
    }

    static ByteBuf appendMessage(ByteBuf out, char type, ByteBuf body) {
        return out.writeByte(type).writeInt(4 + body.readableBytes()).writeBytes(body);
    }

    static ByteBuf cString(String text) {
        return Unpooled.wrappedBuffer((text + '\0').getBytes(UTF_8));
    }

    private final class Connection extends ChannelInboundHandlerAdapter {
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            connections.add(ctx.channel());
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            if (message instanceof ClientMessage.Startup) {
                ctx.writeAndFlush(MessageEncoder.startupResponse(0, Map.of()));
            } else if (message instanceof ClientMessage.SqlQuery sql) {
                execute(ctx, new String(sql.text(), UTF_8));
            } else if (message instanceof ClientMessage.EmptyQuery) {
                ctx.writeAndFlush(MessageEncoder.emptyQueryResponse());
            }
        }

        private void execute(ChannelHandlerContext ctx, String text) {
            if (text.equals("SHOW load")) {
                ctx.writeAndFlush(loadReport());
            } else if (text.startsWith("SET ") || text.startsWith("RESET ")) {
                settingStatements.add(text);
                ctx.writeAndFlush(
                        text.contains(rejectedSettings)
                                ? MessageEncoder.error(false, "22023", "no such zone", null)
                                : MessageEncoder.commandComplete("SET", null, null));
            } else {
                react(ctx, text, script.apply(text));
            }
        }

        private ByteBuf loadReport() {
            ByteBuf out = Unpooled.buffer();
            appendMessage(
                    out,
                    'T',
                    Unpooled.buffer()
                            .writeShort(1)
                            .writeBytes("load\0".getBytes(UTF_8))
                            .writeZero(18));
            String load = "x0=" + System.currentTimeMillis() / 1000.0 + ",x1=" + (role.equals("primary") ? 1 : 0);
            byte[] bytes = load.getBytes(UTF_8);
            appendMessage(
                    out,
                    'D',
                    Unpooled.buffer().writeShort(1).writeInt(bytes.length).writeBytes(bytes));
            return appendMessage(out, 'C', cString("SHOW")).writeBytes(MessageEncoder.readyForQuery());
        }

        private void react(ChannelHandlerContext ctx, String text, Reaction reaction) {
            switch (reaction.kind()) {
                case RESET_BEFORE -> ctx.close();
                case ERROR ->
                    ctx.writeAndFlush(MessageEncoder.error(false, reaction.sqlState(), "scripted error", null));
                case RESET_AFTER -> {
                    executedStatements.add(text);
                    ctx.close();
                }
                case ANSWER -> {
                    executedStatements.add(text);
                    ByteBuf out =
                            Unpooled.buffer().writeBytes(reaction.response().duplicate());
                    appendParameterStatus(out, "role", role);
                    appendParameterStatus(out, "applied_ms", Long.toString(System.currentTimeMillis()));
                    ctx.writeAndFlush(out.writeBytes(MessageEncoder.readyForQuery()));
                }
            }
        }

        private void appendParameterStatus(ByteBuf out, String name, String value) {
            appendMessage(out, 'S', Unpooled.wrappedBuffer((name + '\0' + value + '\0').getBytes(UTF_8)));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
