package clayhook.nodes;

import clayhook.Reply;
import clayhook.Role;
import clayhook.config.LoadReport;
import clayhook.protocol.Encoder;
import clayhook.protocol.NodeMessage;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.io.ByteArrayOutputStream;

/** One connection to a node; it carries one attempt at a time. */
final class NodeConnection extends ChannelInboundHandlerAdapter {
    private final Pool pool;
    final double openedAt;
    double idleSince;
    private ChannelHandlerContext context;
    private boolean up;
    private boolean closed;
    private Attempt attempt;
    // what the answer in hand has told so far
    private final ByteArrayOutputStream parts = new ByteArrayOutputStream();
    private boolean row;
    private boolean complete;
    private String probed;
    private String refusal;
    private Role role;
    private double position;
    private LoadReport report;

    NodeConnection(Pool pool, double openedAt) {
        this.pool = pool;
        this.openedAt = openedAt;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        ctx.writeAndFlush(Encoder.startup());
    }

    /** Writes the request of an attempt; the connection must be idle. */
    void start(Attempt next, byte[] query) {
        attempt = next;
        next.connection = this;
        next.stage = Stage.PARTLY_WRITTEN;
        parts.reset();
        row = false;
        complete = false;
        probed = null;
        refusal = null;
        role = Role.UNKNOWN;
        position = 0;
        report = LoadReport.NONE;
        context.writeAndFlush(Encoder.query(query)).addListener(done -> {
            if (done.isSuccess() && next.stage == Stage.PARTLY_WRITTEN) {
                next.stage = Stage.WRITTEN;
            }
        });
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (closed) {
            return;
        } else if (message instanceof NodeMessage.Malformed malformed) {
            pool.log("node " + pool.node.id() + " sent " + malformed.why());
            close();
        } else if (message instanceof NodeMessage.ReadyForQuery) {
            ready();
        } else if (attempt != null) {
            collect(message);
        } else if (message instanceof NodeMessage.ErrorResponse error) {
            refusal = error.code();
        }
    }

    private void collect(Object message) {
        attempt.stage = Stage.ANSWERING;
        if (message instanceof NodeMessage.Part part) {
            parts.writeBytes(part.message());
            row |= part.type() == 'D';
            complete |= part.type() == 'C';
            probed = part.type() == 'D' && attempt.dispatch == null ? part.firstColumn() : probed;
        } else if (message instanceof NodeMessage.ErrorResponse error) {
            refusal = error.code();
            pool.refused(error);
        } else if (message instanceof NodeMessage.ParameterStatus status) {
            status(status.name(), status.value());
        }
    }

    private void status(String name, String value) {
        try {
            switch (name) {
                case "role" -> role = value.equals("primary") ? Role.PRIMARY
                        : value.equals("replica") ? Role.REPLICA : Role.UNKNOWN;
                case "applied_ms" -> position = Long.parseLong(value) / 1000.0;
                case "load" -> report = LoadReport.parse(value, '=', 0);
                default -> { }
            }
        } catch (IllegalArgumentException e) {
            pool.log("node " + pool.node.id() + " told " + name + " '" + value + "'");
        }
    }

    private void ready() {
        if (!up) {
            up = true;
            pool.opened(this);
        } else if (attempt == null) {
            pool.log("node " + pool.node.id() + " answered what it was not asked");
            close();
        } else {
            if (probed != null) {
                status("load", probed);
            }
            Ending ending = refusal != null ? new Ending.Refused(refusal)
                    : row && complete ? new Ending.Answered() : new Ending.Refused("");
            end(ending);
            pool.freed(this);
        }
    }

    private void end(Ending ending) {
        Attempt ended = attempt;
        attempt = null;
        if (ended != null) {
            pool.ended(ended, ending, this);
        }
    }

    /** What was told with the answer in hand. */
    Reply reply(Ending ending, double took) {
        return new Reply(ending.outcome(), took, role, position, report.role(), report.position(), report.load());
    }

    byte[] answer() {
        return parts.toByteArray();
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
