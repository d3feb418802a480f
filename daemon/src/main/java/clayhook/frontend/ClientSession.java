package clayhook.frontend;

import clayhook.log.Log;
import clayhook.protocol.ClientMessage;
import clayhook.protocol.ClientMessageDecoder;
import clayhook.protocol.KeyValueStatement;
import clayhook.protocol.MessageEncoder;
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
public final class ClientSession extends ChannelInboundHandlerAdapter {
    /** What a client may send ahead of its answers; one that sends more is ended after these. */
    private static final int MAX_PENDING_MESSAGES = 32;
    /**
     * What a client that says nothing, or no whole message, is given; a client may be closed after 2 s without a
     * command.
     */
    private static final double IDLE_TIMEOUT_SECONDS = 2.2;
    /** An answer that is not read for so long is dropped with its connection; above any client timeout. */
    private static final double UNREAD_RESPONSE_TIMEOUT_SECONDS = 10;
    /** A client that has asked is spared so much longer; one that asked once and stays must not bar those that come. */
    private static final double ACTIVE_CLIENT_BONUS_SECONDS = 2;
    /** Reads of a session in one turn: a long statement in two, and one that looks for the client's end behind it. */
    private static final int READS_PER_TICK = 3;
    /**
     * Reads on until nothing is left. Guards against work for clients that left while the process stood still: their
     * end is read together with their commands, before any of these goes on.
     */
    private static final RecvByteBufAllocator READ_UNTIL_EMPTY =
            new AdaptiveRecvByteBufAllocator().respectMaybeMoreData(false).maxMessagesPerRead(READS_PER_TICK);

    /** Hears what sessions want. */
    public interface RequestHandler {
        /** A command came; it gets one of the final answers below. */
        void onKeyValueStatement(ClientSession session, KeyValueStatement statement);

        /** The same of a statement of any kind. */
        void onSqlStatement(ClientSession session, byte[] text);

        /** The client has gone before it got its answer. */
        void onClientGone(ClientSession session);

        /**
         * The client wants its command stopped; that gets {@link #respondCancelled(boolean)} unless its answer is on
         * its way.
         */
        void onCancelRequest(ClientSession session);
    }

    private final RequestHandler requestHandler;
    private final Consumer<ClientSession> onClosed;
    private final ClientMessageDecoder decoder;
    private final CancelKeyRegistry cancelKeys;
    private final DoubleSupplier clock;
    /** Null where only the two forms of statement are taken. */
    private final SessionSettings settings;

    private final ArrayDeque<Object> pendingMessages = new ArrayDeque<>();
    /** Seconds; the position of its last write, for its own reads. */
    private double lastWritePosition;

    private ChannelHandlerContext context;
    private boolean startupDone;
    private boolean awaitingResponse;
    private boolean skippingToSync;
    private boolean closing;
    /** Null as long as what comes is taken. */
    private LingeringClose lingeringClose;
    /** Writes that the system has not taken whole yet. */
    private int pendingWrites;
    /** By which its commands are cancelled. */
    private long cancelKey = ClientMessageDecoder.NO_CANCEL_KEY;

    private final double connectedAt;
    /** When the command in hand was begun. */
    private double requestStartedAt;
    /** It has sent a command that was taken. */
    private boolean hasSentRequest;
    /** When it connected or got its last answer, and since when part of a message has been there; 0 for none. */
    private double quietSince;

    private double partialMessageSince;
    /** It ends as soon as what it has taken is answered; and what had come by then was looked for once more. */
    private boolean draining;

    private boolean finalReadDone;

