package clayhook.rollout;

import clayhook.fleet.Address;
import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
import clayhook.fleet.Member;
import clayhook.fleet.MembershipView;
import clayhook.fleet.Message;
import clayhook.fleet.Outbox;
import clayhook.fleet.Peer;
import clayhook.fleet.ReplicatedStore;
import clayhook.fleet.ReplicatedType;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

/**
 * Routers in virtual time. What they share is exchanged whole, link by link; parts wait in queues until they are
 * delivered.
 */
final class RolloutCluster {
    /** Seconds of silence after which a member counts as gone. */
    static final double MEMBER_TIMEOUT_SECONDS = 3;

    private static final Set<ReplicatedType<?>> COUNTER_TYPES = Set.of(
            MemberCounters.OUTCOME_COUNTS, MemberCounters.BASELINE_LATENCIES, MemberCounters.CANDIDATE_LATENCIES);
    /** A copy that is exchanged whole: slow, and easily seen to be right. */
    static final class InMemoryStore implements ReplicatedStore {
        private final Map<Integer, TreeMap<String, Object>> values = new TreeMap<>();
        private final Map<Integer, ReplicatedStore.ChangeListener<Object>> listeners = new HashMap<>();
        boolean complete = true;

        @Override
        @SuppressWarnings("unchecked")
        public <V> V merge(ReplicatedType<V> kind, String key, V value, double now) {
            if (now - kind.timestamp(value) > kind.retentionSeconds()) {
                return null;
            }
            V before = get(kind, key);
            V joined = before == null ? value : kind.merge(before, value);
            if (!joined.equals(before)) {
                values.computeIfAbsent(kind.typeNumber(), any -> new TreeMap<>())
                        .put(key, joined);
                ChangeListener<Object> listener = listeners.get(kind.typeNumber());
                if (listener != null) {
                    listener.onChange(key, joined, now);
                }
            }
            return joined;
        }

        @Override
        @SuppressWarnings("unchecked")
        public <V> V get(ReplicatedType<V> kind, String key) {
            return (V) values.getOrDefault(kind.typeNumber(), new TreeMap<>()).get(key);
        }

        @Override
        @SuppressWarnings("unchecked")
        public <V> void forEach(ReplicatedType<V> kind, BiConsumer<String, V> to) {
            values.getOrDefault(kind.typeNumber(), new TreeMap<>()).forEach((key, value) -> to.accept(key, (V) value));
        }

        @Override
        @SuppressWarnings("unchecked")
        public <V> void addListener(ReplicatedType<V> kind, ChangeListener<V> listener) {
            listeners.put(kind.typeNumber(), (ChangeListener<Object>) listener);
        }

        @Override
        public int size(ReplicatedType<?> kind) {
            return values.getOrDefault(kind.typeNumber(), new TreeMap<>()).size();
        }

        @Override
        public double evictionFloor(ReplicatedType<?> kind) {
            return Double.NEGATIVE_INFINITY;
        }

        @Override
        public double completeUpTo(double now) {
            return complete ? now - 1 : Double.NEGATIVE_INFINITY;
        }

        @Override
        public long digest(ReplicatedType<?> kind, double now) {
            return values.getOrDefault(kind.typeNumber(), new TreeMap<>()).hashCode();
        }

        private <V> void mergeFrom(InMemoryStore from, ReplicatedType<V> kind, double now) {
            var all = new TreeMap<String, V>();
            from.forEach(kind, all::put);
            all.forEach((key, value) -> merge(kind, key, value, now));
        }
    }

    /** Across the wire and back. */
    static <V> V encodeAndDecode(ReplicatedType<V> kind, String key, V value) {
        var out = new FieldWriter();
        kind.write(value, out);
        byte[] bytes = out.toByteArray();
        if (key.length() > ReplicatedStore.MAX_KEY_BYTES || bytes.length + key.length() > 1200) {
            throw new AssertionError(kind.name() + " of " + bytes.length + " bytes under " + key);
        }
        return kind.read(new FieldReader(bytes));
    }

    /** One life of one router. */
    final class RolloutNode implements MembershipView, Outbox {
        final int number;
        final Member member;
        final InMemoryStore store = new InMemoryStore();
        final List<RolloutEvent> events = new ArrayList<>();
        final RolloutController controller;
        final double[] lastContactAt;
        /** Texts that it cannot read. */
        String unreadableRules = "";
        /** Ground truth: when it was asked, by asker's number, as far as its answer came back. */
        final Map<Member, Double> grantedRequestAt = new HashMap<>();

