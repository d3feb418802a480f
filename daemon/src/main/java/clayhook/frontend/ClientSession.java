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
 * The state machine of one client connection. Requests are handled in order, one at a time: the response to a request
 * is written before the next request starts. A pipelined message is decoded only when it is handled.
 *
 * <p>{@link ClientMessageDecoder} parses the bytes, {@link ClientConnection} reads, writes and closes the connection,
 * {@link RoundRobinScheduler} bounds the messages that are handled at a time, and {@link SessionActivity} computes the
 * time limits.
 *
 * <p>All methods must be called on the event loop of the connection.
 */
public final class ClientSession implements RoundRobinScheduler.Session {
    /** Receives the requests of all sessions, on the event loop. */
    public interface RequestHandler {
        /** Handles a key-value statement, to which exactly one response must be sent. */
        void onKeyValueStatement(ClientSession session, KeyValueStatement statement);

        /** Handles an SQL statement, given as the client's bytes, to which exactly one response must be sent. */
        void onSqlStatement(ClientSession session, byte[] text);

        /**
         * Handles the end of a session whose current request has no response yet; a response is no longer needed. The
         * client closed the connection, or the session failed with an exception.
         */
        void onClientGone(ClientSession session);

        /**
         * Handles a cancel request for the current request of the session. {@link #respondCancelled} must be called,
         * unless another response is sent first.
         */
        void onCancelRequest(ClientSession session);
    }

    private enum State {
        /** No start-up message has been received. */
        STARTUP,
        /** The next message is handled as soon as it is received. */
        READY,
        /** A request is in flight; later messages are not decoded yet. */
        AWAITING_RESPONSE,
        /** A message of the extended query protocol was rejected; all messages up to the next Sync are skipped. */
        SKIPPING_TO_SYNC,
        /** The connection is closing or closed; further messages are not handled. */
        CLOSING
    }

    /** The number of messages that a session handles before other sessions are served. */
    private static final int MESSAGES_PER_SLICE = 32;

    private final RequestHandler requestHandler;
    private final RoundRobinScheduler scheduler;
    private final Consumer<ClientSession> onClosed;
    private final CancelKeyRegistry cancelKeys;
    private final ConnectionEndRecorder endRecorder;
    private final ClientWork.SessionCount handledMessages;
    private final DoubleSupplier clock;
    /** The settings of the client; null if only key-value statements are accepted. */
    private final SessionSettings settings;

    private final SessionActivity activity;
    private final ClientConnection connection;
    private State state = State.STARTUP;
    private long cancelKey = ClientMessageDecoder.NO_CANCEL_KEY;
    /** The clock time in seconds at which the client connected. */
    private final double connectedAt;
    /** The clock time in seconds at which the current request started. */
    private double requestStartedAt;
    /** The log position, in seconds, of the last write of this session; 0 if there was none. */
    private double lastWritePosition;
    /** Whether the session closes as soon as all requests received are answered. */
    private boolean draining;
    /** Whether a draining session has read all input that was received before the drain, and refuses later requests. */
    private boolean refusesNewRequests;

    /**
     * Whether all input that has been received so far may be handled; until then a session that refuses requests waits.
     */
    private boolean inputComplete;
    /** The number of messages that the session may still handle in this time slice. */
    private int messagesLeftInSlice = MESSAGES_PER_SLICE;

    private boolean waitsForSlice;
    private boolean closeScheduled;
    /** The reason for which the router drains this session; null until the drain starts. */
    private EndCause drainCause;
    /** The reason for the end of the connection; {@code CLIENT_LEFT} unless the router closes it first. */
    private EndCause endCause = EndCause.CLIENT_LEFT;
    /** The number of bytes that were received but not decoded when the router closed the connection. */
    private int unansweredBytes;

