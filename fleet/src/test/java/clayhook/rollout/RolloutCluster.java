package clayhook.rollout;

import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
import clayhook.fleet.Message;
import clayhook.fleet.Peer;
import clayhook.fleet.ReplicatedStore;
import clayhook.fleet.ReplicatedType;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;

/**
 * A cluster of routers in virtual time. An exchange copies all replicated values over one link; messages are queued
 * until they are delivered.
 */
final class RolloutCluster {
    /** Time in seconds without contact after which a member counts as departed. */
    static final double MEMBER_TIMEOUT_SECONDS = 3;

    static final double STEP_SECONDS = 0.25;
    private static final int MAX_VALUE_BYTES = 1200;
    private static final int DEFAULT_LINK_CAPACITY = 4;
    private static final Set<ReplicatedType<?>> COUNTER_TYPES = Set.of(
            MemberCounters.OUTCOME_COUNTS, MemberCounters.BASELINE_LATENCIES, MemberCounters.CANDIDATE_LATENCIES);

    /** A message in flight. */
    record SentMessage(Peer from, Message message) {}

    final RolloutSettings settings;
    final Quorum quorum;
    final Supplier<Lease> leaseFactory;
    /** Nodes by number; null for a node that is down. */
    final RolloutNode[] nodes;
    /** Queues of messages in flight, by sender and then by receiver. */
    final List<List<Deque<SentMessage>>> links = new ArrayList<>();

    final RolloutInvariants invariants = new RolloutInvariants(this);
    /** Directed links that are cut, each as {@code sender * nodes.length + receiver}. */
    private final Set<Integer> cutLinks = new HashSet<>();

    double now = 1_000_000;
    /** Maximum number of messages in flight on a link; if there are more, the oldest is lost. */
    int linkCapacity = DEFAULT_LINK_CAPACITY;
    /** Whether exchanges omit counters, although members have contact. */
    boolean countersOmitted;

    private long incarnations;
    private long sessionsServed;

    RolloutCluster(int size, Quorum quorum, Supplier<Lease> leaseFactory) {
        this.settings = new RolloutSettings("0000000000000000base", size, 4, 1, 30, 1);
        this.quorum = quorum;
        this.leaseFactory = leaseFactory;
        nodes = new RolloutNode[size];
        for (int i = 0; i < size; i++) {
            links.add(new ArrayList<>());
            for (int j = 0; j < size; j++) {
                links.get(i).add(new ArrayDeque<>());
            }
        }
        for (int i = 0; i < size; i++) {
            startNode(i);
        }
    }

    RolloutCluster(int size) {
        this(size, new Quorum(), Lease::new);
    }

    /** Starts or restarts a node with a new incarnation and without state, and loses the messages on its links. */
    RolloutNode startNode(int i) {
        nodes[i] = new RolloutNode(this, i, ++incarnations);
        for (int j = 0; j < nodes.length; j++) {
            links.get(j).get(i).clear();
            links.get(i).get(j).clear();
        }
        return nodes[i];
    }

    void killNode(int i) {
        nodes[i] = null;
    }

    private boolean isLinkUp(int from, int to) {
        return nodes[from] != null && nodes[to] != null && !cutLinks.contains(from * nodes.length + to);
    }

    /** Cuts the links between nodes below a number and all others, in both directions; 0 heals the partition. */
    void partition(int boundary) {
        cutLinks.clear();
        for (int i = 0; i < nodes.length; i++) {
            for (int j = 0; j < nodes.length; j++) {
                if (i < boundary != j < boundary) {
                    cutLinks.add(i * nodes.length + j);
                }
            }
        }
    }

    /** Merges all replicated values of one node into another if the link is up. */
    void exchange(int from, int to) {
        if (!isLinkUp(from, to) || from == to) {
            return;
        }
        nodes[to].lastContactAt[from] = now;
        for (ReplicatedType<?> type : RolloutController.replicatedTypes()) {
            if (!countersOmitted || !COUNTER_TYPES.contains(type)) {
                nodes[to].store.mergeFrom(nodes[from].store, type, now);
            }
        }
        invariants.recordVotes();
    }

    /** Adds a message to the queue of a link. */
    void send(int from, int to, SentMessage message) {
        Deque<SentMessage> link = links.get(from).get(to);
        link.addLast(message);
        if (link.size() > linkCapacity) {
            link.removeFirst();
        }
    }

    /** Delivers the oldest message in flight on a link, or loses it if the link is down. */
    void deliver(int from, int to) {
        SentMessage sent = links.get(from).get(to).pollFirst();
        if (sent == null || !isLinkUp(from, to)) {
            return;
        }
        RolloutNode node = nodes[to];
        if (sent.message() instanceof LeaseResponse response && response.granted()) {
            node.grantedRequestAt.merge(sent.from().member(), response.requestedAt(), Math::max);
        }
        node.controller.onMessage(sent.from(), sent.message(), now, node);
    }

    void tick(int i) {
        if (nodes[i] != null) {
            nodes[i].controller.tick(now, nodes[i]);
            invariants.recordVotes();
        }
    }

    /**
     * Advances the time by one step, then ticks every node and exchanges values and messages on every link that is up.
     */
    void step() {
        now += STEP_SECONDS;
        for (int i = 0; i < nodes.length; i++) {
            tick(i);
        }
        for (int i = 0; i < nodes.length; i++) {
            for (int j = 0; j < nodes.length; j++) {
                exchange(i, j);
                while (!links.get(i).get(j).isEmpty()) {
                    deliver(i, j);
                }
            }
        }
    }

    void run(double seconds) {
        for (double end = now + seconds; now < end; ) {
            step();
        }
    }

    /** Description of a violated invariant; null if all hold. */
    String findViolation() {
        return invariants.findViolation();
    }

    /**
     * Counts requests at each node, each request with a new session.
     *
     * @param requests number of requests for each node
     * @param failureShare share of the requests that fail if they get the candidate
     */
    void serveRequests(int requests, double failureShare) {
        for (RolloutNode node : nodes) {
            if (node != null) {
                var batch = new CounterBatch();
                for (int i = 0; i < requests; i++) {
                    long session = sessionsServed++;
                    RuleSetVersion version = node.controller.split().versionFor(session, now);
                    boolean failed = version.isCandidate() && failureShare * requests > i;
                    batch.add(version, "read", session, failed, false, false, 0.01);
                }
                node.controller.addOutcomes(batch, now);
            }
        }
    }

    /** Encodes and decodes a value; fails if the value and its key do not fit in a message. */
    static <V> V encodeAndDecode(ReplicatedType<V> type, String key, V value) {
        var out = new FieldWriter();
        type.write(value, out);
        byte[] bytes = out.toByteArray();
        if (key.length() > ReplicatedStore.MAX_KEY_BYTES || bytes.length + key.length() > MAX_VALUE_BYTES) {
            throw new AssertionError(type.name() + " of " + bytes.length + " bytes under " + key);
        }
        return type.read(new FieldReader(bytes));
    }

    /** A plan with two stages and a guard on failures. */
    static RolloutPlan plan(double minSeconds, long minSamples) {
        List<Guard> guards = List.of(new Guard(Guard.ALL_CLASSES, GuardMetric.FAILED, Double.POSITIVE_INFINITY, 0.002));
        return new RolloutPlan(
                List.of(
                        new RolloutStage(0.1, minSeconds, minSamples, guards),
                        new RolloutStage(0.5, minSeconds, minSamples, guards)),
                RolloutPlan.DEFAULT_ALPHA,
                1);
    }
}
