package clayhook.rollout;

import clayhook.fleet.Address;
import clayhook.fleet.ReplicatedType;
import clayhook.fleet.Member;
import clayhook.fleet.Outbox;
import clayhook.fleet.Message;
import clayhook.fleet.Peer;
import clayhook.fleet.FieldReader;
import clayhook.fleet.MembershipView;
import clayhook.fleet.ReplicatedStore;
import clayhook.fleet.FieldWriter;
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
final class Net {
    /** Seconds of silence after which a member counts as gone. */
    static final double GONE = 3;

    private static final Set<ReplicatedType<?>> FIGURES = Set.of(Figure.COUNTS, Figure.OLD_TIMES, Figure.CANDIDATE_TIMES);
    /** A copy that is exchanged whole: slow, and easily seen to be right. */
    static final class Copy implements ReplicatedStore {
        private final Map<Integer, TreeMap<String, Object>> values = new TreeMap<>();
        private final Map<Integer, ReplicatedStore.ChangeListener<Object>> listeners = new HashMap<>();
        boolean whole = true;

        @Override
        @SuppressWarnings("unchecked")
        public <V> V merge(ReplicatedType<V> kind, String key, V value, double now) {
            if (now - kind.timestamp(value) > kind.retentionSeconds()) {
                return null;
            }
            V before = get(kind, key);
            V joined = before == null ? value : kind.merge(before, value);
            if (!joined.equals(before)) {
                values.computeIfAbsent(kind.typeNumber(), any -> new TreeMap<>()).put(key, joined);
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
            return whole ? now - 1 : Double.NEGATIVE_INFINITY;
        }

        @Override
        public long digest(ReplicatedType<?> kind, double now) {
            return values.getOrDefault(kind.typeNumber(), new TreeMap<>()).hashCode();
        }

        private <V> void take(Copy from, ReplicatedType<V> kind, double now) {
            var all = new TreeMap<String, V>();
            from.forEach(kind, all::put);
            all.forEach((key, value) -> merge(kind, key, value, now));
        }
    }

    /** Across the wire and back. */
    static <V> V carried(ReplicatedType<V> kind, String key, V value) {
        var out = new FieldWriter();
        kind.write(value, out);
        byte[] bytes = out.toByteArray();
        if (key.length() > ReplicatedStore.MAX_KEY_BYTES || bytes.length + key.length() > 1200) {
            throw new AssertionError(kind.name() + " of " + bytes.length + " bytes under " + key);
        }
        return kind.read(new FieldReader(bytes));
    }

    /** One life of one router. */
    final class Node implements MembershipView, Outbox {
        final int number;
        final Member member;
        final Copy shared = new Copy();
        final List<News> news = new ArrayList<>();
        final Rollouts rollouts;
        final double[] heardAt;
        /** Texts that it cannot read. */
        String unreadable = "";
        /** Ground truth: when it was asked, by asker's number, as far as its answer came back. */
        final Map<Member, Double> answered = new HashMap<>();

        Node(int number, long boot) {
            this.number = number;
            member = new Member("r" + number, boot);
            heardAt = new double[nodes.length];
            for (int i = 0; i < heardAt.length; i++) {
                heardAt[i] = Double.NEGATIVE_INFINITY;
            }
            rollouts = new Rollouts(
                    this,
                    shared,
                    settings,
                    (hash, rules) -> rules.equals(unreadable) ? "no such key" : null,
                    number,
                    now,
                    news::add,
                    quorum,
                    leases);
        }

        boolean told(News.What what) {
            return news.stream().anyMatch(each -> each.what() == what);
        }

        boolean runs() {
            return rollouts.split().candidate() != null
                    && now < rollouts.split().until();
        }

        Round round() {
            var rounds = new ArrayList<Round>();
            shared.forEach(Round.KIND, (key, round) -> rounds.add(round));
            return rounds.isEmpty() ? null : rounds.get(rounds.size() - 1);
        }

        @Override
        public Peer self() {
            return new Peer(member, new Address("r", number));
        }