    /**
     * Creates the session of a new connection.
     *
     * @param settings the settings of the client; null if only key-value statements are accepted
     * @param inputShare limits the input that the session reads ahead
     * @param scheduler gives the session time slices
     * @param endRecorder records the end of the connection
     * @param handledMessages counts the messages that this session handles
     * @param clock returns the current time in seconds
     * @param onClosed called once the connection is closed
     */
    ClientSession(
            RequestHandler requestHandler,
            ClientMessageDecoder decoder,
            SessionSettings settings,
            InputBudget.Share inputShare,
            RoundRobinScheduler scheduler,
            CancelKeyRegistry cancelKeys,
            ConnectionEndRecorder endRecorder,
            ClientWork.SessionCount handledMessages,
            DoubleSupplier clock,
            Consumer<ClientSession> onClosed) {
        this.requestHandler = requestHandler;
        this.settings = settings;
        this.cancelKeys = cancelKeys;
        this.endRecorder = endRecorder;
        this.handledMessages = handledMessages;
        this.clock = clock;
        this.onClosed = onClosed;
        this.scheduler = scheduler;
        connection = new ClientConnection(decoder, this, inputShare);
        connectedAt = clock.getAsDouble();
        activity = new SessionActivity(connectedAt);
    }

    /** The channel handler of the connection, which follows the decoder in the pipeline. */
    ClientConnection connection() {
        return connection;
    }

    // ---- methods for the request handler ----

    /** Whether the connection is closed; {@link RequestHandler#onClientGone} may not have been called yet. */
    public boolean isClientGone() {
        return !connection.isOpen();
    }

    /**
     * Whether {@link #isClientGone} is up to date; false if input that has not been received yet may hide the client's
     * close.
     */
    public boolean isCloseKnown() {
        return connection.closeDetector().isCloseKnown();
    }

    /** Runs a step once {@link #isCloseKnown}, at the latest when the session has ended. Only one step may wait. */
    public void runOnceCloseIsKnown(Runnable step) {
        connection.closeDetector().runOnceCloseIsKnown(step);
    }

    /** The id of this session, unique among the sessions of this router. */
    public String id() {
        return connection.id();
    }

    /**
     * The log position, in seconds, that a node must have applied for reads to see the session's writes; 0 for none.
     */
    public double lastWritePosition() {
        return lastWritePosition;
    }

    /** Records the log position, in seconds, at which a write of this session was committed. */
    public void recordWrite(double position) {
        lastWritePosition = Math.max(lastWritePosition, position);
    }

    /** The settings that the client has set; null if only key-value statements are accepted. */
    public SessionSettings settings() {
        return settings;
    }

    // ---- events of the connection ----

    /**
     * Whether the next message is to be decoded. While the connection is not writable, because the client does not read
     * its responses, no message is handled. A session that refuses requests first waits for all input, since the last
     * response closes the connection.
     */
    boolean wantsMessage() {
        return mayHandleMessage()
                && messagesLeftInSlice > 0
                && connection.isWritable()
                && (inputComplete || !refusesNewRequests);
    }

    /** Handles a decoded message; called only if {@link #wantsMessage}. */
    void onMessage(Object message) {
        activity.onMessage();
        messagesLeftInSlice--;
        handledMessages.increment();
        if (state == State.STARTUP) {
            handleBeforeStartup(message);
        } else {
            handleMessage(message);
        }
        if (state != State.CLOSING) {
            releaseMemory();
        }
    }

    /** Handles the end of a series of socket reads. */
    void onReadComplete() {
        activity.onReadComplete(clock.getAsDouble());
        if (refusesNewRequests && connection.undecodedBytes() > 0) {
            decodeInSlice();
        }
        onSliceEnded();
    }

    @Override
    public void runSlice() {
        waitsForSlice = false;
        if (state != State.CLOSING) {
            decodeInSlice();
            onSliceEnded();
            connection.endSlice();
        }
    }

    private void decodeInSlice() {
        inputComplete = true;
        connection.decodeInSlice();
        inputComplete = false;
    }

    private void onSliceEnded() {
        messagesLeftInSlice = MESSAGES_PER_SLICE;
        activity.onDecoded(connection.hasPartialMessage());
        closeIfDrained();
        awaitSliceIfReady();
    }

    /** Waits for a time slice if there is input that can be handled. */
    private void awaitSliceIfReady() {
        if (!waitsForSlice && connection.undecodedBytes() > 0 && mayHandleMessage() && connection.isWritable()) {
            waitsForSlice = true;
            scheduler.add(this);
        }
    }

    /** Whether a request of this session is in flight. */
    boolean isAwaitingResponse() {
        return state == State.AWAITING_RESPONSE;
    }

    /** Handles a change of the connection's writability: the client has read responses, or does not read them. */
    void onWritabilityChanged() {
        awaitSliceIfReady();
    }

    /** Handles the completion or failure of a write. */
    void onWritten() {
        activity.onWritten(clock.getAsDouble());
        closeIfDrained();
    }

