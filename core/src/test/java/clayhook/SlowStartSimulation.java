package clayhook;

import clayhook.Decision.RoutingAction;
import clayhook.RequestClass.ConsistencyLevel;
import clayhook.RequestClass.DeduplicationScope;
import clayhook.RequestClass.Idempotency;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * A plain fleet in virtual time: real {@link RoutingPolicy} instances with unequal traffic, nodes that serve one
 * command after another, some of them cold. It adds up what all routers together send to each cold node. Times are
 * seconds.
 */
final class SlowStartSimulation {
    private static final double SLOW_START_SECONDS = 18, INITIAL_CAPACITY_FRACTION = 0.29, OVERLOAD_WINDOW_SECONDS = 3;
    /** Writes take more work than reads; the last is that of all commands. */
    private static final double WRITE_FRACTION = 0.08,
            WRITE_WORK = 1.6,
            MEAN_WORK = 1 + WRITE_FRACTION * (WRITE_WORK - 1);
    /** What a new connection and a probe cost a node, in reads. */
    private static final double CONNECT_WORK = 0.1, HEALTH_CHECK_WORK = 0.01;

    private static final int REPLICA_SETS = 4, MEMBERS_PER_SET = 6;
    private static final double START = 1000, JOIN_AT = START + 5, END = START + 22;

    /** What happens; where nothing else is said one node a group joins, cold, and soon after comes the trouble. */
    enum Scenario {
        NONE,
        /** No node joins: a third of the nodes were dead and come back cold, all at once. */
        ZONE_RESTART,
        /** All other replicas drain. */
        DRAIN,
        /** All other replicas die. */
        CRASH,
        /** Twice the commands for five seconds. */
        BURST,
        /** All other replicas drain, and twice the commands come for five seconds. */
        DRAIN_IN_BURST,
        /** The other replicas of one group drain, and three times the commands come to it for five seconds. */
        DRAIN_ONE_SET_IN_BURST,
        /** Seven in ten routers are killed and begin anew at once. */
        ROUTER_RESTART,
        /** The same, and all other replicas drain. */
        DRAIN_AND_ROUTER_RESTART,
        /** The primary dies, and the cold node takes over. */
        PRIMARY_FAILOVER
    }

    private record SimulationEvent(double at, long order, Runnable action) {}

    private record ReceivedWork(double at, double amount, boolean senderKnewIncarnation) {}

    private static final class SlowStartRequest extends Request {
        final int retries;

        SlowStartRequest(RequestClass group, int team, double now, int tries) {
            super(group, team, null, 0, now, now + group.clientTimeoutSeconds());
            this.retries = tries;
        }
    }

    private final class SlowStartNode {
        final Node node;
        /** 0 for long ago. */
        double startedAt;

        boolean dead, primary, draining;
        /** When it will have done all that it holds. */
        double idleAt;

        final List<ReceivedWork> workInSlowStart = new ArrayList<>();

        SlowStartNode(int team, int member) {
            node = new Node(team + "/" + member, member % 2 == 0 ? "north" : "south", team);
        }

        double capacityFraction(double at) {
            double grown = Math.max(0, Math.min(1, (at - startedAt) / SLOW_START_SECONDS));
            return startedAt == 0 ? 1 : INITIAL_CAPACITY_FRACTION + (1 - INITIAL_CAPACITY_FRACTION) * grown;
        }

        void receive(double work, SlowStartRouter from) {
            if (capacityFraction(now) < 1) {
                workInSlowStart.add(new ReceivedWork(
                        now, work / MEAN_WORK, from.knownIncarnations.getOrDefault(this, -1.0) == startedAt));
            }
        }

        AttemptResult result(AttemptOutcome outcome, double took) {
            Role role = primary ? Role.PRIMARY : Role.REPLICA;
            double position = primary ? now : now - 0.01;
            return new AttemptResult(outcome, took, role, position, role, position, 1);
        }

        /** The greatest part of what it bears that came within any window; what is chance included. */
        void evaluate() {
            var window = new ArrayDeque<ReceivedWork>();
            double sum = 0, told = 0;
            boolean fell = false;
            for (ReceivedWork work : workInSlowStart) {
                window.add(work);
                sum += work.amount;
                told += work.senderKnewIncarnation ? work.amount : 0;
                while (window.peek().at <= work.at - OVERLOAD_WINDOW_SECONDS) {
                    ReceivedWork old = window.poll();
                    sum -= old.amount;
                    told -= old.senderKnewIncarnation ? old.amount : 0;
                }
                double bears = overloadFactor
                        * OVERLOAD_WINDOW_SECONDS
                        * capacity
                        * capacityFraction(Math.max(startedAt, work.at - OVERLOAD_WINDOW_SECONDS));
                double part = sum / (bears + 2 * Math.sqrt(bears) + 2);
                boolean breaks = told > sum * 2 / 3;
                worstOverloadRatio = breaks ? Math.max(worstOverloadRatio, part) : worstOverloadRatio;
                if (part > 1 && !fell) {
                    fell = true;
                    overloadedNodes++;
                    violations += breaks ? 1 : 0;
                }
            }
            double from = startedAt;
            slowStartWork +=
                    workInSlowStart.stream().mapToDouble(ReceivedWork::amount).sum();
            slowStartCapacity +=
                    startedAt == 0 ? 0 : capacity * (END - from) * (capacityFraction(from) + capacityFraction(END)) / 2;
        }
    }

