package clayhook.frontend;

import clayhook.log.Log;
import clayhook.protocol.ClientMessage;
import clayhook.protocol.ClientMessageDecoder;
import clayhook.protocol.KeyValueStatement;
import clayhook.protocol.MessageEncoder;
import clayhook.statements.SessionSettings;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import java.util.function.Function;

/**
 * The state machine of one client connection. Requests are handled in order, one at a time: each is answered before the
 * next one begins.
 *
 * <p>{@link ClientMessageDecoder} parses the bytes, {@link ClientConnection} reads, writes and closes,
 * {@link PendingMessages} holds what the client sent ahead, and {@link SessionActivity} knows the time limits.
 *
 * <p>Event loop only: all methods are called on the event loop of the connection.
 */
public final class ClientSession {
    /** Receives the requests of all sessions, on the event loop. */
    public interface RequestHandler {
        /** A statement of one of the two fixed forms arrived; it must get exactly one response. */
        void onKeyValueStatement(ClientSession session, KeyValueStatement statement);

        /** A statement of any kind arrived, as the bytes that the client sent; it must get exactly one response. */
        void onSqlStatement(ClientSession session, byte[] text);

        /** The client closed its connection before its request was answered; no response is due any more. */
        void onClientGone(ClientSession session);

        /** The client cancels its request, which gets {@link #respondCancelled} unless its response was sent first. */
        void onCancelRequest(ClientSession session);
    }

    private enum State {
        /** No start-up message has arrived. */
        STARTUP,
        /** The next message is handled as soon as it arrives. */
        READY,
        /** A request is being handled; later messages wait. */
        AWAITING_RESPONSE,
        /** A message of the extended query protocol was rejected: everything up to the next Sync is skipped. */
        SKIPPING_TO_SYNC,
        /** The connection is closing or closed; no message is handled any more. */
        CLOSING
    }

    private final RequestHandler requestHandler;
    private final Consumer<ClientSession> onClosed;
    private final CancelKeyRegistry cancelKeys;
    private final ConnectionEnds ends;
    private final DoubleSupplier clock;
    /** Null where only the two fixed forms of statement are accepted. */
    private final SessionSettings settings;

    private final PendingMessages pendingMessages = new PendingMessages();
    private final SessionActivity activity;
    private final ClientConnection connection;
    private State state = State.STARTUP;
    private long cancelKey = ClientMessageDecoder.NO_CANCEL_KEY;
    /** Clock time in seconds. */
    private final double connectedAt;
    /** When the current request began; clock time in seconds. */
    private double requestStartedAt;
    /** Log position in seconds; 0 for no write. */
    private double lastWritePosition;
    /** The session closes as soon as everything received has been answered. */
    private boolean draining;
    /** While draining: everything that arrived before has been read, and requests that still come are refused. */
    private boolean admissionOver;

    private boolean endScheduled;
    /** Why the router drains this session. */
    private EndCause drainCause;
    /** Why the connection ends; the client has left unless the router ended it before. */
    private EndCause endCause = EndCause.CLIENT_LEFT;
    /** Messages that had been decoded and not handled when the router ended the connection. */
    private int unansweredMessages;

    /**
     * Creates the session of a new connection.
     *
     * @param settings null where only the two fixed forms of statement are accepted
     * @param ends records the end of the connection
     * @param clock the time in seconds
     * @param onClosed called once the connection is closed
     */
    ClientSession(
            RequestHandler requestHandler,
            ClientMessageDecoder decoder,
            SessionSettings settings,
            CancelKeyRegistry cancelKeys,
            ConnectionEnds ends,
            DoubleSupplier clock,
            Consumer<ClientSession> onClosed) {
        this.requestHandler = requestHandler;
        this.settings = settings;
        this.cancelKeys = cancelKeys;
        this.ends = ends;
        this.clock = clock;
        this.onClosed = onClosed;
        connection = new ClientConnection(decoder, this);
        connectedAt = clock.getAsDouble();
        activity = new SessionActivity(connectedAt);
    }

    /** The channel handler of the connection; it stands behind the decoder. */
    ClientConnection connection() {
        return connection;
    }

    // ---- what the request handler asks ----

    /** Whether the client has closed its connection, which may not have been reported to the request handler yet. */
    public boolean isClientGone() {
        return !connection.isOpen();
    }

    /** An id that is unique among the sessions of this router. */
    public String id() {
        return connection.id();
    }

    /** The log position in seconds that reads of this session must cover to see its own writes; 0 for none. */
    public double lastWritePosition() {
        return lastWritePosition;
    }

    /** Records that a write of this session was committed at a log position, in seconds. */
    public void recordWrite(double position) {
        lastWritePosition = Math.max(lastWritePosition, position);
    }