    /** Handles the end of the connection, whichever side closed it. */
    void onDisconnect() {
        boolean responseDue = state == State.AWAITING_RESPONSE;
        state = State.CLOSING;
        cancelKeys.remove(cancelKey);
        endRecorder.record(endCause, connection.clientAddress(), unansweredBytes + connection.discardedBytes());
        if (responseDue) {
            requestHandler.onClientGone(this);
        }
        onClosed.accept(this);
    }

    /**
     * Handles an exception that was thrown while an event of the connection was handled: sends an error to the client,
     * which also answers the current request, and closes the connection.
     */
    @Override
    public void onException() {
        if (state == State.CLOSING) {
            connection.closeNow();
            return;
        }
        boolean responseDue = state == State.AWAITING_RESPONSE;
        closeAfterWriting(EndCause.SESSION_FAULT, ClientResponses.internalError());
        if (responseDue) {
            requestHandler.onClientGone(this);
        }
    }

    /** Releases the memory of all messages but that of the request in flight. */
    private void releaseMemory() {
        connection.releaseMemoryOfAllBut(state == State.AWAITING_RESPONSE ? 1 : 0);
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
                target.cancelIfStartedBy(connectedAt);
            }
            // No response, because it would disclose whether the key is valid.
            closeAfterWriting(EndCause.CANCEL_REQUEST, Unpooled.EMPTY_BUFFER);
        }
    }

    private void completeStartup(ClientMessage.Startup startup) {
        state = State.READY;
        String rejection = settings == null ? null : settings.applyStartupParameters(startup.parameters());
        if (rejection != null) {
            Log.warn("client", rejection);
            closeAfterWriting(EndCause.STARTUP_REJECTED, ClientResponses.startupRejected(rejection));
            return;
        }
        cancelKey = cancelKeys.register(this);
        connection.write(MessageEncoder.startupResponse(
                startup.minorVersion(), cancelKey, ReportedParameters.atStartup(settings, startup.parameters())));
    }

    /**
     * Cancels the current request if it started at or before the given clock time in seconds. A request that started
     * later is not cancelled, because the cancel request was meant for an earlier one.
     */
    private void cancelIfStartedBy(double requestedAt) {
        if (state == State.AWAITING_RESPONSE && requestStartedAt <= requestedAt) {
            requestHandler.onCancelRequest(this);
        }
    }

    // ---- requests ----

    private void handleMessage(Object message) {
        if (state == State.SKIPPING_TO_SYNC && !endsSkippingToSync(message)) {
            return;
        }
        if (refusesNewRequests && isRequest(message)) {
            refuseLateRequest();
        } else if (message instanceof ClientMessage.Query query) {
            beginRequest();
            activity.onRequest();
            requestHandler.onKeyValueStatement(this, query.statement());
        } else if (message instanceof ClientMessage.SqlQuery query) {
            activity.onRequest();
            handleSqlStatement(query.text());
        } else if (message instanceof ClientMessage.EmptyQuery) {
            writeResponse(MessageEncoder.emptyQueryResponse());
        } else if (message instanceof ClientMessage.UnreadableQuery unreadable) {
            Log.warn("client", "invalid statement: " + unreadable.reason());
            writeResponse(ClientResponses.invalidStatement(unreadable.reason()));
        } else if (message instanceof ClientMessage.SkippedQuery skipped) {
            activity.onRequest();
            writeResponse(ClientResponses.noMemoryLeft(skipped.reason()));
        } else if (message instanceof ClientMessage.Extended) {
            state = State.SKIPPING_TO_SYNC;
            writeResponse(ClientResponses.extendedQueryRejected());
        } else if (message instanceof ClientMessage.Sync) {
            state = State.READY;
            writeResponse(MessageEncoder.readyForQuery());
        } else if (message instanceof ClientMessage.FunctionCall) {
            writeResponse(ClientResponses.functionCallRejected());
        } else if (message instanceof ClientMessage.Terminate) {
            // All earlier requests have been answered, as they would be by a PostgreSQL server.
            closeAfterWriting(EndCause.TERMINATE, Unpooled.EMPTY_BUFFER);
        } else if (message instanceof ClientMessage.Malformed malformed) {
            rejectMalformed(malformed);
        }
    }

    private static boolean isRequest(Object message) {
        return message instanceof ClientMessage.Query
                || message instanceof ClientMessage.SqlQuery
                || message instanceof ClientMessage.SkippedQuery;
    }

    /** Refuses a request received too late during a drain, and closes the connection if no further input was read. */
    private void refuseLateRequest() {
        if (mayCloseWithResponse()) {
            closeAfterWriting(drainCause, ClientResponses.connectionClosing(drainCause));
        } else {
            activity.onIdle(clock.getAsDouble());
            writeResponse(ClientResponses.connectionClosingSoon(drainCause));
        }
    }

    /** Whether the session is draining and no input has been read after the current request. */
    private boolean mayCloseWithResponse() {
        return draining && hasNoFurtherInput();
    }

    private static boolean endsSkippingToSync(Object message) {
        return message instanceof ClientMessage.Sync
                || message instanceof ClientMessage.Terminate
                || message instanceof ClientMessage.Malformed;
    }

    private void handleSqlStatement(byte[] text) {
        SessionSettings.Reply reply = settings.execute(text);
        if (reply instanceof SessionSettings.Reply.Refused refused) {
            writeResponse(ClientResponses.settingRejected(refused.why()));
        } else if (reply instanceof SessionSettings.Reply.Done done) {
            String reported = ReportedParameters.reportedName(done.name());
            writeResponse(MessageEncoder.commandComplete(done.tag(), reported, done.value()));
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
        closeAfterWriting(EndCause.MALFORMED_INPUT, ClientResponses.malformedMessage(malformed));
    }

    // ---- responses ----

    /** Responds with the unchanged messages of a node's response. */
    public void respondWithResult(List<byte[]> messages) {
        respond(MessageEncoder.response(messages));
    }

    /**
     * Responds that the request was rejected and may safely be retried.
     *
     * @param retryAfter the delay in seconds after which the client should retry; 0 for no advice
     */
    public void respondRejected(double retryAfter) {
        respondWithRouterError(fatal -> ClientResponses.rejected(retryAfter, fatal));
    }

    /** Responds that it is not known whether the statement was executed. */
    public void respondInDoubt() {
        respondWithRouterError(ClientResponses::inDoubt);
    }

    /** Responds that the request was cancelled by the client; {@code mayHaveRun} if it may have been executed. */
    public void respondCancelled(boolean mayHaveRun) {
        respond(ClientResponses.cancelled(mayHaveRun));
    }

    /** Responds with an error of the given SQLSTATE code and reason. */
    public void respondWithError(String sqlState, String reason) {
        respond(ClientResponses.error(sqlState, reason));
    }

    /**
     * Responds with an error that the router itself generates. If the session is draining and no further input was
     * read, the error closes the connection, so that the client does not send a request while the connection closes.
     */
    private void respondWithRouterError(Function<Boolean, ByteBuf> errorFactory) {
        if (draining && !refusesNewRequests) {
            connection.runAfterPendingReads(() -> respondOrClose(errorFactory));
        } else {
            respondOrClose(errorFactory);
        }
    }

    private void respondOrClose(Function<Boolean, ByteBuf> errorFactory) {
        if (state == State.AWAITING_RESPONSE && mayCloseWithResponse()) {
            closeAfterWriting(drainCause, errorFactory.apply(true));
        } else {
            respond(errorFactory.apply(false));
        }
    }

    private void respond(ByteBuf bytes) {
        if (state != State.AWAITING_RESPONSE) {
            bytes.release();
            return;
        }
        state = State.READY;
        activity.onIdle(clock.getAsDouble());
        writeResponse(bytes);
        releaseMemory();
        closeIfDrained();
        awaitSliceIfReady();
    }

    /**
     * Writes a response and records the time. The connection must not be closed immediately afterwards, because the
     * client could mistake the error sent on closing for a second response.
     */
    private void writeResponse(ByteBuf bytes) {
        activity.onResponse(clock.getAsDouble());
        connection.write(bytes);
    }

    // ---- idleness and time limits ----

    private boolean isIdle() {
        return mayHandleMessage() && connection.undecodedBytes() == 0;
    }

    private boolean hasNoFurtherInput() {
        return connection.undecodedBytes() == 0 && !connection.hasPartialMessage();
    }

    /**
     * Whether the session is between requests: all responses are written, and no part of a next message is received.
     */
    private boolean isQuiescent() {
        return isIdle() && connection.isFlushed() && !connection.hasPartialMessage();
    }

    /** Whether the client has sent a request, all responses are written, and no further message is received. */
    boolean isIdleAfterRequest() {
        return activity.hasSentRequest() && isQuiescent();
    }

    /**
     * Whether a response is outstanding or may not have been read by the client, or part of a request is received. A
     * closing session is busy only until its last bytes are written.
     */
    boolean isBusy() {
        return !connection.isFlushed() || (state != State.CLOSING && !(isQuiescent() && isLastResponsePresumedRead()));
    }

    private boolean isLastResponsePresumedRead() {
        return activity.secondsUntilResponsePresumedRead(clock.getAsDouble()) <= 0;
    }

    /** Whether the session is closing or closed and all of its responses are written. */
    boolean isEnded() {
        return state == State.CLOSING && connection.isFlushed();
    }

    /**
     * The rank by which sessions that are not busy are evicted, lowest first: closing sessions, then the sessions that
     * have been idle for the longest time.
     */
    double evictionRank() {
        return state == State.CLOSING ? 0 : activity.evictionRank();
    }

    /** Closes the connection if the client has exceeded a time limit at {@code now}, a clock time in seconds. */
    void closeIfIdleTooLong(double now) {
        if (state != State.AWAITING_RESPONSE && !connection.isFlushed() && activity.isResponseUnreadTooLong(now)) {
            endCause = EndCause.UNREAD_RESPONSE;
            connection.closeNow();
        } else if (exceededTimeLimit(now).isPresent()) {
            // Reads pending input first, so that a stall of this process does not count as inactivity of the client.
            connection.runAfterPendingReads(() -> exceededTimeLimit(now).ifPresent(reason -> {
                Log.warn("client", reason);
                closeAfterWriting(EndCause.IDLE_TIMEOUT, ClientResponses.idleTimeout());
            }));
        }
    }

    private Optional<String> exceededTimeLimit(double now) {
        return isIdle() ? activity.exceededTimeLimit(now) : Optional.empty();
    }

    // ---- closing ----

    /** Closes the connection after all requests received so far are answered. */
    void drain(EndCause cause) {
        draining = true;
        drainCause = cause;
        closeIfDrained();
    }

    /** Closes the connection immediately to free its descriptor. The session must not be busy. */
    void evict() {
        if (state != State.CLOSING) {
            closeAfterWriting(EndCause.EVICTION, ClientResponses.connectionClosing(EndCause.EVICTION));
        }
        connection.runInNextIteration(connection::closeNow);
    }

    /**
     * Closes the connection because the process is about to exit. A request in flight is answered as in-doubt;
     * otherwise the client gets an error, which also refuses a request that has not been read.
     */
    void endBeforeExit() {
        if (state == State.AWAITING_RESPONSE) {
            closeAfterWriting(EndCause.SHUTDOWN, ClientResponses.inDoubt(true));
        } else if (state != State.CLOSING) {
            closeAfterWriting(EndCause.SHUTDOWN, ClientResponses.connectionClosing(EndCause.SHUTDOWN));
        }
    }

    /**
     * Closes a draining session once it is quiescent. Requests that have been read are answered; a later request is
     * left unread, and the error sent on closing tells its client that it was refused. The connection stays open for a
     * while after a response, because the client could take an error that follows immediately for a second response.
     */
    private void closeIfDrained() {
        if (!draining || !isQuiescent()) {
            return;
        }
        double secondsUntilRead = activity.secondsUntilResponsePresumedRead(clock.getAsDouble());
        if (!refusesNewRequests) {
            connection.runAfterPendingReads(() -> {
                refusesNewRequests = true;
                closeIfDrained();
            });
        } else if (secondsUntilRead <= 0) {
            closeAfterWriting(drainCause, ClientResponses.connectionClosing(drainCause));
        } else if (!closeScheduled) {
            closeScheduled = true;
            connection.runAfterDelay(secondsUntilRead, () -> {
                closeScheduled = false;
                closeIfDrained();
            });
        }
    }

    private void closeAfterWriting(EndCause cause, ByteBuf lastBytes) {
        state = State.CLOSING;
        endCause = cause;
        unansweredBytes = connection.undecodedBytes();
        activity.onIdle(clock.getAsDouble());
        if (cause.leavesInputUnread()) {
            connection.closeWithoutReading(lastBytes);
        } else {
            connection.closeDiscardingInput(lastBytes);
        }
    }
}