    private final class SlowStartRouter {
        RoutingPolicy policy;
        final List<SlowStartRequest> waitingRequests = new ArrayList<>();
        /** The last life of each node that it was told of. */
        final Map<SlowStartNode, Double> knownIncarnations = new HashMap<>();
        /** Outcomes of what an earlier life sent tell it nothing. */
        int incarnation;

        private long tickNumber;

        void start() {
            incarnation++;
            List<SlowStartRequest> lost = List.copyOf(waitingRequests);
            waitingRequests.clear();
            knownIncarnations.clear();
            policy = new RoutingPolicy(settings, random.nextLong());
            policy.onEndpointList(nodes.stream().map(this::endpoint).toList(), true, now);
            tick();
            lost.forEach(cmd -> arrive(cmd.requestClass, cmd.replicaSetId, cmd.retries + 1));
        }

        Endpoint endpoint(SlowStartNode m) {
            knownIncarnations.put(m, m.startedAt);
            return new Endpoint(
                    m.node, m.draining ? Endpoint.State.DRAINING : Endpoint.State.READY, m.primary, m.startedAt);
        }

        void admit(SlowStartRequest cmd) {
            carryOut(cmd, policy.route(cmd, now));
            tick();
        }

        private void carryOut(SlowStartRequest cmd, Decision choice) {
            if (choice.action() == RoutingAction.SEND) {
                cmd.attempts.add(choice.attempt());
                send(choice.attempt());
            } else if (choice.action() == RoutingAction.WAIT) {
                waitingRequests.add(cmd);
            } else if (choice.action() == RoutingAction.REJECT && cmd.retries < 2) {
                schedule(choice.retryAfterSeconds(), () -> arrive(cmd.requestClass, cmd.replicaSetId, cmd.retries + 1));
            }
        }

        private void send(Attempt dispatch) {
            SlowStartNode m = nodesByIdentity.get(dispatch.node);
            double work = dispatch.request.requestClass.consistency() == ConsistencyLevel.WRITE ? WRITE_WORK : 1;
            int sentBy = incarnation;
            if (m.dead) {
                schedule(0.25, () -> onAttemptFinished(dispatch, sentBy, AttemptOutcome.CONNECT_FAILED, m));
                return;
            }
            m.receive(work + (dispatch.opensConnection ? CONNECT_WORK : 0), this);
            if (m.idleAt - now > 1) {
                schedule(0.001, () -> onAttemptFinished(dispatch, sentBy, AttemptOutcome.OVERLOADED, m));
                return;
            }
            m.idleAt = Math.max(now, m.idleAt) + work / MEAN_WORK / (capacity * m.capacityFraction(now));
            double took = m.idleAt - now + 0.002 * (0.5 + random.nextDouble());
            boolean late = now + took > dispatch.timeoutAt;
            schedule(
                    late ? dispatch.timeoutAt - now : took,
                    () -> onAttemptFinished(
                            dispatch, sentBy, late ? AttemptOutcome.TIMED_OUT : AttemptOutcome.ANSWERED, m));
        }

        private void onAttemptFinished(Attempt dispatch, int sentBy, AttemptOutcome outcome, SlowStartNode m) {
            if (sentBy != incarnation) {
                return;
            }
            SlowStartRequest cmd = (SlowStartRequest) dispatch.request;
            double took = now - dispatch.sentAt;
            boolean spoke = (outcome == AttemptOutcome.ANSWERED || outcome == AttemptOutcome.OVERLOADED) && !m.dead;
            AttemptResult reply = spoke
                    ? m.result(outcome, took)
                    : AttemptResult.withoutReport(
                            outcome == AttemptOutcome.ANSWERED ? AttemptOutcome.RESET : outcome, took);
            boolean done = reply.outcome() == AttemptOutcome.ANSWERED && !cmd.completed;
            servedInTime += done && now <= cmd.arrivedAt + cmd.requestClass.latencyObjectiveSeconds() ? 1 : 0;
            cmd.completed |= done;
            waitingRequests.remove(cmd);
            Decision choice = policy.onAttemptFinished(dispatch, reply, cmd.completed, now);
            if (!cmd.completed) {
                carryOut(cmd, choice);
            }
            tick();
        }