        RolloutNode(int number, long boot) {
            this.number = number;
            member = new Member("r" + number, boot);
            lastContactAt = new double[nodes.length];
            for (int i = 0; i < lastContactAt.length; i++) {
                lastContactAt[i] = Double.NEGATIVE_INFINITY;
            }
            controller = new RolloutController(
                    this,
                    store,
                    settings,
                    (hash, rules) -> rules.equals(unreadableRules) ? "no such key" : null,
                    number,
                    now,
                    events::add,
                    quorum,
                    leaseFactory);
        }

        boolean hasEvent(RolloutEvent.EventType what) {
            return events.stream().anyMatch(each -> each.type() == what);
        }

        boolean isRunning() {
            return controller.split().candidate() != null
                    && now < controller.split().validUntil();
        }

        RolloutProgress latestProgress() {
            var rounds = new ArrayList<RolloutProgress>();
            store.forEach(RolloutProgress.TYPE, (key, round) -> rounds.add(round));
            return rounds.isEmpty() ? null : rounds.get(rounds.size() - 1);
        }

        @Override
        public Peer self() {
            return new Peer(member, new Address("r", number));
        }

        @Override
        public List<Peer> livePeers() {
            var others = new ArrayList<Peer>();
            for (RolloutNode node : nodes) {
                if (node != null && node != this && isLive(node.member)) {
                    others.add(node.self());
                }
            }
            return others;
        }

        @Override
        public List<Member> possiblyServing(double now) {
            return livePeers().stream().map(Peer::member).toList();
        }

        @Override
        public boolean isLive(Member other) {
            for (RolloutNode node : nodes) {
                if (node != null && node.member.equals(other)) {
                    return now - lastContactAt[node.number] < MEMBER_TIMEOUT_SECONDS;
                }
            }
            return false;
        }

        @Override
        public double lastHeardAt(Member other) {
            return Double.NEGATIVE_INFINITY;
        }

        @Override
        public double clockOffset(Member other) {
            return Double.NaN;
        }

        @Override
        public boolean clockWithinBound(Member other) {
            return true;
        }

        @Override
        public boolean recentlyStalled(double now) {
            return false;
        }

        @Override
        public void add(Address to, Message part) {
            Deque<SentMessage> link = links.get(number).get(to.port());
            link.addLast(new SentMessage(self(), part));
            if (link.size() > linkCapacity) {
                link.removeFirst();
            }
        }
    }

    /** A part under way. */
    record SentMessage(Peer from, Message message) {}

    final RolloutSettings settings;
    final Quorum quorum;
    final Supplier<Lease> leaseFactory;
    final RolloutNode[] nodes;
    final List<List<Deque<SentMessage>>> links = new ArrayList<>();
    /** Directed links that are cut: from * n + to. */
    final Set<Integer> cutLinks = new HashSet<>();
    /** Ground truth: all that ever voted for a stage, by vote's key, whoever has died since. */
    final Map<String, Integer> votes = new HashMap<>();

    double now = 1_000_000;
    /** Parts on a link; the oldest gets lost. */
    int linkCapacity = 4;
    /** Members hear each other, but no figures. */
    boolean countersMuted;

    private final Map<String, RolloutTerms> terms = new HashMap<>();
    private long incarnations;
    private long sessionsServed;

