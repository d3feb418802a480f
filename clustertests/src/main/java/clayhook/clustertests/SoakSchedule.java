package clayhook.clustertests;

import clayhook.clustertests.QueueingDiscovery.Mode;
import clayhook.clustertests.SoakFault.Crowd;
import clayhook.clustertests.SoakFault.Departures;
import clayhook.clustertests.SoakFault.DiscoveryFault;
import clayhook.clustertests.SoakFault.DiscoveryMove;
import clayhook.clustertests.SoakFault.Drain;
import clayhook.clustertests.SoakFault.Failover;
import clayhook.clustertests.SoakFault.Kill;
import clayhook.clustertests.SoakFault.LogStall;
import clayhook.clustertests.SoakFault.NodeFault;
import clayhook.clustertests.SoakFault.NodeLinkFault;
import clayhook.clustertests.SoakFault.NodeLinkFault.Kind;
import clayhook.clustertests.SoakFault.NodeRestart;
import clayhook.clustertests.SoakFault.Shutdown;
import clayhook.clustertests.SoakFault.Stall;
import clayhook.clustertests.SoakFault.TerminateInStart;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.function.Supplier;
import java.util.stream.IntStream;

/**
 * The faults of a soak run with their begin and end. Faults of one lane run one after the other, those of different
 * lanes overlap. The same seed gives the same schedule.
 */
final class SoakSchedule {
    /**
     * A fault with its time.
     *
     * @param lane number of its lane; faults of one lane never overlap: a late one delays those after it
     * @param begins seconds from the start of the run to the begin of the fault
     * @param seconds duration of the fault
     */
    record TimedFault(int lane, double begins, double seconds, SoakFault fault) {}

    /** Longest pause in seconds between two faults of a lane. */
    private static final double MAX_PAUSE_SECONDS = 2;

    private static final double MIN_SECONDS = 1;
    /** Longer than the time in seconds after which a change counts as notified. */
    private static final double MAX_DISCOVERY_SECONDS = 11;

    private static final double MAX_DRAIN_SECONDS = 10;
    private static final double MAX_NODE_SECONDS = 3;
    private static final double MAX_DOWN_SECONDS = 2;
    private static final double MAX_DEPARTURES_SECONDS = 3;
    private static final int MAX_ROUTERS_WITH_DEPARTURES = 3;
    private static final int DEPARTING_CLIENTS = 8;
    /** Several times the staleness bound of reads. */
    private static final double MAX_LOG_STALL_SECONDS = 5;
    /** Longest stall of a router in seconds that the operators' rules allow for. */
    private static final double MAX_STALL_SECONDS = 0.15;

    /** Number of clients of each kind, over all routers that shut down together. */
    private static final int SHUTDOWN_CLIENTS = 8;

    private static final double MAX_IDLE_CLIENTS_SECONDS = 5;
    private static final double MAX_LINK_DELAY_SECONDS = 0.1;
    private static final double MAX_START_SECONDS = 2;
    private static final int ROUTER_FAULT_KINDS = 6;
    /** Descriptor limit up to which routers also get idle clients that occupy descriptors. */
    private static final int MAX_FEW_DESCRIPTORS = 256;

    private static final List<Mode> DISCOVERY_FAULTS = List.of(Mode.CROWDED, Mode.SLOW, Mode.DOWN, Mode.SILENT);
    private static final List<ClusterNode.Behavior> NODE_FAULTS =
            List.of(ClusterNode.Behavior.HUNG, ClusterNode.Behavior.RESETTING, ClusterNode.Behavior.DEAD);

    private final Random random;
    private final FleetSpec spec;
    private final int routers;
    private final int nodes;
    private final List<TimedFault> faults = new ArrayList<>();
    private int laneCount;

    private SoakSchedule(FleetSpec spec) {
        random = new Random(spec.seed());
        this.spec = spec;
        routers = spec.routerCount();
        nodes = spec.nodeCount();
    }