    ClientSession(
            RequestHandler listener,
            ClientMessageDecoder decoder,
            SessionSettings settings,
            CancelKeyRegistry keys,
            DoubleSupplier clock,
            Consumer<ClientSession> ended) {
        this.cancelKeys = keys;
        this.settings = settings;
        this.requestHandler = listener;
        this.decoder = decoder;
        this.clock = clock;
        this.onClosed = ended;
        connectedAt = clock.getAsDouble();
        quietSince = connectedAt;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
        ctx.channel().config().setRecvByteBufAllocator(READ_UNTIL_EMPTY);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (lingeringClose != null) {
            return;
        }
        partialMessageSince = 0;
        boolean flooding = pendingMessages.size() >= MAX_PENDING_MESSAGES;
        pendingMessages.add(flooding ? new ClientMessage.Malformed("54000", "too many commands ahead") : message);
        if (flooding) {
            discardFurtherInput();
        }
        processPendingMessages();
    }

    private void discardFurtherInput() {
        if (lingeringClose == null) {
            lingeringClose = LingeringClose.begin(context.channel());
            decoder.discardInput();
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        partialMessageSince =
                !decoder.hasPartialMessage() ? 0 : partialMessageSince > 0 ? partialMessageSince : clock.getAsDouble();
        closeIfDrained();
    }

    private void processPendingMessages() {
        while (!awaitingResponse
                && !closing
                && !pendingMessages.isEmpty()
                && context.channel().isWritable()) {
            Object message = pendingMessages.poll();
            if (startupDone) {
                handleMessage(message);
            } else {
                handleBeforeStartup(message);
            }
        }
        if (isIdle()) {
            decoder.releaseMemory();
        }
        closeIfDrained();
    }

    /** A command that came before the sending side ends is answered; what comes later its client sends once more. */
    private void closeIfDrained() {
        if (!draining || !isQuiescent()) {
            return;
        } else if (finalReadDone) {
            drain(Unpooled.EMPTY_BUFFER);
            return;
        }
        afterPendingReads(() -> {
            finalReadDone = true;
            closeIfDrained();
        });
    }

    /** Runs it once all that has come by now is read: what a task of the loop schedules runs after a round of reads. */
    private void afterPendingReads(Runnable step) {
        EventExecutor loop = context.executor();
        loop.execute(() -> loop.schedule(step, 0, TimeUnit.NANOSECONDS));
    }

    /** A client that does not read its answers gets no more of them. */
    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        processPendingMessages();
    }

    private void handleBeforeStartup(Object message) {
        if (message instanceof ClientMessage.EncryptionRequest) {
            write(MessageEncoder.encryptionRefused());
        } else if (message instanceof ClientMessage.Startup startup) {
            startupDone = true;
            completeStartup(startup);
        } else if (message instanceof ClientMessage.Malformed malformed) {
            rejectMalformed(malformed);
        } else if (message instanceof ClientMessage.CancelRequest request) {
            ClientSession session = cancelKeys.find(request.key());
            if (session != null) {
                session.cancelRequestStartedBy(connectedAt);
            }
            drain(Unpooled.EMPTY_BUFFER); // no answer tells whether the key was right
        }
    }

    private void completeStartup(ClientMessage.Startup startup) {
        String fault = settings == null ? null : settings.introduced(startup.parameters());
        if (fault != null) {
            Log.warn("client", fault);
            drain(MessageEncoder.error(true, "0A000", fault, null));
            return;
        }
        Map<String, String> told = new LinkedHashMap<>();
        if (settings != null) {
            told.put("server_encoding", "UTF8");
            told.put("integer_datetimes", "on");
            told.put("session_authorization", settings.client().user());
            startup.parameters().forEach((name, value) -> {
                if (REPORTED_PARAMETERS.contains(name)) {
                    told.put(name, value);
                }
            });
        }
        cancelKey = cancelKeys.register(this);
        write(MessageEncoder.startupResponse(startup.minorVersion(), cancelKey, told));
    }

    /** Guards against stopping the next command for one whose answer crossed the request to cancel it. */
    private void cancelRequestStartedBy(double requestedAt) {
        if (awaitingResponse && requestStartedAt <= requestedAt) {
            requestHandler.onCancelRequest(this);
        }
    }

