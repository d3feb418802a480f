package clayhook.fleet.state;

import clayhook.fleet.Member;
import clayhook.fleet.state.TimestampedNumberType.TimestampedNumber;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** What befalls a few routers, with a plain record of all that was put in, and what must hold of their copies. */
final class FaultScenario {
    /** One thing that happens; what the numbers mean goes by {@code what}. */
    record Action(int actionIndex, int memberIndex, int key, int value) {
        static final int ACTION_COUNT = 13;
    }

    private record TypedKey(TimestampedNumberType type, String key) {}

    private record RecordedWrite(TypedKey key, TimestampedNumber value, Member writer, double writtenAt) {}

    /** Beside the margin: the clocks' bound and a step, since copies leave out the same a moment apart. */
    private static final double TIMING_SLACK_SECONDS = 2;

    final StateTestNetwork network;
    private final List<TimestampedNumberType> types;
    private final List<RecordedWrite> writes = new ArrayList<>();
    /** Joins of all that was put in, and of what some router surely has. */
    private final Map<TypedKey, TimestampedNumber> allWrites = new HashMap<>();

    private final Map<TypedKey, TimestampedNumber> guaranteedWrites = new HashMap<>();

    FaultScenario(long seed, int size, List<TimestampedNumberType> kinds) {
        network = new StateTestNetwork(seed, size, List.copyOf(kinds), StateSettings.DEFAULT).startAll();
        this.types = kinds;
    }

    void perform(Action act) {
        StateTestNetwork.SimulatedMember node = network.nodes.get(act.memberIndex % network.nodes.size());
        switch (act.actionIndex) {
            case 0, 1, 2, 3, 4, 5, 6 -> put(node, act);
            case 7 -> node.partition ^= 1;
            case 8 -> network.nodes.forEach(each -> each.partition = 0);
            case 9 -> node.frozen = true;
            case 10 -> node.thaw();
            case 11 -> restart(node);
            default -> setLinkFaults(act.value % 4 * 0.1, act.key % 3 * 0.1, act.value % 5 * 0.01);
        }
        network.run(act.value % 7 * 0.1);
        network.nodes.stream().filter(each -> !each.frozen).forEach(this::checkCertainty);
    }

    private void setLinkFaults(double loss, double doubled, double jitter) {
        network.lossProbability = loss;
        network.duplicationProbability = doubled;
        network.jitter = jitter;
    }

    private void put(StateTestNetwork.SimulatedMember node, Action act) {
        if (node.frozen) {
            return;
        }
        var key = new TypedKey(types.get(act.value % types.size()), "key " + act.key % 15);
        double age = act.value % 11 == 0 ? 30 : act.value % 13 == 0 ? -30 : act.value % 10 * 0.3;
        var value = new TimestampedNumber(1L << act.value % 60, node.clock() - age);
        TimestampedNumber joined = node.state.merge(key.type, key.key, value, node.clock());
        if (joined != null) {
            writes.add(new RecordedWrite(key, value, node.self.member(), network.now));
            allWrites.merge(key, value, key.type::merge);
            guaranteedWrites.merge(key, value, key.type::merge);
        }
    }

    /** What only that router had is gone, which no copy can help. */
    private void restart(StateTestNetwork.SimulatedMember node) {
        guaranteedWrites.clear();
        network.nodes.stream()
                .filter(other -> other != node)
                .forEach(other -> types.forEach(kind -> other.state.forEach(
                        kind, (key, value) -> guaranteedWrites.merge(new TypedKey(kind, key), value, kind::merge))));
        node.start();
    }

    /** What a copy calls certain is there. */
    private void checkCertainty(StateTestNetwork.SimulatedMember node) {
        double upTo = node.state.completeUpTo(node.clock()) + node.clockLag;
        for (RecordedWrite put : writes) {
            if (put.writtenAt < upTo - 0.002 && !put.writer.equals(node.self.member()) && node.isLive(put.writer)) {
                expect(node, put.key, put.value, "certain up to " + (network.now - upTo) + " s ago");
            }
        }
    }

    private void expect(StateTestNetwork.SimulatedMember node, TypedKey key, TimestampedNumber value, String why) {
        double ends = value.at()
                + key.type.retentionSeconds()
                - StateSettings.DEFAULT.digestExclusionMargin()
                - TIMING_SLACK_SECONDS;
        if (ends > network.now && value.at() > node.state.evictionFloor(key.type)) {
            TimestampedNumber here = node.state.get(key.type, key.key);
            if (here == null || !key.type.merge(here, value).equals(here)) {
                throw new AssertionError(
                        node.address + " lacks " + value + " of " + key + ", has " + here + ", " + why);
            }
        }
    }

    /** Everything heals; then all copies come to the same, which is the join of all that was put in. */
    void healAndCheck() {
        setLinkFaults(0.05, 0.05, 0.01);
        network.nodes.forEach(node -> node.partition = 0);
        network.nodes.forEach(StateTestNetwork.SimulatedMember::thaw);
        if (network.runUntil(30, network::replicasAreEqual) > 30) {
            throw new AssertionError("copies differ after 30 s");
        }
        for (StateTestNetwork.SimulatedMember node : network.nodes) {
            guaranteedWrites.forEach((key, value) -> expect(node, key, value, "at the end"));
            types.forEach(kind -> node.state.forEach(kind, (key, value) -> {
                TimestampedNumber all = allWrites.get(new TypedKey(kind, key));
                if (all == null || !kind.merge(value, all).equals(all)) {
                    throw new AssertionError(node.address + " has " + value + " under " + key + ", put in was " + all);
                }
            }));
        }
        double sure = network.runUntil(20, () -> network.nodes.stream()
                .allMatch(node -> node.state.completeUpTo(node.clock()) > network.now - 4));
        if (sure > 20) {
            throw new AssertionError("not certain after 20 s");
        }
        network.nodes.forEach(this::checkCertainty);
    }
}
