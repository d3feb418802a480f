package clayhook.backend;

import clayhook.AttemptResult;
import clayhook.protocol.MemoryBudget;
import clayhook.protocol.MessageEncoder;
import clayhook.protocol.NodeMessage;
import clayhook.protocol.NodeMessageDecoder;
import clayhook.protocol.SqlState;
import clayhook.statements.SessionSettings;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

/**
 * A connection to a node, with at most one {@link BackendRequest} in flight. Handles the startup, changes of session
 * settings and the order of requests and answers; {@link AnswerReader} validates the messages of an answer. Event loop
 * only.
 *
 * <p>Nothing in the protocol ties an answer to its request, and a node may send more than the answer, such as a second
 * copy, at any time. After each answer the connection therefore sends a {@link BarrierQuery} and is available again
 * only once that is answered: the node answers in order, so whatever it sent before has then been received.
 */
@SuppressWarnings("FutureReturnValueIgnored") // a failed write or close leads to channelInactive
final class NodeConnection extends ChannelInboundHandlerAdapter {
    /** SQLSTATE insufficient_resources: out_of_memory. */
    private static final String OUT_OF_MEMORY = "53200";

    private enum State {
        STARTING,
        IDLE,
        CHANGING_SETTINGS,
        ANSWERING,
        AWAITING_BARRIER
    }

    final NodeMessageDecoder decoder;
    final InetSocketAddress address;
    /**
     * The time at which the startup, the last change of session settings or the last barrier began, in clock seconds.
     */
    double preparingSince;
    /** The time at which the connection last became idle, in clock seconds. */
    double idleSince;

    private final ConnectionPool pool;
    private final ConnectionProfile profile;
    private final AnswerReader answer;
    private final BarrierQuery barrier = new BarrierQuery();
    private final NodeReport report;
    private ChannelHandlerContext context;
    private State state = State.STARTING;
    private boolean startupComplete;
    private boolean closed;
    /** The action to run once all messages of the current read have been handled, or null. */
    private Runnable onReadComplete;
    /** The action to run once the barrier query has been answered. */
    private Runnable onBarrierPassed;
    /** The request in flight, or null. */
    private BackendRequest request;
    /** Whether the last byte of {@link #request} was written to the socket. */
    private boolean requestWritten;
    /** The current settings of the node's session: values, as SQL text, by name. */
    private Map<String, String> settings = Map.of();
    /** The settings of the change in progress. */
    private Map<String, String> requestedSettings = Map.of();
    /** The error message with which the node rejected {@link #requestedSettings}, or null. */
    private NodeMessage.ErrorResponse settingsError;
    /** The SQLSTATE of an error during startup, or null. */
    private String startupSqlState;

    NodeConnection(
            ConnectionPool pool,
            ConnectionProfile profile,
            MemoryBudget answerMemory,
            InetSocketAddress address,
            double openedAt) {
        this.pool = pool;
        this.profile = profile;
        this.address = address;
        decoder = new NodeMessageDecoder(answerMemory);
        answer = new AnswerReader(answerMemory, profile);
        report = new NodeReport(pool::now);
        preparingSince = openedAt;
    }

    // ---- called by the pool ----

    Map<String, String> settings() {
        return settings;
    }

    /**
     * Whether this idle connection is open and has received nothing, neither data nor end of stream; also detects what
     * arrived since the event loop last polled it. The connection must be closed if the result is false.
     */
    boolean isReusable() {
        return ChannelInspector.isOpenWithoutInput(context.channel());
    }

    /**
     * Changes the settings of the node's session and notifies the pool of the result. The connection must be idle.
     *
     * @param now clock time in seconds
     */
    void changeSettings(Map<String, String> newSettings, double now) {
        preparingSince = now;
        requestedSettings = newSettings;
        settingsError = null;
        state = State.CHANGING_SETTINGS;
        String statements = SessionSettings.changeStatements(settings, newSettings);
        context.writeAndFlush(MessageEncoder.query(statements.getBytes(StandardCharsets.UTF_8)));
    }

    /** Writes a request. The connection must be idle. */
    void send(BackendRequest newRequest, byte[] queryText) {
        request = newRequest;
        newRequest.connection = this;
        newRequest.phase = AttemptPhase.PARTLY_WRITTEN;
        requestWritten = false;
        boolean freeForm = newRequest.hasFreeFormResult();
        decoder.expectFreeFormResult(freeForm);
        answer.begin(freeForm);
        report.reset();
        state = State.ANSWERING;
        context.writeAndFlush(MessageEncoder.query(queryText)).addListener(written -> {
            if (written.isSuccess()) {
                onWritten(newRequest);
            }
        });
    }

