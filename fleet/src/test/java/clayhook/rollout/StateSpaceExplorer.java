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
 * state seen before is not followed. Whatever is not delivered is late or, once more than {@link #LINK_CAPACITY} wait,
 * lost. The code itself is explored, not a model of it, so that nothing can differ between the two; a model checker for
 * threads (lincheck) has nothing to interleave here, and Alloy would check a second text of the rules.
 */
final class StateSpaceExplorer {
    private static final int MEMBERS = 3;
    private static final int EXCHANGE_STEPS_END = MEMBERS * MEMBERS;
    private static final int DELIVERY_STEPS_END = 2 * MEMBERS * MEMBERS;
    private static final int CRASH_STEPS_END = DELIVERY_STEPS_END + MEMBERS;
    private static final int TIME_STEP = CRASH_STEPS_END;
    private static final int WITHDRAWAL_STEP = TIME_STEP + 1;
    private static final int LINK_CAPACITY = 2;
    private static final int STEPS = WITHDRAWAL_STEP + 1;

    private final Quorum quorum;
    private final Supplier<Lease> leaseFactory;
    int exploredStates;

    StateSpaceExplorer(Quorum quorum, Supplier<Lease> leases) {
        this.quorum = quorum;
        this.leaseFactory = leases;
    }

    /** Up to where all have read the candidate; or up to where all run it, and one asks whether it may go on. */
    private RolloutCluster start(boolean running) {
        var net = new RolloutCluster(MEMBERS, quorum, leaseFactory);
        net.linkCapacity = LINK_CAPACITY;
        net.now += 5;
        for (int i = 0; i < EXCHANGE_STEPS_END; i++) {
            net.exchange(i / MEMBERS, i % MEMBERS);
        }
        net.nodes[0].controller.propose(RolloutCluster.plan(0, 1), "candidate", net.now);
        net.tick(0);
        for (int i = 1; i < MEMBERS; i++) {
            net.exchange(0, i);
            net.tick(i);
            net.exchange(i, 0);
        }
        net.exchange(0, 1);
        net.now += 1;
        if (running) {
            net.run(1);
            net.now += 1;
            net.tick(0);
        }
        return net;
    }

    private static boolean isEnabled(RolloutCluster net, int step, List<Integer> before) {
        int from = step / MEMBERS % MEMBERS;
        int to = step % MEMBERS;
        if (step < EXCHANGE_STEPS_END) {
            return from < to;
        }
        if (step < DELIVERY_STEPS_END) {
            return !net.links.get(from).get(to).isEmpty();
        }
        return step == TIME_STEP || !hasFailure(before);
    }

    /** One crash or one withdrawal is enough for an order. */
    private static boolean hasFailure(List<Integer> order) {
        return order.stream().anyMatch(each -> each >= DELIVERY_STEPS_END && each != TIME_STEP);
    }

    private static void apply(RolloutCluster net, int step) {
        int from = step / MEMBERS % MEMBERS;
        int to = step % MEMBERS;
        if (step < EXCHANGE_STEPS_END) {
            net.exchange(from, to);
            net.exchange(to, from);
            net.tick(from);
            net.tick(to);
        } else if (step < DELIVERY_STEPS_END) {
            net.deliver(from, to);
        } else if (step < CRASH_STEPS_END) {
            net.startNode(step - DELIVERY_STEPS_END);
        } else if (step == TIME_STEP) {
            net.now += net.settings.leaseSeconds() / 2;
            net.serveRequests(50, 0);
            for (int i = 0; i < MEMBERS; i++) {
                net.tick(i);
            }
        } else {
            net.nodes[2].controller.withdraw(net.now);
        }
    }

    /** All that what follows depends on, times as of now. */
    private static String fingerprint(RolloutCluster net) {
        var text = new StringBuilder();
        for (RolloutCluster.RolloutNode node : net.nodes) {
            text.append(node.member)
                    .append(node.store.digest(RolloutProgress.TYPE, 0))
                    .append(' ')
                    .append(node.store.digest(StageVote.TYPE, 0))
                    .append(' ')
                    .append(node.store.digest(MemberCounters.OUTCOME_COUNTS, 0));
            node.controller.rollouts().forEach(live -> text.append(live.progress)
                    .append(live.running)
                    .append(live.firstSeenAt - net.now)
                    .append(live.nextLeaseRequestAt - net.now)
                    .append(live.lease == null ? "" : new TreeMap<>(live.lease.granted())));
            node.grantedRequestAt.forEach((by, at) -> text.append(by).append(at - net.now));
        }
        net.links.forEach(links -> links.forEach(
                link -> link.forEach(sent -> text.append(sent.message()).append(';'))));
        return text.append(net.now).append(net.votes).toString();
    }

    /** What can happen after that order. */
    private static List<List<Integer>> successors(RolloutCluster net, List<Integer> order) {
        var next = new ArrayList<List<Integer>>();
        for (int step = 0; step < STEPS; step++) {
            if (isEnabled(net, step, order)) {
                var longer = new ArrayList<>(order);
                longer.add(step);
                next.add(longer);
            }
        }
        return next;
    }

    /** The first order, shortest ones first, after which a rule does not hold; null for none. */
    String findViolation(boolean running, int depth) {
        Set<String> seen = ConcurrentHashMap.newKeySet();
        List<List<Integer>> orders = successors(start(running), List.of());
        for (int i = 0; i < depth; i++) {
            Queue<String> broken = new ConcurrentLinkedQueue<>();
            orders = orders.parallelStream()
                    .flatMap(order -> {
                        RolloutCluster net = start(running);
                        order.forEach(step -> apply(net, step));
                        if (net.findViolation() != null) {
                            broken.add(order + ": " + net.findViolation());
                        }
                        return seen.add(hasFailure(order) + fingerprint(net))
                                ? successors(net, order).stream()
                                : Stream.empty();
                    })
                    .toList();
            if (!broken.isEmpty()) {
                return broken.peek();
            }
        }
        exploredStates += seen.size();
        return null;
    }
}
