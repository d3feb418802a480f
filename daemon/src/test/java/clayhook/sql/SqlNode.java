package clayhook.sql;

import static java.nio.charset.StandardCharsets.UTF_8;

import clayhook.protocol.Allowance;
import clayhook.protocol.ClientDecoder;
import clayhook.protocol.ClientMessage;
import clayhook.protocol.Encoder;
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
final class SqlNode {
    /**
     * Runs the statement and answers; or answers with an error; or resets the connection, before or after running it.
     */
    record Deed(Kind kind, ByteBuf answer, String code) {
        enum Kind {
            ANSWER,
            ERROR,
            RESET_BEFORE,
            RESET_AFTER
        }

        static Deed rows(String... values) {
            ByteBuf out = Unpooled.buffer();
            message(
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
                message(
                        out,
                        'D',
                        Unpooled.buffer()
                                .writeShort(2)
                                .writeInt(bytes.length)
                                .writeBytes(bytes)
                                .writeInt(-1));
            }
            return new Deed(Kind.ANSWER, message(out, 'C', text("SELECT " + values.length)), null);
        }

        static Deed tag(String tag) {
            return new Deed(Kind.ANSWER, message(Unpooled.buffer(), 'C', text(tag)), null);
        }

        static Deed bytes(ByteBuf bytes) {
            return new Deed(Kind.ANSWER, bytes, null);
        }

        static Deed error(String code) {
            return new Deed(Kind.ERROR, null, code);
        }
    }

    /** What it ran, in order; what settings were given. */
    final Queue<String> ran = new ConcurrentLinkedQueue<>();

    final Queue<String> tuned = new ConcurrentLinkedQueue<>();
    final Queue<Channel> connections = new ConcurrentLinkedQueue<>();
    private final String role;
    private final Function<String, Deed> deeds;
    private final Channel listening;

    SqlNode(Transport transport, String role, Function<String, Deed> deeds) throws InterruptedException {
        this.role = role;
        this.deeds = deeds;
        listening = transport.listen(transport.spare(0), () ->
                new ChannelHandler[] {new ClientDecoder(new Allowance(Long.MAX_VALUE), true), new Connection()});
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listening.localAddress();
    }

    static ByteBuf message(ByteBuf out, char type, ByteBuf body) {
        return out.writeByte(type).writeInt(4 + body.readableBytes()).writeBytes(body);
    }

    static ByteBuf text(String text) {
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
                ctx.writeAndFlush(Encoder.welcome(0, Map.of()));
            } else if (message instanceof ClientMessage.Sql sql) {
                run(ctx, new String(sql.text(), UTF_8));
            }
        }

        private void run(ChannelHandlerContext ctx, String text) {
            ByteBuf out = Unpooled.buffer();
            if (text.equals("SHOW load")) {
                String load = "x0=" + System.currentTimeMillis() / 1000.0 + ",x1=" + (role.equals("primary") ? 1 : 0);
                message(
                        out,
                        'T',
                        Unpooled.buffer()
                                .writeShort(1)
                                .writeBytes("load\0".getBytes(UTF_8))
                                .writeZero(18));
                byte[] bytes = load.getBytes(UTF_8);
                message(
                        out,
                        'D',
                        Unpooled.buffer().writeShort(1).writeInt(bytes.length).writeBytes(bytes));
                ctx.writeAndFlush(message(out, 'C', text("SHOW")).writeBytes(Encoder.ready()));
                return;
            } else if (text.startsWith("SET ") || text.startsWith("RESET ")) {
                tuned.add(text);
                ctx.writeAndFlush(
                        text.contains("'Mars'")
                                ? Encoder.error(false, "22023", "no such zone", null)
                                : Encoder.completed("SET", null, null));
                return;
            }
            Deed deed = deeds.apply(text);
            if (deed.kind() == Deed.Kind.RESET_BEFORE) {
                ctx.close();
                return;
            } else if (deed.kind() == Deed.Kind.ERROR) {
                ctx.writeAndFlush(Encoder.error(false, deed.code(), "as told", null));
                return;
            }
            ran.add(text);
            if (deed.kind() == Deed.Kind.RESET_AFTER) {
                ctx.close();
                return;
            }
            status(out.writeBytes(deed.answer().duplicate()), "role", role);
            status(out, "applied_ms", Long.toString(System.currentTimeMillis()));
            ctx.writeAndFlush(out.writeBytes(Encoder.ready()));
        }

        private void status(ByteBuf out, String name, String value) {
            message(out, 'S', Unpooled.wrappedBuffer((name + '\0' + value + '\0').getBytes(UTF_8)));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