        /** As a front does: it asks how long to wait, sends the probes, and then asks again about all in hand. */
        void tick() {
            TickResult pause = policy.tick(now);
            int asked = incarnation;
            for (Node node : pause.healthChecks()) {
                SlowStartNode m = nodesByIdentity.get(node);
                boolean dead = m.dead;
                if (!dead) {
                    m.receive(HEALTH_CHECK_WORK, this);
                }
                schedule(dead ? 0.25 : 0.002, () -> {
                    if (asked == incarnation) {
                        policy.onHealthCheck(
                                node,
                                dead
                                        ? AttemptResult.withoutReport(AttemptOutcome.CONNECT_FAILED, 0.25)
                                        : m.result(AttemptOutcome.ANSWERED, 0.002),
                                now);
                    }
                });
            }
            long mine = ++tickNumber;
            schedule(pause.nextTickSeconds(), () -> {
                if (mine == tickNumber) {
                    List<SlowStartRequest> all = List.copyOf(waitingRequests);
                    waitingRequests.clear();
                    all.forEach(cmd -> carryOut(cmd, policy.route(cmd, now)));
                    tick();
                }
            });
        }
    }

    private final Random random;
    private final RoutingSettings settings;
    private final double capacity, overloadFactor, endpointListSpreadSeconds;
    private final PriorityQueue<SimulationEvent> events = new PriorityQueue<>(
            Comparator.comparingDouble(SimulationEvent::at).thenComparingLong(SimulationEvent::order));
    private final List<SlowStartNode> nodes = new ArrayList<>();
    private final Map<Node, SlowStartNode> nodesByIdentity = new HashMap<>();
    private final List<SlowStartRouter> routers = new ArrayList<>();
    /** The part of the traffic that comes to the routers up to each. */
    private final double[] cumulativeTraffic;

    private final List<RequestClass> requestClasses;
    private double now = START, requestRate;
    /** The traffic of the first group over that of any other. */
    private double firstSetTrafficFactor = 1;

    private long nextEventOrder;
    /** Commands, and those answered within the response target. */
    int offeredRequests, servedInTime;
    /** Cold nodes that fell, and those of them that break the rule; the greatest part of what one bears. */
    int overloadedNodes, violations;

    double worstOverloadRatio;
    /** What cold nodes were sent, and what they could do. */
    double slowStartWork, slowStartCapacity;

    /**
     * @param capacity the commands of mean work that a warm node can do in a second
     * @param load the part of the capacity of all nodes at the start that comes as commands
     * @param factor the multiple of its capacity that a cold node bears
     * @param spread routers are told of each change at some time within so many seconds
     */
    SlowStartSimulation(
            int size, double capacity, double load, double factor, double spread, Scenario trouble, long seed) {
        this.capacity = capacity;
        this.overloadFactor = factor;
        this.endpointListSpreadSeconds = spread;
        random = new Random(seed);
        // Long beside the work: little is shed, so that as much as may be comes to the cold.
        double target = 20 / capacity;
        requestClasses = List.of(
                new RequestClass(
                        "any",
                        Idempotency.IDEMPOTENT,
                        ConsistencyLevel.EVENTUAL,
                        target,
                        2 * target,
                        2,
                        0,
                        DeduplicationScope.REPLICA_SET,
                        5,
                        0),
                new RequestClass(
                        "bounded",
                        Idempotency.IDEMPOTENT,
                        ConsistencyLevel.BOUNDED_STALENESS,
                        target,
                        2 * target,
                        1,
                        0,
                        DeduplicationScope.REPLICA_SET,
                        5,
                        0.2),
                new RequestClass(
                        "write",
                        Idempotency.IDEMPOTENT_WITH_KEY,
                        ConsistencyLevel.WRITE,
                        target,
                        5 * target,
                        3,
                        0.5,
                        DeduplicationScope.REPLICA_SET,
                        5,
                        0));
        settings = new RoutingSettings(
                size,
                "north",
                requestClasses,
                false,
                true,
                true,
                true,
                true,
                true,
                true,
                false,
                0,
                10,
                INITIAL_CAPACITY_FRACTION,
                SLOW_START_SECONDS,
                factor,
                OVERLOAD_WINDOW_SECONDS,
                1,
                15);
        for (int i = 0; i < REPLICA_SETS * MEMBERS_PER_SET; i++) {
            add(new SlowStartNode(i % REPLICA_SETS, i / REPLICA_SETS)).primary = i < REPLICA_SETS;
        }
        cumulativeTraffic = new double[size];
        for (int i = 0; i < size; i++) {
            cumulativeTraffic[i] =
                    (i == 0 ? 0 : cumulativeTraffic[i - 1]) + (i % 10 == 0 ? 5 : 0.2 + 1.6 * random.nextDouble());
            routers.add(new SlowStartRouter());
        }
        routers.forEach(SlowStartRouter::start);
        requestRate = load * capacity * REPLICA_SETS * MEMBERS_PER_SET;
        scheduleNextArrival();
        scheduleScenario(trouble);
        while (events.peek().at < END) {
            SimulationEvent next = events.poll();
            now = next.at;
            next.action.run();
        }
        nodes.forEach(SlowStartNode::evaluate);
    }

