package clayhook.nodes;

import clayhook.Reply;
import clayhook.Role;
import clayhook.config.LoadReport;
import clayhook.protocol.Allowance;
import clayhook.protocol.Encoder;
import clayhook.protocol.NodeDecoder;
import clayhook.protocol.NodeMessage;
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
    private static final int QUIET_MS = 2;
    /** Before a description of rows, and after their end. */
    private static final int NO_ROWS = -1;

    /** What may come next. Nothing may come on a connection that is idle. */
    private enum Next {
        WELCOME,
        TUNING,
        RESULTS,
        DESCRIPTION,
        ROW,
        COMPLETION,
        READINESS,
        NOTHING
    }

    final NodeDecoder decoder;
    private final Pool pool;
    final InetSocketAddress address;
    /** Since when it has been opening or is given other settings. */
    double gettingReadySince;

    double idleSince;
    private ChannelHandlerContext context;
    private Next next = Next.WELCOME;
    private boolean up;
    private boolean closed;
    /** What is due once all that was read together has been looked at, or null: it got ready or its answer is whole. */
    private Runnable afterReading;
    /** What it ran may have left something behind in its session. */
    private boolean retiring;

    private Attempt attempt;
    /** The last byte of the request in hand has gone out. */
    private boolean written;
    /** What this connection was given, and what it is being given. */
    private Map<String, String> settings = Map.of();

    private Map<String, String> wanted = Map.of();
    // what the answer in hand has told so far
    private int bytes;
    private int taken;
    /** Of the rows that may come now. */
    private int columns;

    private boolean whole;
    private List<byte[]> parts = List.of();
    private String probed;
    private String refusal;
    private Role role;
    private double position;
    private LoadReport report;

    NodeConnection(Pool pool, InetSocketAddress address, Allowance allowance, double openedAt) {
        this.pool = pool;
        decoder = new NodeDecoder(allowance);
        this.address = address;
        gettingReadySince = openedAt;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        ctx.writeAndFlush(pool.startup());
    }

    Map<String, String> settings() {
        return settings;
    }

    /** Changes the settings; the connection must be idle, and tells the pool when it is done. */
    void tune(Map<String, String> to, double now) {
        gettingReadySince = now;
        wanted = to;
        refusal = null;
        next = Next.TUNING;
        context.writeAndFlush(Encoder.query(SessionSettings.change(settings, to).getBytes(StandardCharsets.UTF_8)));
    }

    /** Writes the request of an attempt; the connection must be idle. */
    void start(Attempt started, byte[] query) {
        attempt = started;
        started.connection = this;
        started.stage = Stage.PARTLY_WRITTEN;
        written = false;
        boolean free = started.outgoing != null && started.outgoing.free();
        decoder.free(free);
        next = free ? Next.RESULTS : Next.DESCRIPTION;
        bytes = taken = 0;
        columns = NO_ROWS;
        whole = false;
        parts = new ArrayList<>();
        probed = null;
        refusal = null;
        role = Role.UNKNOWN;
        position = 0;
        report = LoadReport.NONE;
        context.writeAndFlush(Encoder.query(query)).addListener(done -> {
            written |= done.isSuccess() && attempt == started;
            if (done.isSuccess() && started.stage == Stage.PARTLY_WRITTEN) {
                started.stage = Stage.WRITTEN;
            }
        });
    }

    /**
     * Bytes of the request stand here yet; between channels of one process an answer may come before the write is told.
     */
    private boolean unsent() {
        ChannelOutboundBuffer standing = context.channel().unsafe().outboundBuffer();
        return standing != null && !standing.isEmpty();
    }

    /** Whether neither an end nor a byte has come to this idle connection, also since the loop last looked. */
    boolean quiet() {
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
            spoilt(malformed.why());
        } else if (next == Next.NOTHING) {
            spoilt("what it was not asked");
        } else if (next == Next.WELCOME) {
            welcome(message);
        } else if (next == Next.TUNING) {
            tuning(message);
        } else if (!written
                && unsent()
                && (message instanceof NodeMessage.Part || message instanceof NodeMessage.ReadyForQuery)) {
            // Guards against a request whose rest goes out after it was counted as answered.
            spoilt("an answer to what it was not sent whole");
        } else {
            collect(message);
        }
    }

    private void welcome(Object message) {
        if (message instanceof NodeMessage.ReadyForQuery) {
            up = true;
            next = Next.NOTHING;
            afterReading = () -> pool.opened(this);
        } else if (message instanceof NodeMessage.ErrorResponse error) {
            refusal = error.code();
        } else if (message instanceof NodeMessage.ParameterStatus told && !pool.agrees(told)) {
            // Guards against text that is a string here and code there.
            spoilt(told.name() + " '" + told.value() + "', which the operator's file says otherwise");
        } else if (message instanceof NodeMessage.Part) {
            spoilt("a row before it was asked");
        }
    }

    /** An error undoes all that was asked with it. */
    private void tuning(Object message) {
        if (message instanceof NodeMessage.ErrorResponse error) {
            refusal = error.code();
            parts = List.of(error.message());
        } else if (message instanceof NodeMessage.ReadyForQuery) {
            next = Next.NOTHING;
            Map<String, String> asked = wanted;
            settings = refusal == null ? asked : settings;
            Ending.Concluded refused = refusal == null ? null : new Ending.Concluded(parts);
            afterReading = () -> pool.tuned(this, refused, asked);
        } else if (!(message instanceof NodeMessage.Part part && part.type() == 'C'
                || message instanceof NodeMessage.Notice
                || message instanceof NodeMessage.ParameterStatus)) {
            spoilt("an answer out of order");
        }
    }

    /** The parts of an answer to a statement of any kind. */
    private void gather(Object message) {
        attempt.stage = Stage.ANSWERING;
        if (message instanceof NodeMessage.ParameterStatus status) {
            status(status.name(), status.value());
        } else if (message instanceof NodeMessage.Part part
                && (part.type() == 'D' ? part.columns() == columns : part.type() == 'C' || columns == NO_ROWS)) {
            columns = part.type() == 'T' || part.type() == 'D' ? part.columns() : NO_ROWS;
            whole |= columns == NO_ROWS;
            add(part.message());
        } else if (message instanceof NodeMessage.Notice notice) {
            add(notice.message());
        } else if (message instanceof NodeMessage.ErrorResponse error) {
            next = Next.READINESS;
            refusal = error.code();
            add(error.message());
            pool.refused(error);
        } else if (message instanceof NodeMessage.ReadyForQuery && whole && columns == NO_ROWS) {
            ready();
        } else if (!(message instanceof NodeMessage.Notification)) {
            spoilt("an answer out of order");
        }
    }

    /** A statement whose answer is longer than what is passed on has run all the same. */
    private void add(byte[] part) {
        boolean fits = bytes + part.length <= pool.longestAnswer();
        if (fits && pool.takeMemory(part.length)) {
            bytes += part.length;
            taken += part.length;
            parts.add(part);
        } else if (attempt != null) {
            String why = fits
                    ? "no memory is left for its answer"
                    : "its answer is longer than " + pool.longestAnswer() + " bytes";
            end(new Ending.Concluded(
                    List.of(Encoder.errorMessage(fits ? "53200" : "54000", "the statement has run, but " + why))));
            close();
        }
    }

    private void collect(Object message) {
        if (next == Next.RESULTS) {
            gather(message);
            return;
        }
        attempt.stage = Stage.ANSWERING;
        if (message instanceof NodeMessage.ParameterStatus status) {
            status(status.name(), status.value());
        } else if (message instanceof NodeMessage.Part part && part.type() == expected()) {
            next = Next.values()[next.ordinal() + 1];
            parts.add(part.message());
            probed = part.type() == 'D' && attempt.dispatch == null ? part.column() : probed;
        } else if (message instanceof NodeMessage.ErrorResponse error && next == Next.DESCRIPTION) {
            next = Next.READINESS;
            refusal = error.code();
            pool.refused(error);
        } else if (message instanceof NodeMessage.ReadyForQuery && next == Next.READINESS) {
            ready();
        } else if (!(message instanceof NodeMessage.Notice)) {
            spoilt("an answer out of order");
        }
    }

    private char expected() {
        return switch (next) {
            case DESCRIPTION -> 'T';
            case ROW -> 'D';
            case COMPLETION -> 'C';
            default -> 0;
        };
    }

    /** Nothing that was told with it counts, and the connection is of no further use. */
    private void spoilt(String why) {
        pool.log("node " + pool.node.id() + " sent " + why);
        end(new Ending.Spoilt());
        close();
    }

    private void status(String name, String value) {
        try {
            switch (name) {
                case "role" ->
                    role = value.equals("primary")
                            ? Role.PRIMARY
                            : value.equals("replica") ? Role.REPLICA : Role.UNKNOWN;
                case "applied_ms" -> position = believable(Long.parseLong(value) / 1000.0);
                case "load" -> {
                    LoadReport told = LoadReport.parse(value, '=', 0);
                    believable(told.position());
                    report = told;
                }
                default -> {}
            }
        } catch (IllegalArgumentException e) {
            pool.log("node " + pool.node.id() + " told " + name + " '" + value + "'");
        }
    }

    /** No node has data of the future; the clocks agree but for the correction of this one. */
    private double believable(double told) {
        if (told < 0 || told > pool.now() + FUTURE) {
            throw new IllegalArgumentException("a position that cannot be");
        }
        return told;
    }

    private static final double FUTURE = 1;

    private void ready() {
        if (probed != null) {
            status("load", probed);
        }
        next = Next.NOTHING;
        afterReading = this::settle;
        boolean free = attempt.outgoing != null && attempt.outgoing.free();
        retiring = free && attempt.outgoing.opaque();
        decoder.free(false);
        end(Ending.of(refusal, free, retiring));
    }

    /** What was read together with an answer or a welcome has been looked at; what is left of it belongs to no one. */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (!closed && next == Next.NOTHING && decoder.holdsPart()) {
            spoilt("part of what it was not asked");
        } else if (!closed && afterReading != null) {
            Runnable due = afterReading;
            afterReading = null;
            due.run();
        }
        ctx.fireChannelReadComplete();
    }

    /** Waits a little before it is free. */
    private void settle() {
        context.executor()
                .schedule(
                        () -> {
                            if (!closed && retiring) {
                                close();
                            } else if (!closed) {
                                pool.freed(this);
                            }
                        },
                        QUIET_MS,
                        TimeUnit.MILLISECONDS);
    }

    private void end(Ending ending) {
        Attempt ended = attempt;
        attempt = null;
        decoder.release();
        pool.giveMemory(taken);
        taken = 0;
        if (ended != null) {
            pool.ended(ended, ending, this);
        }
    }

    /** What was told with the answer in hand, if that was whole. */
    Reply reply(Ending ending, double took) {
        boolean told = ending instanceof Ending.Answered || ending instanceof Ending.Refused;
        return told
                ? new Reply(ending.outcome(), took, role, position, report.role(), report.position(), report.load())
                : Reply.untold(ending.outcome(), took);
    }

    List<byte[]> answer() {
        return parts;
    }

    /** The code of the error in the answer in hand, or null. */
    String refusal() {
        return refusal;
    }

    /** Ends the attempt in hand without waiting for its answer; a late one is never read. */
    void abandon(Ending ending) {
        end(ending);
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
        if (attempt != null) {
            // A fatal error ends the connection with no readiness after it.
            end(refusal != null ? new Ending.Refused(refusal) : new Ending.Broken(attempt.stage));
        }
        if (context != null) {
            context.close();
        }
        pool.closed(this, up, refusal);
    }
}
