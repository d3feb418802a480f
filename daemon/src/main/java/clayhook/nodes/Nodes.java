package clayhook.nodes;

import clayhook.Dispatch;
import clayhook.Node;
import clayhook.Reply;
import clayhook.config.Operator;
import clayhook.log.Log;
import clayhook.protocol.Allowance;
import clayhook.protocol.Encoder;
import clayhook.protocol.NodeMessage;
import clayhook.protocol.Outgoing;
import clayhook.transport.Clock;
import clayhook.transport.Descriptors;
import clayhook.transport.Transport;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandler;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Sends dispatches and probes to nodes over pooled connections and tells how each ended. */
public final class Nodes {
    /** Connections are closed after this part of the time at which nodes do so at the latest. */
    private static final double IDLE_PART = 0.6;
    /** Reads the load report; it is a probe, as is the plain query where nodes do not report. */
    private static final byte[] PROBE = "SHOW load".getBytes(StandardCharsets.UTF_8);

    /** Hears how attempts ended. */
    public interface Listener {
        /**
         * {@code answer} holds the messages for the client after an answer, and the node's error where it sent one to a
         * statement of any kind; {@code error} is that error's code. Either may be null.
         */
        void ended(Dispatch dispatch, Reply reply, List<byte[]> answer, String error);

        void probed(Node node, Reply reply);

        /** Whether a dispatch that waited for its connection may still go out; asked also while it goes on waiting. */
        boolean mayGo(Dispatch dispatch);

        /** Whether anything may be sent to that node yet. */
        boolean knows(Node node);
    }

    /** An eighth of the memory for answers that are coming in, as clients' statements may take another. */
    private static final int MEMORY_PART = 8;

    final Allowance allowance;
    private final Operator operator;
    private final Listener listener;
    private final Clock clock;
    private final Descriptors descriptors;
    private final double connectTimeout;
    private final double idle;
    private final Transport transport;
    /** Nodes leave once they are known no more and their last connection has ended. */
    private final Map<String, Pool> pools = new HashMap<>();
    /** Each leaves with its outcome. */
    private final Map<Dispatch, Attempt> attempts = new HashMap<>();

    public Nodes(
            Transport transport,
            Clock clock,
            Descriptors descriptors,
            long memory,
            double connectTimeout,
            double idle,
            Operator operator,
            Listener listener) {
        this.operator = operator;
        allowance = new Allowance(memory / MEMORY_PART);
        this.listener = listener;
        this.clock = clock;
        this.descriptors = descriptors;
        this.connectTimeout = connectTimeout;
        this.idle = idle * IDLE_PART;
        this.transport = transport;
        descriptors.nodesGiveBackBy(this::giveBack);
    }

    /** The node of that id, at that address. */
    public Node at(String id, String zone, int group, InetSocketAddress address) {
        Pool pool = pools.computeIfAbsent(id, any -> new Pool(this, new Node(id, zone, group), address));
        pool.moved(address);
        return pool.node;
    }

    /** The node of that id, or null for one that was not listed here. */
    public Node named(String id) {
        Pool pool = pools.get(id);
        return pool == null ? null : pool.node;
    }

    /** Whether any node of that group was ever listed. */
    public boolean listed(int group) {
        return pools.values().stream().anyMatch(pool -> pool.node.group() == group);
    }

    public void send(Dispatch dispatch, Outgoing outgoing) {
        var attempt = new Attempt(dispatch.node, dispatch, outgoing, clock.now());
        attempts.put(dispatch, attempt);
        Pool pool = pools.get(dispatch.node.id());
        if (pool == null) {
            // Guards against an attempt without an ending, at a node that was forgotten.
            ended(attempt, new Ending.CalledOff(attempt.stage), null);
        } else {
            pool.add(attempt);
        }
    }

    public void probe(Node node) {
        Pool pool = pools.get(node.id());
        if (pool != null) {
            pool.probe();
        }
    }

    /** The time to wait for a dispatch is over. */
    public void expire(Dispatch dispatch) {
        Attempt attempt = attempts.get(dispatch);
        if (attempt != null) {
            pools.get(dispatch.node.id()).abandon(attempt, new Ending.Silent(attempt.stage));
        }
    }

    public void recall(Dispatch dispatch) {
        Attempt attempt = attempts.get(dispatch);
        if (attempt != null) {
            pools.get(dispatch.node.id()).abandon(attempt, new Ending.CalledOff(attempt.stage));
        }
    }

