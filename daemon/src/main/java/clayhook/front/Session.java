package clayhook.front;

import clayhook.log.Log;
import clayhook.protocol.ClientDecoder;
import clayhook.protocol.ClientMessage;
import clayhook.protocol.Encoder;
import clayhook.protocol.Statement;
import clayhook.statements.SessionSettings;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;

/** One client's connection: one command after the other, each answered before the next is begun. */
public final class Session extends ChannelInboundHandlerAdapter {
    /** What a client may send ahead of its answers; one that sends more is ended after these. */
    private static final int MOST_AHEAD = 32;
    /** What a client that says nothing, or no whole message, is given; a client may be closed after 2 s without a command. */
    private static final double SILENT = 2.2;
    /** An answer that is not read for so long is dropped with its connection; above any client timeout. */
    private static final double UNREAD = 10;
    /** A client that has asked is spared so much longer; one that asked once and stays must not bar those that come. */
    private static final double SPARED = 2;
    /** The sending side is ended for so long before the rest: the client reads the error, and nothing more is read. */
    private static final int LINGER_MS = 100;

    /** Hears what sessions want. */
    public interface Listener {
        /** A command came; it gets one of the final answers below. */
        void taken(Session session, Statement statement);

        /** The same of a statement of any kind. */
        void asked(Session session, byte[] text);

        /** The client has gone before it got its answer. */
        void left(Session session);
    }

    private final Listener listener;
    private final Consumer<Session> ended;
    private final ClientDecoder decoder;
    private final DoubleSupplier clock;
    /** Null where only the two forms of statement are taken. */
    private final SessionSettings settings;
    private final ArrayDeque<Object> ahead = new ArrayDeque<>();
    /** Seconds; the position of its last write, for its own reads. */
    private double wroteAt;
    private ChannelHandlerContext context;
    private boolean started;
    private boolean waiting;
    private boolean skipping;
    private boolean ending;
    /** It sent more than may be ahead. */
    private boolean flooding;
    /** It has sent a command that was taken. */
    private boolean proven;
    /** When it connected or got its last answer, and since when part of a message has been there; 0 for none. */
    private double quietSince;
    private double partSince;
    /** It ends as soon as what it has taken is answered. */
    private boolean endSoon;

    Session(Listener listener, ClientDecoder decoder, SessionSettings settings, DoubleSupplier clock,
            Consumer<Session> ended) {
        this.settings = settings;
        this.listener = listener;
        this.decoder = decoder;
        this.clock = clock;
        this.ended = ended;
        quietSince = clock.getAsDouble();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (ending || flooding) {
            return;
        }
        partSince = 0;
        flooding = ahead.size() >= MOST_AHEAD;
        ahead.add(flooding ? new ClientMessage.Malformed("54000", "too many commands ahead") : message);
        if (flooding) {
            ctx.channel().config().setAutoRead(false);
        }
        next();
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        partSince = !decoder.holdsPart() ? 0 : partSince > 0 ? partSince : clock.getAsDouble();
    }

    private void next() {
        while (!waiting && !ending && !ahead.isEmpty() && context.channel().isWritable()) {
            Object message = ahead.poll();
            if (started) {
                handle(message);
            } else {
                begin(message);
            }
        }
        if (idle()) {
            decoder.release();
            if (endSoon) {
                end(Unpooled.EMPTY_BUFFER);
            }
        }
    }