    /** The settings that the client has made; null where only the two fixed forms of statement are accepted. */
    public SessionSettings settings() {
        return settings;
    }

    // ---- events of the connection ----

    /** A message arrived. */
    void onMessage(Object message) {
        activity.onMessage();
        boolean accepted = pendingMessages.add(message);
        if (!accepted) {
            connection.discardInput();
        }
        if (!admissionOver) {
            processPendingMessages();
        } // else once all that has arrived is read: the last answer ends the connection
    }

    /** Everything that had arrived is read, and passed to {@link #onMessage} but for a partial message. */
    void onReadComplete() {
        activity.onReadComplete(connection.hasPartialMessage(), clock);
        processPendingMessages();
    }

    /** The client reads its responses again, or no longer; while it does not, no further request is handled. */
    void onWritabilityChanged() {
        processPendingMessages();
    }

    /** A write has completed or failed. */
    void onWritten() {
        closeIfDrained();
    }

    /** The connection is closed, by either side. */
    void onDisconnect() {
        boolean responseDue = state == State.AWAITING_RESPONSE;
        state = State.CLOSING;
        pendingMessages.clear();
        cancelKeys.remove(cancelKey);
        ends.record(endCause, connection.clientAddress(), unansweredMessages, connection.discardedBytes());
        if (responseDue) {
            requestHandler.onClientGone(this);
        }
        onClosed.accept(this);
    }

    /** Handling an event of the connection threw an exception: the request in hand, if any, gets an error. */
    void onFault() {
        if (state == State.CLOSING) {
            connection.closeNow();
            return;
        }
        boolean responseDue = state == State.AWAITING_RESPONSE;
        closeAfter(EndCause.SESSION_FAULT, ClientResponses.internalError());
        if (responseDue) {
            requestHandler.onClientGone(this);
        }
    }

    private void processPendingMessages() {
        while (mayHandleMessage() && !pendingMessages.isEmpty() && connection.isWritable()) {
            Object message = pendingMessages.poll();
            if (state == State.STARTUP) {
                handleBeforeStartup(message);
            } else {
                handleMessage(message);
            }
        }
        if (isIdle()) {
            connection.releaseMemory();
        }
        closeIfDrained();
    }

    private boolean mayHandleMessage() {
        return state != State.AWAITING_RESPONSE && state != State.CLOSING;
    }

    // ---- start-up ----

    private void handleBeforeStartup(Object message) {
        if (message instanceof ClientMessage.EncryptionRequest) {
            connection.write(MessageEncoder.encryptionRefused());
        } else if (message instanceof ClientMessage.Startup startup) {
            completeStartup(startup);
        } else if (message instanceof ClientMessage.Malformed malformed) {
            rejectMalformed(malformed);
        } else if (message instanceof ClientMessage.CancelRequest request) {
            ClientSession target = cancelKeys.find(request.key());
            if (target != null) {
                target.cancelRequestStartedBy(connectedAt);
            }
            // No response: it would tell whether the key was right.
            closeAfter(EndCause.CANCEL_REQUEST, Unpooled.EMPTY_BUFFER);
        }
    }

    private void completeStartup(ClientMessage.Startup startup) {
        state = State.READY;
        String fault = settings == null ? null : settings.introduced(startup.parameters());
        if (fault != null) {
            Log.warn("client", fault);
            closeAfter(EndCause.STARTUP_REJECTED, ClientResponses.startupRejected(fault));
            return;
        }
        cancelKey = cancelKeys.register(this);
        connection.write(MessageEncoder.startupResponse(
                startup.minorVersion(), cancelKey, ReportedParameters.atStartup(settings, startup.parameters())));
    }

    /** Does nothing if the current request began later: the cancel request was then meant for an earlier one. */
    private void cancelRequestStartedBy(double requestedAt) {
        if (state == State.AWAITING_RESPONSE && requestStartedAt <= requestedAt) {
            requestHandler.onCancelRequest(this);
        }
    }

    // ---- requests ----

