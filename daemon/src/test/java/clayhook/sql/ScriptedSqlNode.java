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

/** A node that takes any statement, logs what it ran and does to each what it is told to. */
final class ScriptedSqlNode {
    /**
     * Runs the statement and answers; or answers with an error; or resets the connection, before or after running it.
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

        static Reaction error(String code) {
            return new Reaction(Kind.ERROR, null, code);
        }
    }

    /** What it ran, in order; what settings were given. */
    final Queue<String> executedStatements = new ConcurrentLinkedQueue<>();

    final Queue<String> settingStatements = new ConcurrentLinkedQueue<>();
    final Queue<Channel> connections = new ConcurrentLinkedQueue<>();
    private final String role;
    private final Function<String, Reaction> script;
    private final Channel serverChannel;

    ScriptedSqlNode(Transport transport, String role, Function<String, Reaction> deeds) throws InterruptedException {
        this.role = role;
        this.script = deeds;
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
            }
        }

        private void execute(ChannelHandlerContext ctx, String text) {
            ByteBuf out = Unpooled.buffer();
            if (text.equals("SHOW load")) {
                String load = "x0=" + System.currentTimeMillis() / 1000.0 + ",x1=" + (role.equals("primary") ? 1 : 0);
                appendMessage(
                        out,
                        'T',
                        Unpooled.buffer()
                                .writeShort(1)
                                .writeBytes("load\0".getBytes(UTF_8))
                                .writeZero(18));
                byte[] bytes = load.getBytes(UTF_8);
                appendMessage(
                        out,
                        'D',
                        Unpooled.buffer().writeShort(1).writeInt(bytes.length).writeBytes(bytes));
                ctx.writeAndFlush(appendMessage(out, 'C', cString("SHOW")).writeBytes(MessageEncoder.readyForQuery()));
                return;
            } else if (text.startsWith("SET ") || text.startsWith("RESET ")) {
                settingStatements.add(text);
                ctx.writeAndFlush(
                        text.contains("'Mars'")
                                ? MessageEncoder.error(false, "22023", "no such zone", null)
                                : MessageEncoder.commandComplete("SET", null, null));
                return;
            }
            Reaction deed = script.apply(text);
            if (deed.kind() == Reaction.Kind.RESET_BEFORE) {
                ctx.close();
                return;
            } else if (deed.kind() == Reaction.Kind.ERROR) {
                ctx.writeAndFlush(MessageEncoder.error(false, deed.sqlState(), "as told", null));
                return;
            }
            executedStatements.add(text);
            if (deed.kind() == Reaction.Kind.RESET_AFTER) {
                ctx.close();
                return;
            }
            appendParameterStatus(out.writeBytes(deed.response().duplicate()), "role", role);
            appendParameterStatus(out, "applied_ms", Long.toString(System.currentTimeMillis()));
            ctx.writeAndFlush(out.writeBytes(MessageEncoder.readyForQuery()));
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