    /** Settings whose values servers tell, as they write them. */
    private static final List<String> REPORTED_PARAMETERS =
            List.of("application_name", "DateStyle", "IntervalStyle", "TimeZone");

    private void handleSql(byte[] text) {
        SessionSettings.Reply reply = settings.asked(text);
        if (reply instanceof SessionSettings.Reply.Refused refused) {
            write(MessageEncoder.error(false, "0A000", refused.why(), null));
        } else if (reply instanceof SessionSettings.Reply.Done done) {
            String told = REPORTED_PARAMETERS.stream()
                    .filter(name -> name.equalsIgnoreCase(done.name()))
                    .findFirst()
                    .orElse(null);
            write(MessageEncoder.commandComplete(done.tag(), told, done.value()));
        } else {
            beginRequest();
            requestHandler.onSqlStatement(this, text);
        }
    }

    private void beginRequest() {
        awaitingResponse = true;
        requestStartedAt = clock.getAsDouble();
    }

    /** The client has closed, though that may not have been told yet. */
    public boolean isClientGone() {
        return !context.channel().isActive();
    }

    /** Its own among all sessions of this router. */
    public String id() {
        return context.channel().id().asLongText();
    }

    /** The log position in seconds that its reads must cover to see its own writes; 0 for none. */
    public double lastWritePosition() {
        return lastWritePosition;
    }

    public void recordWrite(double position) {
        lastWritePosition = Math.max(lastWritePosition, position);
    }

    /** What the client has set; null where only the two forms of statement are taken. */
    public SessionSettings settings() {
        return settings;
    }

    private void handleMessage(Object message) {
        if (skippingToSync
                && !(message instanceof ClientMessage.Sync
                        || message instanceof ClientMessage.Terminate
                        || message instanceof ClientMessage.Malformed)) {
            return;
        }
        if (message instanceof ClientMessage.Query query) {
            beginRequest();
            hasSentRequest = true;
            requestHandler.onKeyValueStatement(this, query.statement());
        } else if (message instanceof ClientMessage.SqlQuery query) {
            hasSentRequest = true;
            handleSql(query.text());
        } else if (message instanceof ClientMessage.EmptyQuery) {
            write(MessageEncoder.emptyQueryResponse());
        } else if (message instanceof ClientMessage.UnreadableQuery unreadable) {
            Log.warn("client", "unreadable statement: " + unreadable.reason());
            write(MessageEncoder.error(false, "42601", unreadable.reason(), null));
        } else if (message instanceof ClientMessage.Extended) {
            skippingToSync = true;
            write(MessageEncoder.errorWithoutReadiness("0A000", "only simple queries are taken"));
        } else if (message instanceof ClientMessage.Sync) {
            skippingToSync = false;
            write(MessageEncoder.readyForQuery());
        } else if (message instanceof ClientMessage.FunctionCall) {
            write(MessageEncoder.error(false, "0A000", "there are no functions to call", null));
        } else if (message instanceof ClientMessage.Terminate) {
            drain(Unpooled.EMPTY_BUFFER); // as servers do: what was sent before it is answered before it counts
        } else if (message instanceof ClientMessage.Malformed malformed) {
            rejectMalformed(malformed);
        }
    }

    private void rejectMalformed(ClientMessage.Malformed malformed) {
        Log.warn("client", "malformed: " + malformed.reason());
        drain(MessageEncoder.error(true, malformed.sqlState(), malformed.reason(), null));
    }

    private void write(ByteBuf bytes) {
        pendingWrites++;
        context.writeAndFlush(bytes).addListener(onFlushed);
    }

    private final ChannelFutureListener onFlushed = done -> {
        pendingWrites--;
        closeIfDrained();
    };

    /** The messages of the answer as the node gave them. */
    public void respondWithResult(List<byte[]> messages) {
        respond(MessageEncoder.response(messages));
    }

