package clayhook.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Supplier;
import java.util.stream.Stream;

/**
 * Every order in which a few things can happen to three routers and one rollout, breadth first; one that leads to a
 * state seen before is not followed. Whatever is not delivered is late or, once more than {@link #ON_LINK} wait, lost.
 * The code itself is explored, not a model of it, so that nothing can differ between the two; a model checker for
 * threads (lincheck) has nothing to interleave here, and Alloy would check a second text of the rules.
 */
final class Explorer {
    private static final int SIZE = 3;
    private static final int EXCHANGES = SIZE * SIZE;
    private static final int DELIVERIES = 2 * SIZE * SIZE;
    private static final int CRASHES = DELIVERIES + SIZE;
    private static final int TIME = CRASHES;
    private static final int WITHDRAWAL = TIME + 1;
    private static final int ON_LINK = 2;
    private static final int STEPS = WITHDRAWAL + 1;

    private final Quorum quorum;
    private final Supplier<Lease> leases;
    int states;

    Explorer(Quorum quorum, Supplier<Lease> leases) {
        this.quorum = quorum;
        this.leases = leases;
    }

    /** Up to where all have read the candidate; or up to where all run it, and one asks whether it may go on. */
    private Net start(boolean running) {
        var net = new Net(SIZE, quorum, leases);
        net.mostOnLink = ON_LINK;
        net.now += 5;
        for (int i = 0; i < EXCHANGES; i++) {
            net.exchange(i / SIZE, i % SIZE);
        }
        net.nodes[0].rollouts.propose(Net.plan(0, 1), "candidate", net.now);
        net.turn(0);
        for (int i = 1; i < SIZE; i++) {
            net.exchange(0, i);
            net.turn(i);
            net.exchange(i, 0);
        }
        net.exchange(0, 1);
        net.now += 1;
        if (running) {
            net.run(1);
            net.now += 1;
            net.turn(0);
        }
        return net;
    }

    private static boolean can(Net net, int step, List<Integer> before) {
        int from = step / SIZE % SIZE;
        int to = step % SIZE;
        if (step < EXCHANGES) {
            return from < to;
        }
        if (step < DELIVERIES) {
            return !net.links.get(from).get(to).isEmpty();
        }
        return step == TIME || !troubled(before);
    }

    /** One crash or one withdrawal is enough for an order. */
    private static boolean troubled(List<Integer> order) {
        return order.stream().anyMatch(each -> each >= DELIVERIES && each != TIME);
    }

    private static void happens(Net net, int step) {
        int from = step / SIZE % SIZE;
        int to = step % SIZE;
        if (step < EXCHANGES) {
            net.exchange(from, to);
            net.exchange(to, from);
            net.turn(from);
            net.turn(to);
        } else if (step < DELIVERIES) {
            net.deliver(from, to);
        } else if (step < CRASHES) {
            net.start(step - DELIVERIES);
        } else if (step == TIME) {
            net.now += net.settings.lease() / 2;
            net.serve(50, 0);
            for (int i = 0; i < SIZE; i++) {
                net.turn(i);
            }
        } else {
            net.nodes[2].rollouts.withdraw(net.now);
        }
    }

    /** All that what follows depends on, times as of now. */
    private static String state(Net net) {
        var text = new StringBuilder();
        for (Net.Node node : net.nodes) {
            text.append(node.member)
                    .append(node.shared.digest(Round.KIND, 0))
                    .append(' ')
                    .append(node.shared.digest(Vote.KIND, 0))
                    .append(' ')
                    .append(node.shared.digest(Figure.COUNTS, 0));
            node.rollouts.known().forEach(live -> text.append(live.round)
                    .append(live.runs)
                    .append(live.seen - net.now)
                    .append(live.nextAsk - net.now)
                    .append(live.lease == null ? "" : new TreeMap<>(live.lease.granted())));
            node.answered.forEach((by, at) -> text.append(by).append(at - net.now));
        }
        net.links.forEach(links -> links.forEach(
                link -> link.forEach(sent -> text.append(sent.part()).append(';'))));
        return text.append(net.now).append(net.votes).toString();
    }

    /** What can happen after that order. */
    private static List<List<Integer>> next(Net net, List<Integer> order) {
        var next = new ArrayList<List<Integer>>();
        for (int step = 0; step < STEPS; step++) {
            if (can(net, step, order)) {
                var longer = new ArrayList<>(order);
                longer.add(step);
                next.add(longer);
            }
        }
        return next;
    }

    /** The first order, shortest ones first, after which a rule does not hold; null for none. */
    String broken(boolean running, int depth) {
        Set<String> seen = ConcurrentHashMap.newKeySet();
        List<List<Integer>> orders = next(start(running), List.of());
        for (int i = 0; i < depth; i++) {
            Queue<String> broken = new ConcurrentLinkedQueue<>();
            orders = orders.parallelStream()
                    .flatMap(order -> {
                        Net net = start(running);
                        order.forEach(step -> happens(net, step));
                        if (net.broken() != null) {
                            broken.add(order + ": " + net.broken());
                        }
                        return seen.add(troubled(order) + state(net)) ? next(net, order).stream() : Stream.empty();
                    })
                    .toList();
            if (!broken.isEmpty()) {
                return broken.peek();
            }
        }
        states += seen.size();
        return null;
    }
}
