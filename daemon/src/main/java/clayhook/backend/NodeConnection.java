package clayhook.backend;

import clayhook.AttemptResult;
import clayhook.Role;
import clayhook.config.LoadReport;
import clayhook.protocol.MemoryBudget;
import clayhook.protocol.MessageEncoder;
import clayhook.protocol.NodeMessage;
import clayhook.protocol.NodeMessageDecoder;
import clayhook.statements.SessionSettings;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.nio.AbstractNioChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** One connection to a node; it carries one attempt at a time. */
final class NodeConnection extends ChannelInboundHandlerAdapter {
    /** A few times what passes between two writes of one peer: what follows an answer by then is not the next one's. */
    private static final int QUIET_PERIOD_MS = 2;
    /** Before a description of rows, and after their end. */
    private static final int NO_ROW_DESCRIPTION = -1;

    /** What may come next. Nothing may come on a connection that is idle. */
    private enum Expected {
        STARTUP,
        SETTINGS,
        ANY_RESULT,
        ROW_DESCRIPTION,
        DATA_ROW,
        COMMAND_COMPLETE,
        READY_FOR_QUERY,
        NOTHING
    }

    final NodeMessageDecoder decoder;
    private final ConnectionPool pool;
    final InetSocketAddress address;
    /** Since when it has been opening or is given other settings. */
    double preparingSince;

    double idleSince;
    private ChannelHandlerContext context;
    private Expected expected = Expected.STARTUP;
    private boolean startupComplete;
    private boolean closed;
    /** What is due once all that was read together has been looked at, or null: it got ready or its answer is whole. */
    private Runnable onReadComplete;
    /** What it ran may have left something behind in its session. */
    private boolean closeAfterAnswer;

    private BackendRequest request;
    /** The last byte of the request in hand has gone out. */
    private boolean requestWritten;
    /** What this connection was given, and what it is being given. */
    private Map<String, String> settings = Map.of();

    private Map<String, String> requestedSettings = Map.of();
    // what the answer in hand has told so far
    private int answerBytes;
    private int reservedBytes;
    /** Of the rows that may come now. */
    private int columnCount;

    private boolean resultComplete;
    private List<byte[]> answerMessages = List.of();
    private String loadReportText;
    private String sqlState;
    private Role role;
    private double position;
    private LoadReport loadReport;

    NodeConnection(ConnectionPool pool, InetSocketAddress address, MemoryBudget allowance, double openedAt) {
        this.pool = pool;
        decoder = new NodeMessageDecoder(allowance);
        this.address = address;
        preparingSince = openedAt;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        ctx.writeAndFlush(pool.startupMessage());
    }

    Map<String, String> settings() {
        return settings;
    }

    /** Changes the settings; the connection must be idle, and tells the pool when it is done. */
    void changeSettings(Map<String, String> to, double now) {
        preparingSince = now;
        requestedSettings = to;
        sqlState = null;
        expected = Expected.SETTINGS;
        context.writeAndFlush(
                MessageEncoder.query(SessionSettings.change(settings, to).getBytes(StandardCharsets.UTF_8)));
    }

    /** Writes the request of an attempt; the connection must be idle. */
    void send(BackendRequest started, byte[] query) {
        request = started;
        started.connection = this;
        started.phase = AttemptPhase.PARTLY_WRITTEN;
        requestWritten = false;
        boolean free = started.statement != null && started.statement.hasFreeFormResult();
        decoder.expectFreeFormResult(free);
        expected = free ? Expected.ANY_RESULT : Expected.ROW_DESCRIPTION;
        answerBytes = reservedBytes = 0;
        columnCount = NO_ROW_DESCRIPTION;
        resultComplete = false;
        answerMessages = new ArrayList<>();
        loadReportText = null;
        sqlState = null;
        role = Role.UNKNOWN;
        position = 0;
        loadReport = LoadReport.NONE;
        context.writeAndFlush(MessageEncoder.query(query)).addListener(done -> {
            requestWritten |= done.isSuccess() && request == started;
            if (done.isSuccess() && started.phase == AttemptPhase.PARTLY_WRITTEN) {
                started.phase = AttemptPhase.WRITTEN;
            }
        });
    }

    /**
     * Bytes of the request stand here yet; between channels of one process an answer may come before the write is told.
     */
    private boolean hasUnsentBytes() {
        ChannelOutboundBuffer standing = context.channel().unsafe().outboundBuffer();
        return standing != null && !standing.isEmpty();
    }