    /** Its client has gone: it goes no more if it waits for its connection; once written it keeps its connection. */
    public void withdraw(Dispatch dispatch) {
        Attempt attempt = attempts.get(dispatch);
        if (attempt != null && attempt.connection == null) {
            recall(dispatch);
        }
    }

    /** Closes what has been opening, probing or idle for too long. */
    public void sweep() {
        double begunBefore = clock.now() - connectTimeout;
        for (Pool pool : pools.values()) {
            pool.sweep(begunBefore, idleBefore());
        }
        pools.values().removeIf(pool -> pool.unused() && !listener.knows(pool.node));
    }

    /** What has been idle since before then is not written to. */
    double idleBefore() {
        return clock.now() - idle;
    }

    /** Whether an attempt that waited may still go out. */
    boolean mayGo(Attempt attempt) {
        return attempt.dispatch == null || listener.mayGo(attempt.dispatch);
    }

    /** One that waits may not go out any more, and not for its time limit, which is an ending of its own. */
    boolean calledOff(Attempt attempt) {
        return !mayGo(attempt) && clock.now() < attempt.dispatch.limit;
    }

    /** What to write for an attempt now. */
    byte[] query(Attempt attempt) {
        return attempt.dispatch == null ? PROBE : attempt.outgoing.withWait(attempt.dispatch.limit - clock.now());
    }

    /** Gives the longest idle connection of any node back, if there is one. */
    private boolean giveBack() {
        Pool oldest = null;
        for (Pool pool : pools.values()) {
            oldest = oldest == null || pool.oldestIdle() < oldest.oldestIdle() ? pool : oldest;
        }
        return oldest != null
                && oldest.oldestIdle() < Double.POSITIVE_INFINITY
                && oldest.closeIdle(Math.nextUp(oldest.oldestIdle())) > 0;
    }

    /** What really is under way at each node: attempts that were written or wait. */
    public String underWay() {
        var counts = new TreeMap<String, Integer>();
        attempts.values().forEach(attempt -> counts.merge(attempt.node.id(), 1, Integer::sum));
        return counts.toString();
    }

    /** How many connections stand or open. */
    public int connections() {
        return descriptors.ofNodes();
    }

    /** How many of them wait for something to carry. */
    public int idle() {
        return pools.values().stream().mapToInt(Pool::idle).sum();
    }

    boolean mayOpen() {
        return descriptors.takeForNode();
    }

    void connect(NodeConnection connection) {
        transport.connect(
                connection.address,
                connectTimeout,
                () -> new ChannelHandler[] {connection.decoder, connection},
                connection::close);
    }

    void opened() {
        Log.count("opened");
    }

    void closed() {
        descriptors.giveOfNode();
    }

    ByteBuf startup() {
        return operator.statements() == null
                ? Encoder.startup(operator.user(), operator.database())
                : Encoder.startup(operator.user(), operator.database(), "client_encoding", "UTF8");
    }

    /** Whether a node that tells this of itself cuts statements as they are cut here. */
    boolean agrees(String name, String value) {
        return operator.statements() == null
                || switch (name) {
                    case "client_encoding" -> value.equalsIgnoreCase("UTF8");
                    case "standard_conforming_strings" ->
                        value.equals(operator.statements().rules().conforming() ? "on" : "off");
                    default -> true;
                };
    }

    /** Bytes of an answer to a statement of any kind. */
    int longestAnswer() {
        return operator.statements().longestAnswer();
    }

    double now() {
        return clock.now();
    }

    void ended(Attempt attempt, Ending ending, NodeConnection by) {
        double took = clock.now() - (attempt.dispatch == null ? attempt.startedAt : attempt.dispatch.sentAt);
        Reply reply = by == null ? Reply.untold(ending.outcome(), took) : by.reply(ending, took);
        if (attempt.dispatch == null) {
            listener.probed(attempt.node, reply);
        } else {
            attempts.remove(attempt.dispatch);
            boolean refused = ending instanceof Ending.Refused && by != null && attempt.outgoing.free();
            List<byte[]> answer = ending instanceof Ending.Concluded concluded
                    ? concluded.messages()
                    : refused || ending instanceof Ending.Answered ? by.answer() : null;
            listener.ended(attempt.dispatch, reply, answer, refused ? by.refusal() : null);
        }
    }

    void refused(Node node, NodeMessage.ErrorResponse error) {
        if (error.code().equals("08P01")) {
            log("node " + node.id() + " calls a statement malformed: " + error.text());
        }
    }

    void log(String line) {
        Log.warn("node", line);
    }
}