    /** A client that does not read its answers gets no more of them. */
    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        next();
    }

    private void begin(Object message) {
        if (message instanceof ClientMessage.EncryptionRequest) {
            write(Encoder.noEncryption());
        } else if (message instanceof ClientMessage.Startup startup) {
            started = true;
            welcome(startup);
        } else if (message instanceof ClientMessage.Malformed malformed) {
            malformed(malformed);
        } else {
            context.close(); // a request to cancel: dispatches are not known to clients
        }
    }

    private void welcome(ClientMessage.Startup startup) {
        String fault = settings == null ? null : settings.introduced(startup.parameters());
        if (fault != null) {
            Log.warn("client", fault);
            end(Encoder.error(true, "0A000", fault, null));
            return;
        }
        Map<String, String> told = new LinkedHashMap<>();
        if (settings != null) {
            told.put("server_encoding", "UTF8");
            told.put("integer_datetimes", "on");
            told.put("session_authorization", settings.client().user());
            startup.parameters().forEach((name, value) -> {
                if (TOLD.contains(name)) {
                    told.put(name, value);
                }
            });
        }
        write(Encoder.welcome(startup.minor(), told));
    }

    /** Settings whose values servers tell, as they write them. */
    private static final List<String> TOLD = List.of("application_name", "DateStyle", "IntervalStyle", "TimeZone");

    private void sql(byte[] text) {
        SessionSettings.Reply reply = settings.asked(text);
        if (reply instanceof SessionSettings.Reply.Refused refused) {
            write(Encoder.error(false, "0A000", refused.why(), null));
        } else if (reply instanceof SessionSettings.Reply.Done done) {
            String told = TOLD.stream().filter(name -> name.equalsIgnoreCase(done.name())).findFirst().orElse(null);
            write(Encoder.completed(done.tag(), told, done.value()));
        } else {
            waiting = true;
            listener.asked(this, text);
        }
    }

    /** Its own among all sessions of this router. */
    public String name() {
        return context.channel().id().asLongText();
    }

    /** The log position in seconds that its reads must cover to see its own writes; 0 for none. */
    public double wroteAt() {
        return wroteAt;
    }

    public void wrote(double position) {
        wroteAt = Math.max(wroteAt, position);
    }

    /** What the client has set; null where only the two forms of statement are taken. */
    public SessionSettings settings() {
        return settings;
    }

    private void handle(Object message) {
        if (skipping && !(message instanceof ClientMessage.Sync || message instanceof ClientMessage.Terminate
                || message instanceof ClientMessage.Malformed)) {
            return;
        }
        if (message instanceof ClientMessage.Query query) {
            waiting = true;
            proven = true;
            listener.taken(this, query.statement());
        } else if (message instanceof ClientMessage.Sql query) {
            proven = true;
            sql(query.text());
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
    public void answered(List<byte[]> messages) {
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
    public void rejected(String code, String why) {
        conclude(Encoder.error(false, code, why, null));
    }

    private void conclude(ByteBuf bytes) {
        if (waiting) {
            waiting = false;
            quietSince = clock.getAsDouble();
            write(bytes);
            next();
        } else {
            bytes.release();
        }
    }

    boolean idle() {
        return !waiting && !ending && ahead.isEmpty();
    }

    /** It has asked and got its answer. */
    boolean atRest() {
        return proven && idle();
    }

    /** Something it sent is owed an answer. */
    boolean busy() {
        return waiting || !ahead.isEmpty();
    }

    /** Which of those without a command goes first: what has ended, then what has been quiet longest. */
    double worth() {
        return ending ? 0 : quietSince + (proven ? SPARED : 0);
    }

    /** Ends it if it has been silent for too long. */
    void sweep(double now) {
        if (!waiting && !context.channel().isWritable() && now > quietSince + UNREAD) {
            context.close();
        }
        boolean half = partSince > 0 && now > partSince + SILENT;
        if (idle() && (half || !proven && now > quietSince + SILENT)) {
            Log.warn("client", half ? "half a message" : "a client that says nothing");
            end(Encoder.error(true, "57P05", "no whole command came in time", null));
        }
    }

    /** Answers what it has taken, then ends. */
    void end() {
        endSoon = true;
        next();
    }

    /** Ends it at once; only without a command. */
    void close() {
        context.close();
    }

    private void end(ByteBuf last) {
        ending = true;
        ahead.clear();
        decoder.release();
        ChannelHandlerContext ctx = context;
        ctx.channel().config().setAutoRead(false);
        ctx.writeAndFlush(last).addListener(done -> {
            if (ctx.channel() instanceof DuplexChannel socket) {
                socket.shutdownOutput();
            }
        });
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
