package clayhook.rollout;

import clayhook.fleet.Address;
import clayhook.fleet.Member;
import clayhook.fleet.MembershipView;
import clayhook.fleet.Message;
import clayhook.fleet.Outbox;
import clayhook.fleet.Peer;
import clayhook.rollout.RolloutEvent.EventType;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** An incarnation of a router in a {@link RolloutCluster}. */
final class RolloutNode implements MembershipView, Outbox {
    private final RolloutCluster cluster;
    final int number;
    final Member member;
    final InMemoryStore store = new InMemoryStore();
    final List<RolloutEvent> events = new ArrayList<>();
    final RolloutController controller;
    /** Time at which this node last received replicated values from each node, by node number. */
    final double[] lastContactAt;
    /** Text of the rules that this router's validator rejects. */
    String invalidRules = "";
    /** By voter, the time at which the latest request was sent whose grant this node has received. */
    final Map<Member, Double> grantedRequestAt = new HashMap<>();

    RolloutNode(RolloutCluster cluster, int number, long incarnation) {
        this.cluster = cluster;
        this.number = number;
        member = new Member("r" + number, incarnation);
        lastContactAt = new double[cluster.nodes.length];
        Arrays.fill(lastContactAt, Double.NEGATIVE_INFINITY);
        RuleSetValidator validator = (hash, rules) -> rules.equals(invalidRules) ? "no such key" : null;
        controller = new RolloutController(
                this,
                store,
                cluster.settings,
                validator,
                number,
                cluster.now,
                events::add,
                cluster.quorum,
                cluster.leaseFactory);
    }

    boolean hasEvent(EventType type) {
        return events.stream().anyMatch(event -> event.type() == type);
    }

    /** Whether sessions at this node get a candidate now. */
    boolean isRunning() {
        TrafficSplit split = controller.split();
        return split.candidateRulesHash() != null && cluster.now < split.validUntil();
    }

    /** Hash of the rules for sessions without a candidate. */
    String currentRulesHash() {
        return controller.split().currentRulesHash();
    }

    /** The progress of the rollout with the greatest id; null if there is none. */
    RolloutProgress latestProgress() {
        var all = new ArrayList<RolloutProgress>();
        store.forEach(RolloutProgress.TYPE, (id, progress) -> all.add(progress));
        return all.isEmpty() ? null : all.get(all.size() - 1);
    }

    /** The version for sessions of the candidate's share. */
    RuleSetVersion candidateVersion() {
        TrafficSplit split = controller.split();
        long session = 0;
        while (!split.isCandidateSession(session)) {
            session++;
        }
        return split.versionFor(session, Double.NEGATIVE_INFINITY);
    }

    @Override
    public Peer self() {
        return new Peer(member, new Address("r", number));
    }

    @Override
    public List<Peer> livePeers() {
        var peers = new ArrayList<Peer>();
        for (RolloutNode node : cluster.nodes) {
            if (node != null && node != this && isLive(node.member)) {
                peers.add(node.self());
            }
        }
        return peers;
    }

    @Override
    public List<Member> possiblyServing(double now) {
        return livePeers().stream().map(Peer::member).toList();
    }

    @Override
    public boolean isLive(Member other) {
        for (RolloutNode node : cluster.nodes) {
            if (node != null && node.member.equals(other)) {
                return cluster.now - lastContactAt[node.number] < RolloutCluster.MEMBER_TIMEOUT_SECONDS;
            }
        }
        return false;
    }

    @Override
    public double lastContactAt(Member other) {
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
    public void add(Address to, Message message) {
        cluster.send(number, to.port(), new RolloutCluster.SentMessage(self(), message));
    }
}