    private SlowStartNode add(SlowStartNode m) {
        nodes.add(m);
        nodesByIdentity.put(m.node, m);
        return m;
    }

    private void schedule(double seconds, Runnable what) {
        events.add(new SimulationEvent(now + seconds, nextEventOrder++, what));
    }

    private void scheduleNextArrival() {
        schedule(-Math.log(1 - random.nextDouble()) / requestRate, () -> {
            offeredRequests++;
            double any = random.nextDouble();
            double team = random.nextDouble() * (REPLICA_SETS - 1 + firstSetTrafficFactor);
            arrive(
                    requestClasses.get(any < WRITE_FRACTION ? 2 : any < 0.5 ? 1 : 0),
                    (int) Math.max(0, team - firstSetTrafficFactor + 1),
                    0);
            scheduleNextArrival();
        });
    }

    private void arrive(RequestClass group, int team, int tries) {
        double any = random.nextDouble() * cumulativeTraffic[cumulativeTraffic.length - 1];
        int i = 0;
        while (cumulativeTraffic[i] < any) {
            i++;
        }
        routers.get(i).admit(new SlowStartRequest(group, team, now, tries));
    }

    /** Each router is told at a time of its own. */
    private void publishEndpoint(SlowStartNode m) {
        for (SlowStartRouter router : routers) {
            schedule(endpointListSpreadSeconds * random.nextDouble(), () -> {
                router.policy.onEndpointList(List.of(router.endpoint(m)), false, now);
                router.tick();
            });
        }
    }

    private void scheduleScenario(Scenario trouble) {
        double before = JOIN_AT - START;
        double then = before + 1 + 10 * random.nextDouble();
        if (trouble == Scenario.ZONE_RESTART) {
            List<SlowStartNode> lost = nodes.stream()
                    .filter(m -> !m.primary && m.node.id().hashCode() % 3 == 0)
                    .toList();
            schedule(1, () -> lost.forEach(m -> m.dead = true));
            schedule(
                    before,
                    () -> lost.forEach(m -> {
                        m.dead = false;
                        m.startedAt = now;
                        publishEndpoint(m);
                    }));
            return;
        }
        List<SlowStartNode> old = List.copyOf(nodes);
        List<SlowStartNode> joining = new ArrayList<>();
        schedule(before, () -> {
            for (int team = 0; team < REPLICA_SETS; team++) {
                SlowStartNode m = add(new SlowStartNode(team, MEMBERS_PER_SET));
                m.startedAt = now;
                joining.add(m);
                publishEndpoint(m);
            }
        });
        switch (trouble) {
            case DRAIN, DRAIN_IN_BURST, DRAIN_AND_ROUTER_RESTART ->
                schedule(then, () -> old.stream().filter(m -> !m.primary).forEach(m -> {
                    m.draining = true;
                    publishEndpoint(m);
                }));
            case CRASH ->
                schedule(then, () -> old.stream().filter(m -> !m.primary).forEach(m -> m.dead = true));
            case PRIMARY_FAILOVER -> {
                schedule(then, () -> old.stream().filter(m -> m.primary).forEach(m -> {
                    m.dead = true;
                    m.primary = false;
                }));
                schedule(then + 3, () -> joining.forEach(m -> m.primary = true));
            }
            default -> {}
        }
        if (trouble == Scenario.DRAIN_ONE_SET_IN_BURST) {
            schedule(then, () -> {
                old.stream()
                        .filter(m -> !m.primary && m.node.replicaSetId() == 0)
                        .forEach(m -> {
                            m.draining = true;
                            publishEndpoint(m);
                        });
                requestRate *= (REPLICA_SETS + 2.0) / REPLICA_SETS;
                firstSetTrafficFactor = 3;
            });
            schedule(then + 5, () -> {
                requestRate *= REPLICA_SETS / (REPLICA_SETS + 2.0);
                firstSetTrafficFactor = 1;
            });
        }
        if (trouble == Scenario.BURST || trouble == Scenario.DRAIN_IN_BURST) {
            schedule(then, () -> requestRate *= 2);
            schedule(then + 5, () -> requestRate /= 2);
        }
        if (trouble == Scenario.ROUTER_RESTART || trouble == Scenario.DRAIN_AND_ROUTER_RESTART) {
            schedule(then, () -> routers.stream()
                    .filter(r -> random.nextDouble() < 0.7)
                    .toList()
                    .forEach(SlowStartRouter::start));
        }
    }
}