    RolloutCluster(int size, Quorum quorum, Supplier<Lease> leases) {
        this.settings = new RolloutSettings("0000000000000000base", size, 4, 1, 30, 1);
        this.quorum = quorum;
        this.leaseFactory = leases;
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

    RolloutNode startNode(int i) {
        nodes[i] = new RolloutNode(i, ++incarnations);
        for (int j = 0; j < nodes.length; j++) {
            links.get(j).get(i).clear();
            links.get(i).get(j).clear();
        }
        return nodes[i];
    }

    void killNode(int i) {
        nodes[i] = null;
    }

    boolean isLinkUp(int from, int to) {
        return nodes[from] != null && nodes[to] != null && !cutLinks.contains(from * nodes.length + to);
    }

    /** Cuts the nodes below that number from the others, both ways; 0 heals. */
    void partition(int at) {
        cutLinks.clear();
        for (int i = 0; i < nodes.length; i++) {
            for (int j = 0; j < nodes.length; j++) {
                if (i < at != j < at) {
                    cutLinks.add(i * nodes.length + j);
                }
            }
        }
    }

    /** All that one router shares comes to another. */
    void exchange(int from, int to) {
        if (isLinkUp(from, to) && from != to) {
            nodes[to].lastContactAt[from] = now;
            for (ReplicatedType<?> kind : RolloutController.replicatedTypes()) {
                if (!countersMuted || !COUNTER_TYPES.contains(kind)) {
                    nodes[to].store.mergeFrom(nodes[from].store, kind, now);
                }
            }
            recordVotes();
        }
    }

    /** The oldest part on that link arrives. */
    void deliver(int from, int to) {
        SentMessage sent = links.get(from).get(to).pollFirst();
        if (sent != null && isLinkUp(from, to)) {
            RolloutNode node = nodes[to];
            Message part = sent.message();
            if (part instanceof LeaseResponse answer && answer.granted()) {
                node.grantedRequestAt.merge(sent.from().member(), answer.requestedAt(), Math::max);
            }
            node.controller.onMessage(sent.from(), part, now, node);
        }
    }

    void tick(int i) {
        if (nodes[i] != null) {
            nodes[i].controller.tick(now, nodes[i]);
            recordVotes();
        }
    }

    private void recordVotes() {
        for (RolloutNode node : nodes) {
            if (node != null) {
                node.store.forEach(StageVote.TYPE, (key, vote) -> votes.merge(key, vote.stage(), Math::max));
            }
        }
    }

    /** A quarter of a second in which every link that is up delivers, and whoever is there takes a turn. */
    void step() {
        now += 0.25;
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

    /** The rules that hold whatever happens; null while they do, else which one does not. */
    String findViolation() {
        Set<String> running = new HashSet<>();
        for (RolloutNode node : nodes) {
            if (node == null) {
                continue;
            }
            String[] broken = {null};
            node.store.forEach(RolloutProgress.TYPE, (id, round) -> {
                RolloutTerms terms = terms(round);
                if (terms != null && round.stage() > 0) {
                    long voters = terms.roster().stream()
                            .filter(by -> votes.getOrDefault(StageVote.key(id, by), -1) >= round.stage())
                            .count();
                    broken[0] = 2 * voters <= terms.voterCount()
                            ? node.member + " went on with " + voters + " votes"
                            : broken[0];
                }
                if (round.end() != null
                        && node.isRunning()
                        && node.controller
                                .split()
                                .candidate()
                                .equals(round.proposal().rulesHash())
                        && runsThatRollout(node, round)) {
                    broken[0] = node.member + " runs what was ended";
                }
            });
            if (broken[0] != null) {
                return broken[0];
            }
            if (node.isRunning()) {
                RuleSetVersion version = candidateVersion(node);
                running.add(version.rolloutId());
                RolloutProgress round = node.store.get(RolloutProgress.TYPE, version.rolloutId());
                RolloutTerms terms = terms(round);
                long contacts = terms.roster().stream()
                        .filter(by -> by.equals(node.member)
                                || now - node.grantedRequestAt.getOrDefault(by, Double.NEGATIVE_INFINITY)
                                        < settings.leaseSeconds())
                        .count();
                if (2 * contacts <= terms.voterCount()) {
                    return node.member + " runs the candidate with " + contacts + " contacts within a lease";
                }
            }
        }
        return running.size() > 1 ? "two rollouts in force: " + running : null;
    }

    private static boolean runsThatRollout(RolloutNode node, RolloutProgress ended) {
        return candidateVersion(node).rolloutId().equals(ended.proposal().id());
    }

    /** The version that sessions of the candidate's share get. */
    static RuleSetVersion candidateVersion(RolloutNode node) {
        for (long session = 0; ; session++) {
            if (node.controller.split().candidate(session)) {
                return node.controller.split().versionFor(session, Double.NEGATIVE_INFINITY);
            }
        }
    }

    private RolloutTerms terms(RolloutProgress round) {
        for (RolloutNode node : nodes) {
            byte[] bytes = node == null || terms.containsKey(round.proposal().termsHash())
                    ? null
                    : TextChunk.assemble(
                            node.store,
                            round.proposal().termsHash(),
                            round.proposal().termsLength());
            if (bytes != null) {
                terms.put(round.proposal().termsHash(), RolloutTerms.decode(bytes));
            }
        }
        return terms.get(round.proposal().termsHash());
    }

    /**
     * Each router that runs a candidate answers so many commands of each version's sessions; of the candidate's so many
     * fail.
     */
    void serveRequests(int commands, double failing) {
        for (RolloutNode node : nodes) {
            if (node != null) {
                var batch = new CounterBatch();
                for (int i = 0; i < commands; i++) {
                    long session = sessionsServed++;
                    RuleSetVersion version = node.controller.split().versionFor(session, now);
                    boolean failed = version.isCandidate() && failing * commands > i;
                    batch.add(version, "read", session, failed, false, false, 0.01);
                }
                node.controller.addOutcomes(batch, now);
            }
        }
    }

    /** Two stages with a guard on failures. */
    static RolloutPlan plan(double seconds, long samples) {
        List<Guard> guards = List.of(new Guard(Guard.ALL_CLASSES, GuardMetric.FAILED, Double.POSITIVE_INFINITY, 0.002));
        return new RolloutPlan(
                List.of(
                        new RolloutStage(0.1, seconds, samples, guards),
                        new RolloutStage(0.5, seconds, samples, guards)),
                RolloutPlan.DEFAULT_ALPHA,
                1);
    }
}