    /** Whether neither an end nor a byte has come to this idle connection, also since the loop last looked. */
    boolean isQuiet() {
        if (!context.channel().isActive()) {
            return false;
        }
        try {
            // Guards against a request whose fate nobody can tell, and against what was there before as its answer.
            return !(context.channel().unsafe() instanceof AbstractNioChannel.NioUnsafe unsafe
                    && unsafe.ch() instanceof SocketChannel socket
                    && socket.read(ByteBuffer.allocate(1)) != 0);
        } catch (IOException e) {
            return false;
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (closed) {
            return;
        } else if (message instanceof NodeMessage.Malformed malformed) {
            failProtocol(malformed.reason());
        } else if (expected == Expected.NOTHING) {
            failProtocol("what it was not asked");
        } else if (expected == Expected.STARTUP) {
            onStartupMessage(message);
        } else if (expected == Expected.SETTINGS) {
            onSettingsMessage(message);
        } else if (!requestWritten
                && hasUnsentBytes()
                && (message instanceof NodeMessage.Part || message instanceof NodeMessage.ReadyForQuery)) {
            // Guards against a request whose rest goes out after it was counted as answered.
            failProtocol("an answer to what it was not sent whole");
        } else {
            onAnswerMessage(message);
        }
    }

    private void onStartupMessage(Object message) {
        if (message instanceof NodeMessage.ReadyForQuery) {
            startupComplete = true;
            expected = Expected.NOTHING;
            onReadComplete = () -> pool.onStarted(this);
        } else if (message instanceof NodeMessage.ErrorResponse error) {
            sqlState = error.sqlState();
        } else if (message instanceof NodeMessage.ParameterStatus told && !pool.acceptsParameter(told)) {
            // Guards against text that is a string here and code there.
            failProtocol(told.name() + " '" + told.value() + "', which the operator's file says otherwise");
        } else if (message instanceof NodeMessage.Part) {
            failProtocol("a row before it was asked");
        }
    }

    /** An error undoes all that was asked with it. */
    private void onSettingsMessage(Object message) {
        if (message instanceof NodeMessage.ErrorResponse error) {
            sqlState = error.sqlState();
            answerMessages = List.of(error.message());
        } else if (message instanceof NodeMessage.ReadyForQuery) {
            expected = Expected.NOTHING;
            Map<String, String> asked = requestedSettings;
            settings = sqlState == null ? asked : settings;
            AttemptCompletion.LocalAnswer refused =
                    sqlState == null ? null : new AttemptCompletion.LocalAnswer(answerMessages);
            onReadComplete = () -> pool.onSettingsChanged(this, refused, asked);
        } else if (!(message instanceof NodeMessage.Part part && part.type() == 'C'
                || message instanceof NodeMessage.Notice
                || message instanceof NodeMessage.ParameterStatus)) {
            failProtocol("an answer out of order");
        }
    }

    /** The parts of an answer to a statement of any kind. */
    private void onResultMessage(Object message) {
        request.phase = AttemptPhase.ANSWERING;
        if (message instanceof NodeMessage.ParameterStatus status) {
            onParameterStatus(status.name(), status.value());
        } else if (message instanceof NodeMessage.Part part
                && (part.type() == 'D'
                        ? part.columnCount() == columnCount
                        : part.type() == 'C' || columnCount == NO_ROW_DESCRIPTION)) {
            columnCount = part.type() == 'T' || part.type() == 'D' ? part.columnCount() : NO_ROW_DESCRIPTION;
            resultComplete |= columnCount == NO_ROW_DESCRIPTION;
            appendToAnswer(part.message());
        } else if (message instanceof NodeMessage.Notice notice) {
            appendToAnswer(notice.message());
        } else if (message instanceof NodeMessage.ErrorResponse error) {
            expected = Expected.READY_FOR_QUERY;
            sqlState = error.sqlState();
            appendToAnswer(error.message());
            pool.onErrorResponse(error);
        } else if (message instanceof NodeMessage.ReadyForQuery
                && resultComplete
                && columnCount == NO_ROW_DESCRIPTION) {
            onReadyForQuery();
        } else if (!(message instanceof NodeMessage.Notification)) {
            failProtocol("an answer out of order");
        }
    }

    /** A statement whose answer is longer than what is passed on has run all the same. */
    private void appendToAnswer(byte[] part) {
        boolean fits = answerBytes + part.length <= pool.maxAnswerBytes();
        if (fits && pool.reserveMemory(part.length)) {
            answerBytes += part.length;
            reservedBytes += part.length;
            answerMessages.add(part);
        } else if (request != null) {
            String why = fits
                    ? "no memory is left for its answer"
                    : "its answer is longer than " + pool.maxAnswerBytes() + " bytes";
            completeRequest(new AttemptCompletion.LocalAnswer(List.of(
                    MessageEncoder.errorMessage(fits ? "53200" : "54000", "the statement has run, but " + why))));
            close();
        }
    }

    private void onAnswerMessage(Object message) {
        if (expected == Expected.ANY_RESULT) {
            onResultMessage(message);
            return;
        }
        request.phase = AttemptPhase.ANSWERING;
        if (message instanceof NodeMessage.ParameterStatus status) {
            onParameterStatus(status.name(), status.value());
        } else if (message instanceof NodeMessage.Part part && part.type() == expectedType()) {
            expected = Expected.values()[expected.ordinal() + 1];
            answerMessages.add(part.message());
            loadReportText = part.type() == 'D' && request.attempt == null ? part.firstColumn() : loadReportText;
        } else if (message instanceof NodeMessage.ErrorResponse error && expected == Expected.ROW_DESCRIPTION) {
            expected = Expected.READY_FOR_QUERY;
            sqlState = error.sqlState();
            pool.onErrorResponse(error);
        } else if (message instanceof NodeMessage.ReadyForQuery && expected == Expected.READY_FOR_QUERY) {
            onReadyForQuery();
        } else if (!(message instanceof NodeMessage.Notice)) {
            failProtocol("an answer out of order");
        }
    }

    private char expectedType() {
        return switch (expected) {
            case ROW_DESCRIPTION -> 'T';
            case DATA_ROW -> 'D';
            case COMMAND_COMPLETE -> 'C';
            default -> 0;
        };
    }

    /** Nothing that was told with it counts, and the connection is of no further use. */
    private void failProtocol(String why) {
        pool.logWarning("node " + pool.node.id() + " sent " + why);
        completeRequest(new AttemptCompletion.ProtocolViolation());
        close();
    }

    private void onParameterStatus(String name, String value) {
        try {
            switch (name) {
                case "role" ->
                    role = value.equals("primary")
                            ? Role.PRIMARY
                            : value.equals("replica") ? Role.REPLICA : Role.UNKNOWN;
                case "applied_ms" -> position = requirePlausible(Long.parseLong(value) / 1000.0);
                case "load" -> {
                    LoadReport told = LoadReport.parse(value, '=', 0);
                    requirePlausible(told.position());
                    loadReport = told;
                }
                default -> {}
            }
        } catch (IllegalArgumentException e) {
            pool.logWarning("node " + pool.node.id() + " told " + name + " '" + value + "'");
        }
    }

    /** No node has data of the future; the clocks agree but for the correction of this one. */
    private double requirePlausible(double told) {
        if (told < 0 || told > pool.now() + MAX_CLOCK_SKEW_SECONDS) {
            throw new IllegalArgumentException("a position that cannot be");
        }
        return told;
    }

    private static final double MAX_CLOCK_SKEW_SECONDS = 1;

    private void onReadyForQuery() {
        if (loadReportText != null) {
            onParameterStatus("load", loadReportText);
        }
        expected = Expected.NOTHING;
        onReadComplete = this::releaseAfterQuietPeriod;
        boolean free = request.statement != null && request.statement.hasFreeFormResult();
        closeAfterAnswer = free && request.statement.mayChangeSession();
        decoder.expectFreeFormResult(false);
        completeRequest(AttemptCompletion.ofAnswer(sqlState, free, closeAfterAnswer));
    }

    /** What was read together with an answer or a welcome has been looked at; what is left of it belongs to no one. */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (!closed && expected == Expected.NOTHING && decoder.hasPartialMessage()) {
            failProtocol("part of what it was not asked");
        } else if (!closed && onReadComplete != null) {
            Runnable due = onReadComplete;
            onReadComplete = null;
            due.run();
        }
        ctx.fireChannelReadComplete();
    }