        @Override
        public List<Peer> livePeers() {
            var others = new ArrayList<Peer>();
            for (Node node : nodes) {
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
            for (Node node : nodes) {
                if (node != null && node.member.equals(other)) {
                    return now - heardAt[node.number] < GONE;
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
            Deque<Sent> link = links.get(number).get(to.port());
            link.addLast(new Sent(self(), part));
            if (link.size() > mostOnLink) {
                link.removeFirst();
            }
        }
    }

    /** A part under way. */
    record Sent(Peer from, Message part) {}

    final RolloutSettings settings;
    final Quorum quorum;
    final Supplier<Lease> leases;
    final Node[] nodes;
    final List<List<Deque<Sent>>> links = new ArrayList<>();
    /** Directed links that are cut: from * n + to. */
    final Set<Integer> cut = new HashSet<>();
    /** Ground truth: all that ever voted for a stage, by vote's key, whoever has died since. */
    final Map<String, Integer> votes = new HashMap<>();

    double now = 1_000_000;
    /** Parts on a link; the oldest gets lost. */
    int mostOnLink = 4;
    /** Members hear each other, but no figures. */
    boolean mute;

    private final Map<String, Terms> terms = new HashMap<>();
    private long boots;
    private long served;

    Net(int size, Quorum quorum, Supplier<Lease> leases) {
        this.settings = new RolloutSettings("0000000000000000base", size, 4, 1, 30, 1);
        this.quorum = quorum;
        this.leases = leases;
        nodes = new Node[size];
        for (int i = 0; i < size; i++) {
            links.add(new ArrayList<>());
            for (int j = 0; j < size; j++) {
                links.get(i).add(new ArrayDeque<>());
            }
        }
        for (int i = 0; i < size; i++) {
            start(i);
        }
    }

    Net(int size) {
        this(size, new Quorum(), Lease::new);
    }

    Node start(int i) {
        nodes[i] = new Node(i, ++boots);
        for (int j = 0; j < nodes.length; j++) {
            links.get(j).get(i).clear();
            links.get(i).get(j).clear();
        }
        return nodes[i];
    }

    void kill(int i) {
        nodes[i] = null;
    }

    boolean up(int from, int to) {
        return nodes[from] != null && nodes[to] != null && !cut.contains(from * nodes.length + to);
    }

    /** Cuts the nodes below that number from the others, both ways; 0 heals. */
    void split(int at) {
        cut.clear();
        for (int i = 0; i < nodes.length; i++) {
            for (int j = 0; j < nodes.length; j++) {
                if (i < at != j < at) {
                    cut.add(i * nodes.length + j);
                }
            }
        }
    }

    /** All that one router shares comes to another. */
    void exchange(int from, int to) {
        if (up(from, to) && from != to) {
            nodes[to].heardAt[from] = now;
            for (ReplicatedType<?> kind : Rollouts.kinds()) {
                if (!mute || !FIGURES.contains(kind)) {
                    nodes[to].shared.take(nodes[from].shared, kind, now);
                }
            }
            note();
        }
    }

    /** The oldest part on that link arrives. */
    void deliver(int from, int to) {
        Sent sent = links.get(from).get(to).pollFirst();
        if (sent != null && up(from, to)) {
            Node node = nodes[to];
            Message part = sent.part();
            if (part instanceof Answer answer && answer.granted()) {
                node.answered.merge(sent.from().member(), answer.asked(), Math::max);
            }
            node.rollouts.onMessage(sent.from(), part, now, node);
        }
    }

    void turn(int i) {
        if (nodes[i] != null) {
            nodes[i].rollouts.tick(now, nodes[i]);
            note();
        }
    }

    private void note() {
        for (Node node : nodes) {
            if (node != null) {
                node.shared.forEach(Vote.KIND, (key, vote) -> votes.merge(key, vote.stage(), Math::max));
            }
        }
    }

    /** A quarter of a second in which every link that is up delivers, and whoever is there takes a turn. */
    void step() {
        now += 0.25;
        for (int i = 0; i < nodes.length; i++) {
            turn(i);
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
    String broken() {
        Set<String> running = new HashSet<>();
        for (Node node : nodes) {
            if (node == null) {
                continue;
            }
            String[] broken = {null};
            node.shared.forEach(Round.KIND, (id, round) -> {
                Terms terms = terms(round);
                if (terms != null && round.stage() > 0) {
                    long voters = terms.roster().stream()
                            .filter(by -> votes.getOrDefault(Vote.key(id, by), -1) >= round.stage())
                            .count();
                    broken[0] = 2 * voters <= terms.voters()
                            ? node.member + " went on with " + voters + " votes"
                            : broken[0];
                }
                if (round.end() != null
                        && node.runs()
                        && node.rollouts
                                .split()
                                .candidate()
                                .equals(round.proposal().rules())
                        && only(node, round)) {
                    broken[0] = node.member + " runs what was ended";
                }
            });
            if (broken[0] != null) {
                return broken[0];
            }
            if (node.runs()) {
                Version version = candidate(node);
                running.add(version.round());
                Round round = node.shared.get(Round.KIND, version.round());
                Terms terms = terms(round);
                long contacts = terms.roster().stream()
                        .filter(by -> by.equals(node.member)
                                || now - node.answered.getOrDefault(by, Double.NEGATIVE_INFINITY) < settings.lease())
                        .count();
                if (2 * contacts <= terms.voters()) {
                    return node.member + " runs the candidate with " + contacts + " contacts within a lease";
                }
            }
        }
        return running.size() > 1 ? "two rollouts in force: " + running : null;
    }

    private static boolean only(Node node, Round ended) {
        return candidate(node).round().equals(ended.proposal().id());
    }

    /** The version that sessions of the candidate's share get. */
    static Version candidate(Node node) {
        for (long session = 0; ; session++) {
            if (node.rollouts.split().candidate(session)) {
                return node.rollouts.split().version(session, Double.NEGATIVE_INFINITY);
            }
        }
    }

    private Terms terms(Round round) {
        for (Node node : nodes) {
            byte[] bytes = node == null || terms.containsKey(round.proposal().terms())
                    ? null
                    : Piece.whole(
                            node.shared,
                            round.proposal().terms(),
                            round.proposal().termsBytes());
            if (bytes != null) {
                terms.put(round.proposal().terms(), Terms.of(bytes));
            }
        }
        return terms.get(round.proposal().terms());
    }

    /**
     * Each router that runs a candidate answers so many commands of each version's sessions; of the candidate's so many
     * fail.
     */
    void serve(int commands, double failing) {
        for (Node node : nodes) {
            if (node != null) {
                var batch = new Batch();
                for (int i = 0; i < commands; i++) {
                    long session = served++;
                    Version version = node.rollouts.split().version(session, now);
                    boolean failed = version.candidate() && failing * commands > i;
                    batch.add(version, "read", session, failed, false, false, 0.01);
                }
                node.rollouts.took(batch, now);
            }
        }
    }

    /** Two stages with a guard on failures. */
    static Plan plan(double seconds, long samples) {
        List<Guard> guards = List.of(new Guard(Guard.ALL, Measure.FAILED, Double.POSITIVE_INFINITY, 0.002));
        return new Plan(
                List.of(new Stage(0.1, seconds, samples, guards), new Stage(0.5, seconds, samples, guards)),
                Plan.ALPHA,
                1);
    }
}
