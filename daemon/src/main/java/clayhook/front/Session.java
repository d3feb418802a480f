package clayhook.front;

import clayhook.log.Log;
import clayhook.protocol.ClientDecoder;
import clayhook.protocol.ClientMessage;
import clayhook.protocol.Encoder;
import clayhook.protocol.Statement;
import clayhook.statements.SessionSettings;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.util.concurrent.EventExecutor;
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
    /**
     * What a client that says nothing, or no whole message, is given; a client may be closed after 2 s without a
     * command.
     */
    private static final double SILENT = 2.2;
    /** An answer that is not read for so long is dropped with its connection; above any client timeout. */
    private static final double UNREAD = 10;
    /** A client that has asked is spared so much longer; one that asked once and stays must not bar those that come. */
    private static final double SPARED = 2;
    /** Reads of a session in one turn: a long statement in two, and one that looks for the client's end behind it. */
    private static final int READS = 3;
    /**
     * Reads on until nothing is left. Guards against work for clients that left while the process stood still: their
     * end is read together with their commands, before any of these goes on.
     */
    private static final RecvByteBufAllocator TO_THE_LAST =
            new AdaptiveRecvByteBufAllocator().respectMaybeMoreData(false).maxMessagesPerRead(READS);

    /** Hears what sessions want. */
    public interface Listener {
        /** A command came; it gets one of the final answers below. */
        void taken(Session session, Statement statement);

        /** The same of a statement of any kind. */
        void asked(Session session, byte[] text);

        /** The client has gone before it got its answer. */
        void left(Session session);

        /**
         * The client wants its command stopped; that gets {@link #cancelled(boolean)} unless its answer is on its way.
         */
        void cancelled(Session session);
    }

    private final Listener listener;
    private final Consumer<Session> ended;
    private final ClientDecoder decoder;
    private final CancelKeys keys;
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
    /** Null as long as what comes is taken. */
    private OrderlyClose close;
    /** Writes that the system has not taken whole yet. */
    private int unflushed;
    /** By which its commands are cancelled. */
    private long cancelKey = ClientDecoder.NO_KEY;

    private final double connectedAt;
    /** When the command in hand was begun. */
    private double begunAt;
    /** It has sent a command that was taken. */
    private boolean proven;
    /** When it connected or got its last answer, and since when part of a message has been there; 0 for none. */
    private double quietSince;

    private double partSince;
    /** It ends as soon as what it has taken is answered; and what had come by then was looked for once more. */
    private boolean endSoon;

    private boolean lookedOnce;

    Session(
            Listener listener,
            ClientDecoder decoder,
            SessionSettings settings,
            CancelKeys keys,
            DoubleSupplier clock,
            Consumer<Session> ended) {
        this.keys = keys;
        this.settings = settings;
        this.listener = listener;
        this.decoder = decoder;
        this.clock = clock;
        this.ended = ended;
        connectedAt = clock.getAsDouble();
        quietSince = connectedAt;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
        ctx.channel().config().setRecvByteBufAllocator(TO_THE_LAST);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (close != null) {
            return;
        }
        partSince = 0;
        boolean flooding = ahead.size() >= MOST_AHEAD;
        ahead.add(flooding ? new ClientMessage.Malformed("54000", "too many commands ahead") : message);
        if (flooding) {
            takeNoMore();
        }
        next();
    }

    private void takeNoMore() {
        if (close == null) {
            close = OrderlyClose.begin(context.channel());
            decoder.discard();
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        partSince = !decoder.holdsPart() ? 0 : partSince > 0 ? partSince : clock.getAsDouble();
        endIfDone();
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
        }
        endIfDone();
    }

    /** A command that came before the sending side ends is answered; what comes later its client sends once more. */
    private void endIfDone() {
        if (!endSoon || !rests()) {
            return;
        } else if (lookedOnce) {
            end(Unpooled.EMPTY_BUFFER);
            return;
        }
        afterNextReads(() -> {
            lookedOnce = true;
            endIfDone();
        });
    }

    /** Runs it once all that has come by now is read: what a task of the loop schedules runs after a round of reads. */
    private void afterNextReads(Runnable step) {
        EventExecutor loop = context.executor();
        loop.execute(() -> loop.schedule(step, 0, TimeUnit.NANOSECONDS));
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
        } else if (message instanceof ClientMessage.CancelRequest request) {
            Session session = keys.of(request.key());
            if (session != null) {
                session.cancel(connectedAt);
            }
            end(Unpooled.EMPTY_BUFFER); // no answer tells whether the key was right
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
        cancelKey = keys.give(this);
        write(Encoder.welcome(startup.minor(), cancelKey, told));
    }

    /** Guards against stopping the next command for one whose answer crossed the request to cancel it. */
    private void cancel(double requestedAt) {
        if (waiting && begunAt <= requestedAt) {
            listener.cancelled(this);
        }
    }

    /** Settings whose values servers tell, as they write them. */
    private static final List<String> TOLD = List.of("application_name", "DateStyle", "IntervalStyle", "TimeZone");

    private void sql(byte[] text) {
        SessionSettings.Reply reply = settings.asked(text);
        if (reply instanceof SessionSettings.Reply.Refused refused) {
            write(Encoder.error(false, "0A000", refused.why(), null));
        } else if (reply instanceof SessionSettings.Reply.Done done) {
            String told = TOLD.stream()
                    .filter(name -> name.equalsIgnoreCase(done.name()))
                    .findFirst()
                    .orElse(null);
            write(Encoder.completed(done.tag(), told, done.value()));
        } else {
            await();
            listener.asked(this, text);
        }
    }

    private void await() {
        waiting = true;
        begunAt = clock.getAsDouble();
    }

    /** The client has closed, though that may not have been told yet. */
    public boolean gone() {
        return !context.channel().isActive();
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
        if (skipping
                && !(message instanceof ClientMessage.Sync
                        || message instanceof ClientMessage.Terminate
                        || message instanceof ClientMessage.Malformed)) {
            return;
        }
        if (message instanceof ClientMessage.Query query) {
            await();
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
            end(Unpooled.EMPTY_BUFFER); // as servers do: what was sent before it is answered before it counts
        } else if (message instanceof ClientMessage.Malformed malformed) {
            malformed(malformed);
        }
    }

    private void malformed(ClientMessage.Malformed malformed) {
        Log.warn("client", "malformed: " + malformed.why());
        end(Encoder.error(true, malformed.code(), malformed.why(), null));
    }

    private void write(ByteBuf bytes) {
        unflushed++;
        context.writeAndFlush(bytes).addListener(flushed);
    }

    private final ChannelFutureListener flushed = done -> {
        unflushed--;
        endIfDone();
    };

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

    /** The client wanted it stopped. */
    public void cancelled(boolean mayHaveRun) {
        conclude(Encoder.error(
                false,
                "57014",
                mayHaveRun
                        ? "cancelled; it is not known whether the statement has run"
                        : "cancelled; the statement has not run",
                null));
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

    private boolean idle() {
        return !waiting && !ending && ahead.isEmpty();
    }

    /** Between commands: all answers have gone out, and no part of the next command has come. */
    private boolean rests() {
        return idle() && unflushed == 0 && !decoder.holdsPart();
    }

    /** It has asked and got its answer. */
    boolean atRest() {
        return proven && rests();
    }

    /** It is owed an answer or the rest of one, or is in the middle of a command. */
    boolean busy() {
        return unflushed > 0 || !ending && !rests();
    }

    /** Which of those without a command goes first: what has ended, then what has been quiet longest. */
    double worth() {
        return ending ? 0 : quietSince + (proven ? SPARED : 0);
    }

    /** Ends it if it has been silent for too long. */
    void sweep(double now) {
        if (!waiting && unflushed > 0 && now > quietSince + UNREAD) {
            context.close();
        } else if (tooSlow(now) != null) {
            // Guards against taking this router's own stand for the client's silence.
            afterNextReads(() -> {
                String why = tooSlow(now);
                if (why != null) {
                    Log.warn("client", why);
                    end(Encoder.error(true, "57P05", "no whole command came in time", null));
                }
            });
        }
    }

    /** In what it has been so, or null. */
    private String tooSlow(double now) {
        return !idle()
                ? null
                : partSince > 0 && now > partSince + SILENT
                        ? "half a message"
                        : !proven && now > quietSince + SILENT ? "a client that says nothing" : null;
    }

    /** Answers what it has taken and what has come by now, then ends. */
    void end() {
        endSoon = true;
        endIfDone();
    }

    /** Ends it at once, to make room; only when it is not busy. */
    void close() {
        if (!ending) {
            end(Unpooled.EMPTY_BUFFER);
        }
        // Guards against a reset over a command that has just come, which may overtake the last answer.
        afterNextReads(context::close);
    }

    private void end(ByteBuf last) {
        ending = true;
        ahead.clear();
        quietSince = clock.getAsDouble();
        takeNoMore();
        decoder.release();
        unflushed++;
        close.end(last, () -> unflushed--);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        ending = true;
        ahead.clear();
        keys.take(cancelKey);
        if (waiting) {
            waiting = false;
            listener.left(this);
        }
        ended.accept(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof IOException)) {
            Log.error("a client session failed", cause);
        }
        ctx.close();
    }
}