    /** Trying again is harmless, best after so many seconds; 0 for no advice. */
    public void respondRejected(double advice) {
        String detail = advice > 0 ? Long.toString(Math.round(advice * 1000)) : null;
        respond(MessageEncoder.error(false, "53300", "throttled", detail));
    }

    /** The command may have run. */
    public void respondInDoubt() {
        respond(MessageEncoder.error(false, "40003", "it is not known whether the statement has run", null));
    }

    /** The client wanted it stopped. */
    public void respondCancelled(boolean mayHaveRun) {
        respond(MessageEncoder.error(
                false,
                "57014",
                mayHaveRun
                        ? "cancelled; it is not known whether the statement has run"
                        : "cancelled; the statement has not run",
                null));
    }

    /** The statement could not be taken. */
    public void respondWithError(String code, String why) {
        respond(MessageEncoder.error(false, code, why, null));
    }

    private void respond(ByteBuf bytes) {
        if (awaitingResponse) {
            awaitingResponse = false;
            quietSince = clock.getAsDouble();
            write(bytes);
            processPendingMessages();
        } else {
            bytes.release();
        }
    }

    private boolean isIdle() {
        return !awaitingResponse && !closing && pendingMessages.isEmpty();
    }

    /** Between commands: all answers have gone out, and no part of the next command has come. */
    private boolean isQuiescent() {
        return isIdle() && pendingWrites == 0 && !decoder.hasPartialMessage();
    }

    /** It has asked and got its answer. */
    boolean isIdleAfterRequest() {
        return hasSentRequest && isQuiescent();
    }

    /** It is owed an answer or the rest of one, or is in the middle of a command. */
    boolean isBusy() {
        return pendingWrites > 0 || !closing && !isQuiescent();
    }

    /** Which of those without a command goes first: what has ended, then what has been quiet longest. */
    double evictionRank() {
        return closing ? 0 : quietSince + (hasSentRequest ? ACTIVE_CLIENT_BONUS_SECONDS : 0);
    }

    /** Ends it if it has been silent for too long. */
    void closeIfIdleTooLong(double now) {
        if (!awaitingResponse && pendingWrites > 0 && now > quietSince + UNREAD_RESPONSE_TIMEOUT_SECONDS) {
            context.close();
        } else if (timeoutReason(now) != null) {
            // Guards against taking this router's own stand for the client's silence.
            afterPendingReads(() -> {
                String why = timeoutReason(now);
                if (why != null) {
                    Log.warn("client", why);
                    drain(MessageEncoder.error(true, "57P05", "no whole command came in time", null));
                }
            });
        }
    }

    /** In what it has been so, or null. */
    private String timeoutReason(double now) {
        return !isIdle()
                ? null
                : partialMessageSince > 0 && now > partialMessageSince + IDLE_TIMEOUT_SECONDS
                        ? "half a message"
                        : !hasSentRequest && now > quietSince + IDLE_TIMEOUT_SECONDS
                                ? "a client that says nothing"
                                : null;
    }

    /** Answers what it has taken and what has come by now, then ends. */
    void drain() {
        draining = true;
        closeIfDrained();
    }

    /** Ends it at once, to make room; only when it is not busy. */
    void evict() {
        if (!closing) {
            drain(Unpooled.EMPTY_BUFFER);
        }
        // Guards against a reset over a command that has just come, which may overtake the last answer.
        afterPendingReads(context::close);
    }

    private void drain(ByteBuf last) {
        closing = true;
        pendingMessages.clear();
        quietSince = clock.getAsDouble();
        discardFurtherInput();
        decoder.releaseMemory();
        pendingWrites++;
        lingeringClose.finish(last, () -> pendingWrites--);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        closing = true;
        pendingMessages.clear();
        cancelKeys.remove(cancelKey);
        if (awaitingResponse) {
            awaitingResponse = false;
            requestHandler.onClientGone(this);
        }
        onClosed.accept(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof IOException)) {
            Log.error("a client session failed", cause);
        }
        ctx.close();
    }
}
