package clayhook.backend;

import clayhook.AttemptResult;
import clayhook.protocol.MemoryBudget;
import clayhook.protocol.MessageEncoder;
import clayhook.protocol.NodeMessage;
import clayhook.protocol.NodeMessageDecoder;
import clayhook.statements.SessionSettings;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * One connection to a node; it carries one {@link BackendRequest} at a time. It starts up, is idle, answers or changes
 * its settings; what an answer holds is left to {@link AnswerReader}. Event loop only.
 */
@SuppressWarnings("FutureReturnValueIgnored") // a failed write or close ends in channelInactive
final class NodeConnection extends ChannelInboundHandlerAdapter {
    /**
     * A connection stays reserved for so long after an answer: a few times what passes between two writes of one peer,
     * so that surplus bytes are noticed before the next request is written.
     */
    private static final int QUIET_PERIOD_MS = 2;

    /** SQLSTATE insufficient_resources: out_of_memory. */
    private static final String OUT_OF_MEMORY = "53200";

    /** SQLSTATE program_limit_exceeded. */
    private static final String LIMIT_EXCEEDED = "54000";

    private enum State {
        STARTING,
        IDLE,
        CHANGING_SETTINGS,
        ANSWERING
    }

    final NodeMessageDecoder decoder;
    final InetSocketAddress address;
    /** Clock seconds since which it has been starting up or changing its settings. */
    double preparingSince;
    /** Clock seconds since which it has been idle. */
    double idleSince;

    private final ConnectionPool pool;
    private final ConnectionProfile profile;
    private final AnswerReader answer;
    private final NodeReport report;
    private ChannelHandlerContext context;
    private State state = State.STARTING;
    private boolean startupComplete;
    private boolean closed;
    /** Runs once all messages of one read have been handled, or null: the connection got ready or answered. */
    private Runnable onReadComplete;
    /** A statement that it ran may have changed its session, which then serves no other. */
    private boolean closeAfterAnswer;
    /** The request that it carries, or null. */
    private BackendRequest request;
    /** The last byte of {@link #request} has gone out. */
    private boolean requestWritten;
    /** What the node's session was given, as text of SQL. */
    private Map<String, String> settings = Map.of();
    /** What it is being given. */
    private Map<String, String> requestedSettings = Map.of();
    /** The node's refusal of {@link #requestedSettings}, or null. */
    private byte[] settingsError;
    /** Code of an error before the startup was complete, or null. */
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

    // ---- what the pool asks for ----

    Map<String, String> settings() {
        return settings;
    }

    /** Whether neither an end nor a byte has come to this idle connection, also since the loop last polled it. */
    boolean isQuiet() {
        return ChannelInspector.isQuiet(context.channel());
    }

    /** Gives the node's session other settings; the connection must be idle, and tells the pool when it is done. */
    void changeSettings(Map<String, String> newSettings, double now) {
        preparingSince = now;
        requestedSettings = newSettings;
        settingsError = null;
        state = State.CHANGING_SETTINGS;
        String statements = SessionSettings.change(settings, newSettings);
        context.writeAndFlush(MessageEncoder.query(statements.getBytes(StandardCharsets.UTF_8)));
    }

    /** Writes a request; the connection must be idle. */
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

    /** Ends the request without waiting for its answer; the connection closes, so that a late answer is never read. */
    void abandon(AttemptCompletion completion) {
        completeRequest(completion);
        close();
    }

    /** Closes the connection, from either side; the request that it carries has failed. */
    void close() {
        if (closed) {
            return;
        }
        closed = true;
        if (request != null) {
            // A fatal error ends the connection with no ReadyForQuery after it.
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

    // ---- what came with the last answer ----

    /** The result of a request that ended so; what the node reported counts only with a complete answer. */
    AttemptResult result(AttemptCompletion completion, double elapsedSeconds) {
        boolean answered =
                completion instanceof AttemptCompletion.Answered || completion instanceof AttemptCompletion.NodeError;
        return answered
                ? report.toResult(completion.outcome(), elapsedSeconds)
                : AttemptResult.withoutReport(completion.outcome(), elapsedSeconds);
    }

    /** The messages of the last answer, as they came. */
    List<byte[]> answerMessages() {
        return answer.messages();
    }

    /** Code of the error in the last answer, or null. */
    String sqlState() {
        return answer.sqlState();
    }

    // ---- what the channel delivers ----

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
            case STARTING -> onStartupMessage(message);
            case IDLE -> failProtocol("an unsolicited message");
            case CHANGING_SETTINGS -> onSettingsMessage(message);
            case ANSWERING -> onAnswerMessage(message);
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

    /** An error undoes all settings that were asked for with it. */
    private void onSettingsMessage(Object message) {
        if (message instanceof NodeMessage.ErrorResponse error) {
            settingsError = error.message();
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
        Map<String, String> asked = requestedSettings;
        AttemptCompletion.LocalAnswer refusal =
                settingsError == null ? null : new AttemptCompletion.LocalAnswer(List.of(settingsError));
        settings = refusal == null ? asked : settings;
        onReadComplete = () -> pool.onSettingsChanged(this, refusal, asked);
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
                abandonOversized(LIMIT_EXCEEDED, "its answer is longer than " + profile.maxAnswerBytes() + " bytes");
            case OUT_OF_MEMORY -> abandonOversized(OUT_OF_MEMORY, "no memory is left for its answer");
        }
        if (message instanceof NodeMessage.ErrorResponse error && progress != AnswerReader.Progress.OUT_OF_ORDER) {
            pool.onErrorResponse(error);
        }
    }

    /**
     * Whether the node answers a request that is not fully written; the rest would go out after the request was counted
     * as answered. Between channels of one process an answer may come before the write is reported, so that the report
     * alone does not tell.
     */
    private boolean answersUnsentRequest(Object message) {
        return !requestWritten
                && ChannelInspector.hasUnsentBytes(context.channel())
                && (message instanceof NodeMessage.ResultMessage || message instanceof NodeMessage.ReadyForQuery);
    }

    /** The statement has run although its answer is not forwarded; the client gets an error that says so. */
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
        onReadComplete = this::releaseAfterQuietPeriod;
        boolean freeForm = request.hasFreeFormResult();
        closeAfterAnswer = freeForm && request.statement.mayChangeSession();
        decoder.expectFreeFormResult(false);
        completeRequest(AttemptCompletion.ofAnswer(answer.sqlState(), freeForm, closeAfterAnswer));
    }

    /** Nothing that was reported with this answer counts, and the connection is of no further use. */
    private void failProtocol(String reason) {
        pool.logWarning("protocol violation by node " + pool.node.id() + ": " + reason);
        abandon(new AttemptCompletion.ProtocolViolation());
    }

    /** All messages of one read have been handled; part of a message that is left over belongs to no request. */
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

    private void releaseAfterQuietPeriod() {
        context.executor()
                .schedule(
                        () -> {
                            if (!closed && closeAfterAnswer) {
                                close();
                            } else if (!closed) {
                                pool.onIdle(this);
                            }
                        },
                        QUIET_PERIOD_MS,
                        TimeUnit.MILLISECONDS);
    }

    private void completeRequest(AttemptCompletion completion) {
        BackendRequest completed = request;
        request = null;
        decoder.releaseMemory();
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