    private void handleMessage(Object message) {
        if (state == State.SKIPPING_TO_SYNC && !endsSkipping(message)) {
            return;
        }
        if (admissionOver && isRequest(message)) {
            refuse();
        } else if (message instanceof ClientMessage.Query query) {
            beginRequest();
            activity.onRequest();
            requestHandler.onKeyValueStatement(this, query.statement());
        } else if (message instanceof ClientMessage.SqlQuery query) {
            activity.onRequest();
            handleSql(query.text());
        } else if (message instanceof ClientMessage.EmptyQuery) {
            writeAnswer(MessageEncoder.emptyQueryResponse());
        } else if (message instanceof ClientMessage.UnreadableQuery unreadable) {
            Log.warn("client", "invalid statement: " + unreadable.reason());
            writeAnswer(ClientResponses.invalidStatement(unreadable.reason()));
        } else if (message instanceof ClientMessage.SkippedQuery skipped) {
            activity.onRequest();
            writeAnswer(ClientResponses.noMemoryLeft(skipped.reason()));
        } else if (message instanceof ClientMessage.Extended) {
            state = State.SKIPPING_TO_SYNC;
            writeAnswer(ClientResponses.extendedQueryRejected());
        } else if (message instanceof ClientMessage.Sync) {
            state = State.READY;
            writeAnswer(MessageEncoder.readyForQuery());
        } else if (message instanceof ClientMessage.FunctionCall) {
            writeAnswer(ClientResponses.functionCallRejected());
        } else if (message instanceof ClientMessage.Terminate) {
            // As at a server, the requests before it have been answered.
            closeAfter(EndCause.TERMINATE, Unpooled.EMPTY_BUFFER);
        } else if (message instanceof ClientMessage.Malformed malformed) {
            rejectMalformed(malformed);
        }
    }

    private static boolean isRequest(Object message) {
        return message instanceof ClientMessage.Query
                || message instanceof ClientMessage.SqlQuery
                || message instanceof ClientMessage.SkippedQuery;
    }

    /** Refuses a request that came too late; the connection ends with it unless more has been read. */
    private void refuse() {
        if (mayEndWithAnswer()) {
            closeAfter(drainCause, ClientResponses.connectionEnds(drainCause));
        } else {
            activity.onQuiet(clock.getAsDouble());
            writeAnswer(ClientResponses.connectionEndsSoon(drainCause));
        }
    }

    /** Whether nothing has been read behind the request whose answer is due, while the session drains. */
    private boolean mayEndWithAnswer() {
        return draining && pendingMessages.isEmpty() && !connection.hasPartialMessage();
    }

    private static boolean endsSkipping(Object message) {
        return message instanceof ClientMessage.Sync
                || message instanceof ClientMessage.Terminate
                || message instanceof ClientMessage.Malformed;
    }

    private void handleSql(byte[] text) {
        SessionSettings.Reply reply = settings.asked(text);
        if (reply instanceof SessionSettings.Reply.Refused refused) {
            writeAnswer(ClientResponses.settingRejected(refused.why()));
        } else if (reply instanceof SessionSettings.Reply.Done done) {
            String reported = ReportedParameters.reportedName(done.name());
            writeAnswer(MessageEncoder.commandComplete(done.tag(), reported, done.value()));
        } else {
            beginRequest();
            requestHandler.onSqlStatement(this, text);
        }
    }

    private void beginRequest() {
        state = State.AWAITING_RESPONSE;
        requestStartedAt = clock.getAsDouble();
    }

    private void rejectMalformed(ClientMessage.Malformed malformed) {
        Log.warn("client", "malformed client message: " + malformed.reason());
        closeAfter(EndCause.MALFORMED_INPUT, ClientResponses.malformedMessage(malformed));
    }

    // ---- responses ----

    /** Answers with the messages of a node's response, unchanged. */
    public void respondWithResult(List<byte[]> messages) {
        respond(MessageEncoder.response(messages));
    }

    /**
     * Answers that the request was rejected and may safely be sent again.
     *
     * @param retryAfter seconds after which the client should retry; 0 for no advice
     */
    public void respondRejected(double retryAfter) {
        respondWithFailure(fatal -> ClientResponses.rejected(retryAfter, fatal));
    }

    /** Answers that the statement may or may not have run. */
    public void respondInDoubt() {
        respondWithFailure(ClientResponses::inDoubt);
    }

    /** Answers that the request was cancelled on behalf of the client. */
    public void respondCancelled(boolean mayHaveRun) {
        respond(ClientResponses.cancelled(mayHaveRun));
    }

    /** Answers that the statement could not be accepted, and why. */
    public void respondWithError(String sqlState, String reason) {
        respond(ClientResponses.error(sqlState, reason));
    }

    /** While draining, an error of the router's own ends the connection, so that no later request crosses the end. */
    private void respondWithFailure(Function<Boolean, ByteBuf> failure) {
        if (draining && !admissionOver) {
            connection.afterPendingReads(() -> respondOrEnd(failure));
        } else {
            respondOrEnd(failure);
        }
    }

    private void respondOrEnd(Function<Boolean, ByteBuf> failure) {
        if (state == State.AWAITING_RESPONSE && mayEndWithAnswer()) {
            closeAfter(drainCause, failure.apply(true));
        } else {
            respond(failure.apply(false));
        }
    }

