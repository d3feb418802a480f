package clayhook.fleet.state;

import clayhook.fleet.Member;
import clayhook.fleet.state.Plain.Stamped;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** What befalls a few routers, with a plain record of all that was put in, and what must hold of their copies. */
final class Story {
    /** One thing that happens; what the numbers mean goes by {@code what}. */
    record Act(int what, int who, int key, int value) {
        static final int KINDS = 13;
    }

    private record Key(Plain kind, String key) {}

    private record Put(Key key, Stamped value, Member by, double when) {}

    /** Beside the margin: the clocks' bound and a step, since copies leave out the same a moment apart. */
    private static final double SLACK = 2;

    final Net net;
    private final List<Plain> kinds;
    private final List<Put> puts = new ArrayList<>();
    /** Joins of all that was put in, and of what some router surely has. */
    private final Map<Key, Stamped> most = new HashMap<>();

    private final Map<Key, Stamped> least = new HashMap<>();

    Story(long seed, int size, List<Plain> kinds) {
        net = new Net(seed, size, List.copyOf(kinds), StateSettings.DEFAULT).started();
        this.kinds = kinds;
    }

    void play(Act act) {
        Net.Node node = net.nodes.get(act.who % net.nodes.size());
        switch (act.what) {
            case 0, 1, 2, 3, 4, 5, 6 -> put(node, act);
            case 7 -> node.side ^= 1;
            case 8 -> net.nodes.forEach(each -> each.side = 0);
            case 9 -> node.frozen = true;
            case 10 -> node.thaw();
            case 11 -> restart(node);
            default -> weather(act.value % 4 * 0.1, act.key % 3 * 0.1, act.value % 5 * 0.01);
        }
        net.run(act.value % 7 * 0.1);
        net.nodes.stream().filter(each -> !each.frozen).forEach(this::certain);
    }

    private void weather(double loss, double doubled, double jitter) {
        net.loss = loss;
        net.doubled = doubled;
        net.jitter = jitter;
    }

    private void put(Net.Node node, Act act) {
        if (node.frozen) {
            return;
        }
        var key = new Key(kinds.get(act.value % kinds.size()), "key " + act.key % 15);
        double age = act.value % 11 == 0 ? 30 : act.value % 13 == 0 ? -30 : act.value % 10 * 0.3;
        var value = new Stamped(1L << act.value % 60, node.clock() - age);
        Stamped joined = node.state.merge(key.kind, key.key, value, node.clock());
        if (joined != null) {
            puts.add(new Put(key, value, node.self.member(), net.now));
            most.merge(key, value, key.kind::merge);
            least.merge(key, value, key.kind::merge);
        }
    }

    /** What only that router had is gone, which no copy can help. */
    private void restart(Net.Node node) {
        least.clear();
        net.nodes.stream()
                .filter(other -> other != node)
                .forEach(other -> kinds.forEach(kind ->
                        other.state.forEach(kind, (key, value) -> least.merge(new Key(kind, key), value, kind::merge))));
        node.start();
    }

    /** What a copy calls certain is there. */
    private void certain(Net.Node node) {
        double upTo = node.state.completeUpTo(node.clock()) + node.behind;
        for (Put put : puts) {
            if (put.when < upTo - 0.002 && !put.by.equals(node.self.member()) && node.isLive(put.by)) {
                expect(node, put.key, put.value, "certain up to " + (net.now - upTo) + " s ago");
            }
        }
    }

    private void expect(Net.Node node, Key key, Stamped value, String why) {
        double ends = value.at() + key.kind.retentionSeconds() - StateSettings.DEFAULT.margin() - SLACK;
        if (ends > net.now && value.at() > node.state.evictionFloor(key.kind)) {
            Stamped here = node.state.get(key.kind, key.key);
            if (here == null || !key.kind.merge(here, value).equals(here)) {
                throw new AssertionError(
                        node.address + " lacks " + value + " of " + key + ", has " + here + ", " + why);
            }
        }
    }

    /** Everything heals; then all copies come to the same, which is the join of all that was put in. */
    void end() {
        weather(0.05, 0.05, 0.01);
        net.nodes.forEach(node -> node.side = 0);
        net.nodes.forEach(Net.Node::thaw);
        if (net.until(30, net::alike) > 30) {
            throw new AssertionError("copies differ after 30 s");
        }
        for (Net.Node node : net.nodes) {
            least.forEach((key, value) -> expect(node, key, value, "at the end"));
            kinds.forEach(kind -> node.state.forEach(kind, (key, value) -> {
                Stamped all = most.get(new Key(kind, key));
                if (all == null || !kind.merge(value, all).equals(all)) {
                    throw new AssertionError(node.address + " has " + value + " under " + key + ", put in was " + all);
                }
            }));
        }
        double sure = net.until(
                20, () -> net.nodes.stream().allMatch(node -> node.state.completeUpTo(node.clock()) > net.now - 4));
        if (sure > 20) {
            throw new AssertionError("not certain after 20 s");
        }
        net.nodes.forEach(this::certain);
    }
}