    /** Waits a little before it is free. */
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

    private void completeRequest(AttemptCompletion ending) {
        BackendRequest ended = request;
        request = null;
        decoder.releaseMemory();
        pool.releaseMemory(reservedBytes);
        reservedBytes = 0;
        if (ended != null) {
            pool.complete(ended, ending, this);
        }
    }

    /** What was told with the answer in hand, if that was whole. */
    AttemptResult result(AttemptCompletion ending, double took) {
        boolean told = ending instanceof AttemptCompletion.Answered || ending instanceof AttemptCompletion.NodeError;
        return told
                ? new AttemptResult(
                        ending.outcome(),
                        took,
                        role,
                        position,
                        loadReport.role(),
                        loadReport.position(),
                        loadReport.load())
                : AttemptResult.withoutReport(ending.outcome(), took);
    }

    List<byte[]> answerMessages() {
        return answerMessages;
    }

    /** The code of the error in the answer in hand, or null. */
    String sqlState() {
        return sqlState;
    }

    /** Ends the attempt in hand without waiting for its answer; a late one is never read. */
    void abandon(AttemptCompletion ending) {
        completeRequest(ending);
        close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        close();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        close();
    }

    /** Closes it, from either side; what it carried has failed. */
    void close() {
        if (closed) {
            return;
        }
        closed = true;
        if (request != null) {
            // A fatal error ends the connection with no readiness after it.
            completeRequest(
                    sqlState != null
                            ? new AttemptCompletion.NodeError(sqlState)
                            : new AttemptCompletion.ConnectionLost(request.phase));
        }
        if (context != null) {
            context.close();
        }
        pool.onClosed(this, startupComplete, sqlState);
    }
}