    private void respond(ByteBuf bytes) {
        if (state != State.AWAITING_RESPONSE) {
            bytes.release();
            return;
        }
        state = State.READY;
        activity.onQuiet(clock.getAsDouble());
        writeAnswer(bytes);
        processPendingMessages();
    }

    /** Right behind an answer the connection must not end, as its last error could be taken for a second answer. */
    private void writeAnswer(ByteBuf bytes) {
        activity.onAnswer(clock.getAsDouble());
        connection.write(bytes);
    }

    // ---- idleness and time limits ----

    private boolean isIdle() {
        return mayHandleMessage() && pendingMessages.isEmpty();
    }

    /** Between requests: all responses have been written, and no part of the next request has arrived. */
    private boolean isQuiescent() {
        return isIdle() && connection.isFlushed() && !connection.hasPartialMessage();
    }

    /** Whether the client has had a request answered and has sent no further one. */
    boolean isIdleAfterRequest() {
        return activity.hasSentRequest() && isQuiescent();
    }

    /** Whether the client is owed a response, or may not have read all of one, or is in the middle of a request. */
    boolean isBusy() {
        return !connection.isFlushed() || (state != State.CLOSING && !(isQuiescent() && isAnswerSettled()));
    }

    private boolean isAnswerSettled() {
        return activity.secondsUntilAnswerSettles(clock.getAsDouble()) <= 0;
    }

    /** Whether the connection has ended for the client, and all that it is owed has been written. */
    boolean isEnded() {
        return state == State.CLOSING && connection.isFlushed();
    }

    /** The order in which sessions that are not busy are evicted, lowest first: closing ones, then the longest idle. */
    double evictionRank() {
        return state == State.CLOSING ? 0 : activity.evictionRank();
    }

    /** Closes the connection of a client that has exceeded a time limit; {@code now} is clock time in seconds. */
    void closeIfIdleTooLong(double now) {
        if (state != State.AWAITING_RESPONSE && !connection.isFlushed() && activity.isResponseUnreadTooLong(now)) {
            endCause = EndCause.UNREAD_RESPONSE;
            connection.closeNow();
        } else if (idleTimeout(now).isPresent()) {
            // Reads what arrived first: a stall of this process must not count as silence of the client.
            connection.afterPendingReads(() -> idleTimeout(now).ifPresent(reason -> {
                Log.warn("client", reason);
                closeAfter(EndCause.IDLE_TIMEOUT, ClientResponses.idleTimeout());
            }));
        }
    }

    private Optional<String> idleTimeout(double now) {
        return isIdle() ? activity.idleTimeout(now) : Optional.empty();
    }

    // ---- closing ----

    /** Answers what has arrived by now, then closes the connection. */
    void drain(EndCause cause) {
        draining = true;
        drainCause = cause;
        closeIfDrained();
    }

    /** Closes the connection at once, to free its descriptor; only for a session that is not busy. */
    void evict() {
        if (state != State.CLOSING) {
            closeAfter(EndCause.EVICTION, ClientResponses.connectionEnds(EndCause.EVICTION));
        }
        connection.inNextIteration(connection::closeNow);
    }

    /** Ends the connection at once, as the process does: whatever has not been read or answered by now is answered. */
    void endBeforeExit() {
        if (state == State.AWAITING_RESPONSE) {
            closeAfter(EndCause.SHUTDOWN, ClientResponses.inDoubt(true));
        } else if (state != State.CLOSING) {
            closeAfter(EndCause.SHUTDOWN, ClientResponses.connectionEnds(EndCause.SHUTDOWN));
        }
    }

    /**
     * Requests that are read are answered; a later one stays unread, and its client finds that it was refused. Right
     * behind an answer that error could be taken for a second one, so the connection stays open for a while.
     */
    private void closeIfDrained() {
        if (!draining || !isQuiescent()) {
            return;
        }
        double unsettled = activity.secondsUntilAnswerSettles(clock.getAsDouble());
        if (!admissionOver) {
            connection.afterPendingReads(() -> {
                admissionOver = true;
                closeIfDrained();
            });
        } else if (unsettled <= 0) {
            closeAfter(drainCause, ClientResponses.connectionEnds(drainCause));
        } else if (!endScheduled) {
            endScheduled = true;
            connection.afterSeconds(unsettled, () -> {
                endScheduled = false;
                closeIfDrained();
            });
        }
    }

    private void closeAfter(EndCause cause, ByteBuf lastBytes) {
        state = State.CLOSING;
        endCause = cause;
        unansweredMessages = pendingMessages.size();
        pendingMessages.clear();
        activity.onQuiet(clock.getAsDouble());
        if (cause.leavesInputUnread()) {
            connection.closeUnread(lastBytes);
        } else {
            connection.closeAfter(lastBytes);
        }
    }
}