    private void onWritten(BackendRequest writtenRequest) {
        requestWritten |= request == writtenRequest;
        if (writtenRequest.phase == AttemptPhase.PARTLY_WRITTEN) {
            writtenRequest.phase = AttemptPhase.WRITTEN;
        }
    }

    /**
     * Completes the request without waiting for its answer, and closes the connection so that no late answer is read.
     */
    void abandon(AttemptCompletion completion) {
        completeRequest(completion);
        close();
    }

    /** Closes the connection, or handles its close by the node; fails the request in flight. */
    void close() {
        if (closed) {
            return;
        }
        closed = true;
        if (request != null) {
            // After a fatal error the node closes the connection without sending ReadyForQuery.
            completeRequest(
                    answer.sqlState() != null
                            ? new AttemptCompletion.NodeError(answer.sqlState())
                            : new AttemptCompletion.ConnectionLost(request.phase));
        }
        if (context != null) {
            context.close();
        }
        pool.onClosed(this, startupComplete, startupSqlState);
    }

    // ---- the last answer ----

    /** The result of a request with this completion. Values reported by the node count only with a complete answer. */
    AttemptResult result(AttemptCompletion completion, double elapsedSeconds) {
        boolean answered = completion instanceof AttemptCompletion.Answered
                || completion instanceof AttemptCompletion.NodeError
                || completion instanceof AttemptCompletion.NodeDraining;
        return answered
                ? report.toResult(completion.outcome(), elapsedSeconds)
                : AttemptResult.withoutReport(completion.outcome(), elapsedSeconds);
    }

    /** The messages of the last answer, in the order in which the node sent them. */
    List<byte[]> answerMessages() {
        return answer.messages();
    }

    /** The SQLSTATE of the error in the last answer, or null. */
    String sqlState() {
        return answer.sqlState();
    }

