package clayhook.front;

import clayhook.protocol.ClientMessage;
import clayhook.protocol.Encoder;
import clayhook.protocol.Statement;
import clayhook.serve.Log;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** One client's connection: one command after the other, each answered before the next is begun. */
public final class Session extends ChannelInboundHandlerAdapter {
    /** What a client may send ahead; more is left unread in the connection. */
    private static final int MOST_AHEAD = 16;
    /** What was sent before a fatal error is read for so long, so that the error reaches the client. */
    private static final int LINGER_MS = 2000;

    /** Hears what sessions want. */
    public interface Listener {
        /** A command came; it gets one of the final answers below. */
        void taken(Session session, Statement statement);

        /** The client has gone before it got its answer. */
        void left(Session session);
    }

    private final Listener listener;
    private final Consumer<Session> ended;
    /** Takes no commands, as there are no descriptors for more. */
    private final boolean turnedAway;
    private final ArrayDeque<Object> ahead = new ArrayDeque<>();
    private ChannelHandlerContext context;
    private boolean started;
    private boolean waiting;
    private boolean skipping;
    private boolean ending;
    /** It ends as soon as what it has taken is answered. */
    private boolean endSoon;

    Session(Listener listener, boolean turnedAway, Consumer<Session> ended) {
        this.listener = listener;
        this.ended = ended;
        this.turnedAway = turnedAway;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (ending) {
            return;
        }
        ahead.add(message);
        if (ahead.size() >= MOST_AHEAD) {
            ctx.channel().config().setAutoRead(false);
        }
        next();
    }

    private void next() {
        while (!waiting && !ending && !ahead.isEmpty()) {
            Object message = ahead.poll();
            if (ahead.isEmpty()) {
                context.channel().config().setAutoRead(true);
            }
            if (started) {
                handle(message);
            } else {
                begin(message);
            }
        }
        if (endSoon && idle()) {
            end(Unpooled.EMPTY_BUFFER);
        }
    }

    private void begin(Object message) {
        if (message instanceof ClientMessage.EncryptionRequest) {
            write(Encoder.noEncryption());
        } else if (message instanceof ClientMessage.Startup startup && !turnedAway) {
            started = true;
            write(Encoder.welcome(startup.minor()));
        } else if (message instanceof ClientMessage.Startup) {
            end(Encoder.error(true, "53300", "no descriptors are left for more clients", null));
        } else if (message instanceof ClientMessage.Malformed malformed) {
            malformed(malformed);
        } else {
            context.close(); // a request to cancel: dispatches are not known to clients
        }
    }

    private void handle(Object message) {
        if (skipping && !(message instanceof ClientMessage.Sync || message instanceof ClientMessage.Terminate
                || message instanceof ClientMessage.Malformed)) {
            return;
        }
        if (message instanceof ClientMessage.Query query) {
            waiting = true;
            listener.taken(this, query.statement());
        } else if (message instanceof ClientMessage.EmptyQuery) {
            write(Encoder.emptyQueryResponse());
        } else if (message instanceof ClientMessage.UnreadableQuery unreadable) {
            Log.warn("client", "unreadable statement: " + unreadable.why());
            write(Encoder.error(false, "42601", unreadable.why(), null));
        } else if (message instanceof ClientMessage.Extended) {
            skipping = true;
            write(Encoder.extendedError("0A000", "only simple queries are taken"));
        } else if (message instanceof ClientMessage.Sync) {
            skipping = false;
            write(Encoder.ready());
        } else if (message instanceof ClientMessage.FunctionCall) {
            write(Encoder.error(false, "0A000", "there are no functions to call", null));
        } else if (message instanceof ClientMessage.Terminate) {
            context.close();
        } else if (message instanceof ClientMessage.Malformed malformed) {
            malformed(malformed);
        }
    }

    private void malformed(ClientMessage.Malformed malformed) {
        Log.warn("client", "malformed: " + malformed.why());
        end(Encoder.error(true, malformed.code(), malformed.why(), null));
    }

    private void write(ByteBuf bytes) {
        context.writeAndFlush(bytes);
    }

    /** The messages of the answer as the node gave them. */
    public void answered(byte[] messages) {
        conclude(Encoder.answer(messages));
    }

    /** Trying again is harmless, best after so many seconds; 0 for no advice. */
    public void throttled(double advice) {
        String detail = advice > 0 ? Long.toString(Math.round(advice * 1000)) : null;
        conclude(Encoder.error(false, "53300", "throttled", detail));
    }

    /** The command may have run. */
    public void failed() {
        conclude(Encoder.error(false, "40003", "it is not known whether the statement has run", null));
    }

    /** The statement could not be taken. */
    public void rejected(String why) {
        conclude(Encoder.error(false, "42601", why, null));
    }

    private void conclude(ByteBuf bytes) {
        if (waiting) {
            waiting = false;
            write(bytes);
            next();
        } else {
            bytes.release();
        }
    }

    boolean idle() {
        return !waiting && !ending && ahead.isEmpty();
    }

    /** Answers what it has taken, then ends the sending side, and the rest once the client has done so too. */
    void end() {
        endSoon = true;
        next();
    }

    private void end(ByteBuf last) {
        ending = true;
        context.channel().config().setAutoRead(true);
        ChannelHandlerContext ctx = context;
        ctx.writeAndFlush(last).addListener(done -> ((DuplexChannel) ctx.channel()).shutdownOutput());
        ctx.executor().schedule(() -> ctx.close(), LINGER_MS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (waiting) {
            waiting = false;
            listener.left(this);
        }
        ending = true;
        ended.accept(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof IOException)) {
            Log.fault("a client session failed", cause);
        }
        ctx.close();
    }
}
