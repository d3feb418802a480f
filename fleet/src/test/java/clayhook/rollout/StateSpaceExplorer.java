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
 * Explores all sequences of a few steps of three routers and one rollout, breadth first. A sequence that leads to a
 * known state is not extended. A message that is not delivered is late, or lost once more than {@link #LINK_CAPACITY}
 * messages are in flight on its link. The production code is explored directly, so no model can differ from it. A model
 * checker for threads (lincheck) has nothing to interleave here, and Alloy would check a separate specification.
 */
final class StateSpaceExplorer {
    private static final int MEMBERS = 3;
    private static final int LINK_CAPACITY = 2;
    // Numbers of steps: exchanges and deliveries by sender and receiver, crashes by node, the passing of time, a
    // withdrawal.
    private static final int EXCHANGE_STEPS_END = MEMBERS * MEMBERS;
    private static final int DELIVERY_STEPS_END = 2 * MEMBERS * MEMBERS;
    private static final int CRASH_STEPS_END = DELIVERY_STEPS_END + MEMBERS;
    private static final int TIME_STEP = CRASH_STEPS_END;
    private static final int WITHDRAWAL_STEP = TIME_STEP + 1;
    private static final int STEPS = WITHDRAWAL_STEP + 1;

    private final Quorum quorum;
    private final Supplier<Lease> leaseFactory;
    /** Number of distinct states found so far. */
    int exploredStates;

    StateSpaceExplorer(Quorum quorum, Supplier<Lease> leaseFactory) {
        this.quorum = quorum;
        this.leaseFactory = leaseFactory;
    }

    /**
     * The state from which all sequences start.
     *
     * @param running if false, all routers have loaded the candidate; if true, all run it and one has sent another
     *     lease request
     */
    private RolloutCluster initialState(boolean running) {
        var cluster = new RolloutCluster(MEMBERS, quorum, leaseFactory);
        cluster.linkCapacity = LINK_CAPACITY;
        cluster.now += 5;
        for (int i = 0; i < EXCHANGE_STEPS_END; i++) {
            cluster.exchange(i / MEMBERS, i % MEMBERS);
        }
        cluster.nodes[0].controller.propose(RolloutCluster.plan(0, 1), "candidate", cluster.now);
        cluster.tick(0);
        for (int i = 1; i < MEMBERS; i++) {
            cluster.exchange(0, i);
            cluster.tick(i);
            cluster.exchange(i, 0);
        }
        cluster.exchange(0, 1);
        cluster.now += 1;
        if (running) {
            cluster.run(1);
            cluster.now += 1;
            cluster.tick(0);
        }
        return cluster;
    }

    private static boolean isEnabled(RolloutCluster cluster, int step, List<Integer> previousSteps) {
        int from = step / MEMBERS % MEMBERS;
        int to = step % MEMBERS;
        if (step < EXCHANGE_STEPS_END) {
            return from < to;
        }
        if (step < DELIVERY_STEPS_END) {
            return !cluster.links.get(from).get(to).isEmpty();
        }
        return step == TIME_STEP || !hasFailure(previousSteps);
    }

    /** Whether a sequence contains a crash or a withdrawal; a sequence has at most one of these. */
    private static boolean hasFailure(List<Integer> sequence) {
        return sequence.stream().anyMatch(step -> step >= DELIVERY_STEPS_END && step != TIME_STEP);
    }

    private static void apply(RolloutCluster cluster, int step) {
        int from = step / MEMBERS % MEMBERS;
        int to = step % MEMBERS;
        if (step < EXCHANGE_STEPS_END) {
            cluster.exchange(from, to);
            cluster.exchange(to, from);
            cluster.tick(from);
            cluster.tick(to);
        } else if (step < DELIVERY_STEPS_END) {
            cluster.deliver(from, to);
        } else if (step < CRASH_STEPS_END) {
            cluster.startNode(step - DELIVERY_STEPS_END);
        } else if (step == TIME_STEP) {
            cluster.now += cluster.settings.leaseSeconds() / 2;
            cluster.serveRequests(50, 0);
            for (int i = 0; i < MEMBERS; i++) {
                cluster.tick(i);
            }
        } else {
            cluster.nodes[2].controller.withdraw(cluster.now);
        }
    }

    /** A text of all state on which later steps depend, with times relative to the current time. */
    private static String fingerprint(RolloutCluster cluster) {
        var text = new StringBuilder();
        for (RolloutNode node : cluster.nodes) {
            text.append(node.member)
                    .append(node.store.digest(RolloutProgress.TYPE, 0))
                    .append(' ')
                    .append(node.store.digest(StageVote.TYPE, 0))
                    .append(' ')
                    .append(node.store.digest(MemberCounters.OUTCOME_COUNTS, 0));
            node.controller.rollouts().forEach(rollout -> text.append(rollout.progress)
                    .append(rollout.running)
                    .append(rollout.firstReceivedAt - cluster.now)
                    .append(rollout.nextLeaseRequestAt - cluster.now)
                    .append(rollout.lease == null ? "" : new TreeMap<>(rollout.lease.grantTimes())));
            node.grantedRequestAt.forEach(
                    (voter, requestedAt) -> text.append(voter).append(requestedAt - cluster.now));
        }
        cluster.links.forEach(links -> links.forEach(
                link -> link.forEach(sent -> text.append(sent.message()).append(';'))));
        return text.append(cluster.now).append(cluster.invariants.highestVotes).toString();
    }

    /** The given sequence, extended by each step that is possible next. */
    private static List<List<Integer>> successors(RolloutCluster cluster, List<Integer> sequence) {
        var successors = new ArrayList<List<Integer>>();
        for (int step = 0; step < STEPS; step++) {
            if (isEnabled(cluster, step, sequence)) {
                var extended = new ArrayList<>(sequence);
                extended.add(step);
                successors.add(extended);
            }
        }
        return successors;
    }

    /**
     * A shortest sequence that violates an invariant, with the violation; null if there is none up to the given number
     * of steps.
     */
    String findViolation(boolean running, int depth) {
        Set<String> seen = ConcurrentHashMap.newKeySet();
        List<List<Integer>> sequences = successors(initialState(running), List.of());
        for (int i = 0; i < depth; i++) {
            Queue<String> violations = new ConcurrentLinkedQueue<>();
            sequences = sequences.parallelStream()
                    .flatMap(sequence -> explore(running, sequence, seen, violations))
                    .toList();
            if (!violations.isEmpty()) {
                return violations.peek();
            }
        }
        exploredStates += seen.size();
        return null;
    }

    /** Applies a sequence of steps and checks the invariants; returns its successors if it leads to a new state. */
    private Stream<List<Integer>> explore(
            boolean running, List<Integer> sequence, Set<String> seen, Queue<String> violations) {
        RolloutCluster cluster = initialState(running);
        sequence.forEach(step -> apply(cluster, step));
        String violation = cluster.findViolation();
        if (violation != null) {
            violations.add(sequence + ": " + violation);
        }
        return seen.add(hasFailure(sequence) + fingerprint(cluster))
                ? successors(cluster, sequence).stream()
                : Stream.empty();
    }
}