    // ---- channel events ----

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        ctx.writeAndFlush(profile.startupMessage());
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (closed) {
            return;
        } else if (message instanceof NodeMessage.Malformed malformed) {
            failProtocol(malformed.reason());
            return;
        }
        switch (state) {
            case STARTING -> {
                onStartupMessage(message);
                decoder.releaseMemoryOfAllBut(0);
            }
            case IDLE -> failProtocol("an unsolicited message");
            case CHANGING_SETTINGS -> {
                onSettingsMessage(message);
                decoder.releaseMemoryOfAllBut(0);
            }
            case ANSWERING -> onAnswerMessage(message);
            case AWAITING_BARRIER -> onBarrierMessage(message);
        }
    }

    private void onStartupMessage(Object message) {
        if (message instanceof NodeMessage.ReadyForQuery) {
            startupComplete = true;
            state = State.IDLE;
            onReadComplete = () -> pool.onStarted(this);
        } else if (message instanceof NodeMessage.ErrorResponse error) {
            startupSqlState = error.sqlState();
        } else if (message instanceof NodeMessage.ParameterStatus status
                && !profile.acceptsParameter(status.name(), status.value())) {
            failProtocol(status.name() + " '" + status.value() + "', which contradicts the operator's file");
        } else if (message instanceof NodeMessage.ResultMessage) {
            failProtocol("a row before any query");
        }
    }

    /** Handles a message of the answer to a change of session settings. An error reverts all settings of the change. */
    private void onSettingsMessage(Object message) {
        if (message instanceof NodeMessage.ErrorResponse error) {
            settingsError = error;
        } else if (message instanceof NodeMessage.ReadyForQuery) {
            onSettingsAnswered();
        } else if (!isPartOfSettingsAnswer(message)) {
            failProtocol("a message out of order");
        }
    }

    private static boolean isPartOfSettingsAnswer(Object message) {
        return (message instanceof NodeMessage.ResultMessage part && part.type() == 'C')
                || message instanceof NodeMessage.Notice
                || message instanceof NodeMessage.ParameterStatus;
    }

    private void onSettingsAnswered() {
        state = State.IDLE;
        Map<String, String> requested = requestedSettings;
        AttemptCompletion.SettingsRejected refusal = settingsError == null
                ? null
                : new AttemptCompletion.SettingsRejected(settingsError.sqlState(), settingsError.message());
        settings = refusal == null ? requested : settings;
        onReadComplete = () -> sendBarrier(() -> pool.onSettingsChanged(this, refusal, requested));
    }

    private void onAnswerMessage(Object message) {
        if (answersUnsentRequest(message)) {
            failProtocol("an answer to a request that was only partly written");
            return;
        }
        request.phase = AttemptPhase.ANSWERING;
        if (message instanceof NodeMessage.ParameterStatus status) {
            onParameterStatus(status.name(), status.value());
            return;
        }
        AnswerReader.Progress progress = answer.read(message);
        switch (progress) {
            case INCOMPLETE -> {}
            case COMPLETE -> onReadyForQuery();
            case OUT_OF_ORDER -> failProtocol("a message out of order");
            case TOO_LONG ->
                abandonOversized(
                        SqlState.LIMIT_EXCEEDED, "its answer is longer than " + profile.maxAnswerBytes() + " bytes");
            case OUT_OF_MEMORY -> abandonOversized(OUT_OF_MEMORY, "no memory is left for its answer");
        }
        if (message instanceof NodeMessage.ErrorResponse error && progress != AnswerReader.Progress.OUT_OF_ORDER) {
            pool.onErrorResponse(error);
        }
    }

    /**
     * Whether the node answers a request that is not fully written, the rest of which would be sent after the request
     * was counted as answered. The unsent bytes are checked as well because, between channels of one process, an answer
     * can arrive before the write completion is reported.
     */
    private boolean answersUnsentRequest(Object message) {
        return !requestWritten
                && ChannelInspector.hasUnsentBytes(context.channel())
                && (message instanceof NodeMessage.ResultMessage || message instanceof NodeMessage.ReadyForQuery);
    }

    /** Abandons an answer that cannot be forwarded; the client gets an error stating that the statement has run. */
    private void abandonOversized(String sqlState, String reason) {
        byte[] error = MessageEncoder.errorMessage(sqlState, "the statement has run, but " + reason);
        abandon(new AttemptCompletion.LocalAnswer(List.of(error)));
    }

    private void onParameterStatus(String name, String value) {
        if (!report.accept(name, value)) {
            pool.logWarning("node " + pool.node.id() + " reported an implausible " + name + " '" + value + "'");
        }
    }

    private void onReadyForQuery() {
        if (request.isHealthCheck() && answer.rowValue() != null) {
            onParameterStatus("load", answer.rowValue());
        }
        state = State.IDLE;
        boolean freeForm = request.hasFreeFormResult();
        boolean closeAfterAnswer = freeForm && request.statement.mayChangeSession();
        onReadComplete =
                closeAfterAnswer || !BarrierQuery.separates(answer.sqlState()) ? this::close : this::verifyBeforeReuse;
        decoder.expectFreeFormResult(false);
        completeRequest(AttemptCompletion.ofAnswer(answer.sqlState(), freeForm, closeAfterAnswer));
    }

    /**
     * Closes the connection after a protocol violation; values that the node reported with this answer are discarded.
     */
    private void failProtocol(String reason) {
        pool.logWarning("protocol violation by node " + pool.node.id() + ": " + reason);
        abandon(new AttemptCompletion.ProtocolViolation());
    }

    /** Called when all messages of one read have been handled; an incomplete message while idle is a violation. */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (!closed && state == State.IDLE && decoder.hasPartialMessage()) {
            failProtocol("part of an unsolicited message");
        } else if (!closed && onReadComplete != null) {
            Runnable due = onReadComplete;
            onReadComplete = null;
            due.run();
        }
        ctx.fireChannelReadComplete();
    }

    private void verifyBeforeReuse() {
        preparingSince = pool.now();
        if (pool.startVerifying(this)) {
            sendBarrier(() -> pool.onIdle(this));
        } else {
            close();
        }
    }

    private void sendBarrier(Runnable onPassed) {
        onBarrierPassed = onPassed;
        barrier.begin();
        state = State.AWAITING_BARRIER;
        context.writeAndFlush(BarrierQuery.message());
    }

    private void onBarrierMessage(Object message) {
        switch (barrier.read(message)) {
            case INCOMPLETE -> {}
            case PASSED -> {
                state = State.IDLE;
                onReadComplete = onBarrierPassed;
            }
            case SURPLUS -> failProtocol("more than the answer to a request");
        }
    }

    private void completeRequest(AttemptCompletion completion) {
        BackendRequest completed = request;
        request = null;
        decoder.releaseMemoryOfAllBut(0);
        answer.releaseMemory();
        if (completed != null) {
            pool.complete(completed, completion, this);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        close();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        close();
    }
}