    /** Draws the faults of a run. The first two nodes never drain, so that some node can always serve requests. */
    static List<TimedFault> random(FleetSpec spec, double seconds) {
        var schedule = new SoakSchedule(spec);
        int nodes = spec.nodeCount();
        schedule.addLane(seconds, MAX_DISCOVERY_SECONDS, schedule::discoveryFault);
        schedule.addLane(seconds, MAX_DRAIN_SECONDS, () -> new Drain(schedule.randomSubset(2, nodes / 2, nodes)));
        schedule.addLane(seconds, MAX_NODE_SECONDS, schedule::nodeFault);
        schedule.addLane(seconds, MAX_DOWN_SECONDS, schedule::routerFault);
        if (schedule.hasFewDescriptors()) {
            schedule.addLane(seconds, MAX_IDLE_CLIENTS_SECONDS, schedule::idleClientsFault);
        }
        if (spec.nodesBehindRelays()) {
            schedule.addLane(seconds, MAX_NODE_SECONDS, schedule::nodeLinkFault);
        }
        schedule.addLane(seconds, MAX_NODE_SECONDS, () -> new NodeRestart(schedule.randomReplica()));
        schedule.addLane(seconds, MAX_LOG_STALL_SECONDS, () -> new LogStall(schedule.randomReplica()));
        schedule.addLane(seconds, MAX_DEPARTURES_SECONDS, schedule::departures);
        return List.copyOf(schedule.faults);
    }

    private void addLane(double seconds, double maxSeconds, Supplier<SoakFault> next) {
        double at = MAX_PAUSE_SECONDS * random.nextDouble();
        while (at < seconds - MIN_SECONDS) {
            double endsAt = Math.min(seconds, at + MIN_SECONDS + (maxSeconds - MIN_SECONDS) * random.nextDouble());
            faults.add(new TimedFault(laneCount, at, endsAt - at, next.get()));
            at = endsAt + MAX_PAUSE_SECONDS * random.nextDouble();
        }
        laneCount++;
    }

    private boolean hasFewDescriptors() {
        return spec.descriptors() <= MAX_FEW_DESCRIPTORS;
    }

    /** Returns a fault with enough idle clients to occupy all descriptors that a router has for clients. */
    private SoakFault idleClientsFault() {
        return new Crowd(randomSubset(0, routers, routers), spec.descriptors() / 2);
    }

    private SoakFault nodeLinkFault() {
        Kind[] kinds = Kind.values();
        return new NodeLinkFault(
                random.nextInt(nodes),
                kinds[random.nextInt(kinds.length)],
                MAX_LINK_DELAY_SECONDS * random.nextDouble());
    }

    private SoakFault departures() {
        return new Departures(randomSubset(0, MAX_ROUTERS_WITH_DEPARTURES, routers), DEPARTING_CLIENTS);
    }

    /** Returns the number of a random node that is a replica at the start of the run. */
    private int randomReplica() {
        return 1 + random.nextInt(nodes - 1);
    }

    private SoakFault discoveryFault() {
        return new DiscoveryFault(DISCOVERY_FAULTS.get(random.nextInt(DISCOVERY_FAULTS.size())));
    }

    private SoakFault nodeFault() {
        return random.nextInt(4) == 0
                ? new Failover(random.nextInt(2))
                : new NodeFault(1 + random.nextInt(nodes - 1), NODE_FAULTS.get(random.nextInt(NODE_FAULTS.size())));
    }

    private SoakFault routerFault() {
        return switch (random.nextInt(ROUTER_FAULT_KINDS)) {
            case 0 -> new Kill(randomSubset(0, (routers * 7 + 9) / 10, routers));
            case 1, 2 -> shutdown();
            case 3 ->
                new TerminateInStart(
                        randomSubset(0, (routers + 2) / 3, routers), MAX_START_SECONDS * random.nextDouble());
            case 4 -> new DiscoveryMove(randomSubset(0, routers, routers));
            default -> new Stall(random.nextInt(routers), MAX_STALL_SECONDS * random.nextDouble());
        };
    }

    /** Returns a shutdown of one router, of up to a tenth of the routers, or of up to all of them. */
    private SoakFault shutdown() {
        int maxCount = List.of(1, (routers + 9) / 10, routers).get(random.nextInt(3));
        List<Integer> shutDown = randomSubset(0, maxCount, routers);
        int clientsOfEachKind = Math.max(1, SHUTDOWN_CLIENTS / shutDown.size());
        ShutdownPlan plan = ShutdownPlan.random(clientsOfEachKind, ShutdownScenario.killSeconds(spec), nodes, random);
        return new Shutdown(shutDown, plan, random.nextBoolean(), random.nextLong());
    }

    /**
     * Returns a random, non-empty subset of at most {@code maxCount} numbers of the range from first to end, exclusive.
     */
    private List<Integer> randomSubset(int first, int maxCount, int end) {
        var numbers = new ArrayList<>(IntStream.range(first, end).boxed().toList());
        Collections.shuffle(numbers, random);
        return List.copyOf(numbers.subList(0, 1 + random.nextInt(Math.min(maxCount, numbers.size()))));
    }
}
