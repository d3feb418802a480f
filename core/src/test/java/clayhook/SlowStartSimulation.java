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
 * Simulates a fleet in virtual time: routers with real {@link RoutingPolicy} instances and unequal traffic, and nodes
 * that serve requests one at a time, some of them in slow start. It sums up the work that all routers together send to
 * each node in slow start. Times are seconds.
 */
final class SlowStartSimulation {
    private static final double SLOW_START_SECONDS = 18;
    private static final double INITIAL_CAPACITY_FRACTION = 0.29;
    private static final double OVERLOAD_WINDOW_SECONDS = 3;
    private static final double WRITE_FRACTION = 0.08;
    /** The work of a write, as a multiple of a read. */
    private static final double WRITE_WORK = 1.6;
    /** The mean work of all requests, as a multiple of a read. */
    private static final double MEAN_WORK = 1 + WRITE_FRACTION * (WRITE_WORK - 1);
    /** The work of a node to open a connection, as a multiple of a read. */
    private static final double CONNECT_WORK = 0.1;
    /** The work of a health check, as a multiple of a read, in addition to opening a connection if none is idle. */
    private static final double HEALTH_CHECK_WORK = 0.01;

    private static final double CONNECTION_IDLE_TIMEOUT = 15;

    private static final int REPLICA_SETS = 4;
    private static final int MEMBERS_PER_SET = 6;
    private static final double START = 1000;
    private static final double JOIN_AT = START + 5;
    private static final double END = START + 22;
    private static final double BURST_SECONDS = 5;
    private static final double CONNECT_TIMEOUT = 0.25;
    private static final double CONNECTIONS_HANG_SECONDS = 2.5;
    private static final double TRAFFIC_SHIFT_FACTOR = 10;

    /**
     * The events of a run. Unless stated otherwise, one node joins each set, and the other events follow soon after.
     */
    enum Scenario {
        NONE,
        /** No node joins; a third of the replicas die and later restart at the same time. */
        ZONE_RESTART,
        /** All other replicas drain. */
        DRAIN,
        /** All other replicas crash. */
        CRASH,
        /** The request rate doubles for five seconds. */
        BURST,
        /** All other replicas drain, and the request rate doubles for five seconds. */
        DRAIN_IN_BURST,
        /** The other replicas of one set drain, and the request rate of that set triples for five seconds. */
        DRAIN_ONE_SET_IN_BURST,
        /** 70% of the routers are killed and restart at the same time. */
        ROUTER_RESTART,
        /** All other replicas drain, and 70% of the routers are killed and restart at the same time. */
        DRAIN_AND_ROUTER_RESTART,
        /** The primary dies, and the node in slow start becomes primary. */
        PRIMARY_FAILOVER,
        /** All other replicas drain, and every tenth router permanently gets ten times its traffic. */
        DRAIN_AND_TRAFFIC_SHIFT,
        /** All other replicas drain; new connections to the joining nodes hang for a time and then open at once. */
        DRAIN_WHILE_CONNECTIONS_HANG,
        /** All other replicas drain, and at the same time the joining nodes restart during their slow start. */
        DRAIN_AND_SECOND_RESTART
    }

    private record SimulationEvent(double at, long order, Runnable action) {}

    private record NodeProcess(SlowStartNode node, double startedAt) {}

    private record ReceivedWork(double at, double amount, boolean senderKnewIncarnation) {}

    private static final class SlowStartRequest extends Request {
        final int retries;

        SlowStartRequest(RequestClass requestClass, int replicaSetId, double now, int retries) {
            super(requestClass, replicaSetId, null, 0, now, now + requestClass.clientTimeoutSeconds());
            this.retries = retries;
        }
    }

    private final class SlowStartNode {
        final Node identity;
        /** When the process started; 0 for long ago. */
        double startedAt;

        boolean dead;
        boolean primary;
        boolean draining;
        /** When the node will have finished all its queued work. */
        double idleAt;

        /** The time until which new connections to the node hang. */
        double connectsAt;

        final List<ReceivedWork> workInSlowStart = new ArrayList<>();

        SlowStartNode(int replicaSetId, int member) {
            identity = new Node(replicaSetId + "/" + member, member % 2 == 0 ? "north" : "south", replicaSetId);
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

        AttemptResult result(AttemptOutcome outcome, double elapsed) {
            Role role = primary ? Role.PRIMARY : Role.REPLICA;
            double position = primary ? now : now - 0.01;
            return new AttemptResult(outcome, elapsed, role, position, role, position, 1);
        }

        /** Sums up the work received in slow start, and finds windows in which it exceeds the tolerable work. */
        void evaluate() {
            var window = new ArrayDeque<ReceivedWork>();
            double sum = 0;
            double workFromNotifiedRouters = 0; // from routers that were notified of the node's start
            boolean overloaded = false;
            for (ReceivedWork work : workInSlowStart) {
                window.add(work);
                sum += work.amount;
                workFromNotifiedRouters += work.senderKnewIncarnation ? work.amount : 0;
                while (window.peek().at <= work.at - OVERLOAD_WINDOW_SECONDS) {
                    ReceivedWork old = window.poll();
                    sum -= old.amount;
                    workFromNotifiedRouters -= old.senderKnewIncarnation ? old.amount : 0;
                }
                double ratio = sum / tolerableWork(work.at - OVERLOAD_WINDOW_SECONDS);
                boolean violation = workFromNotifiedRouters > sum * 2 / 3;
                worstOverloadRatio = violation ? Math.max(worstOverloadRatio, ratio) : worstOverloadRatio;
                if (ratio > 1 && !overloaded) {
                    overloaded = true;
                    overloadedNodes++;
                    violations += violation ? 1 : 0;
                }
            }
            slowStartWork +=
                    workInSlowStart.stream().mapToDouble(ReceivedWork::amount).sum();
            double meanFraction = (capacityFraction(startedAt) + capacityFraction(END)) / 2;
            slowStartCapacity += startedAt == 0 ? 0 : capacity * (END - startedAt) * meanFraction;
        }

        /** Returns the tolerable work of the node in the window from a time, with an allowance for random variation. */
        private double tolerableWork(double from) {
            double tolerable =
                    overloadFactor * OVERLOAD_WINDOW_SECONDS * capacity * capacityFraction(Math.max(startedAt, from));
            return tolerable + 2 * Math.sqrt(tolerable) + 2;
        }
    }

    private final class SlowStartRouter {
        RoutingPolicy policy;
        final List<SlowStartRequest> waitingRequests = new ArrayList<>();
        /** The start time of the last incarnation of each node that the router was notified of. */
        final Map<SlowStartNode, Double> knownIncarnations = new HashMap<>();
        /** When a connection to each process of a node was last used. */
        final Map<NodeProcess, Double> connectionsUsedAt = new HashMap<>();

        /** The incarnation of this router; results of attempts of an earlier one are dropped. */
        int incarnation;

        private long tickNumber;

        void start() {
            incarnation++;
            List<SlowStartRequest> lost = List.copyOf(waitingRequests);
            waitingRequests.clear();
            knownIncarnations.clear();
            connectionsUsedAt.clear();
            policy = new RoutingPolicy(settings, random.nextLong());
            policy.onEndpointList(nodes.stream().map(this::endpoint).toList(), true, now);
            tick();
            lost.forEach(request -> arrive(request.requestClass, request.replicaSetId, request.retries + 1));
        }

        Endpoint endpoint(SlowStartNode node) {
            knownIncarnations.put(node, node.startedAt);
            return new Endpoint(
                    node.identity,
                    node.draining ? Endpoint.State.DRAINING : Endpoint.State.READY,
                    node.primary,
                    node.startedAt);
        }

        void admit(SlowStartRequest request) {
            carryOut(request, policy.route(request, now));
            tick();
        }

        private void carryOut(SlowStartRequest request, Decision decision) {
            if (decision.action() == RoutingAction.SEND) {
                request.attempts.add(decision.attempt());
                send(decision.attempt());
            } else if (decision.action() == RoutingAction.WAIT) {
                waitingRequests.add(request);
            } else if (decision.action() == RoutingAction.REJECT && request.retries < 2) {
                schedule(
                        decision.retryAfterSeconds(),
                        () -> arrive(request.requestClass, request.replicaSetId, request.retries + 1));
            }
        }

        private void send(Attempt attempt) {
            SlowStartNode node = nodesByIdentity.get(attempt.node);
            double work = attempt.request.requestClass.consistency() == ConsistencyLevel.WRITE ? WRITE_WORK : 1;
            int sendingIncarnation = incarnation;
            if (node.dead) {
                schedule(
                        CONNECT_TIMEOUT,
                        () -> onAttemptFinished(attempt, sendingIncarnation, AttemptOutcome.CONNECT_FAILED, node));
                return;
            }
            if (attempt.opensConnection && now < node.connectsAt) {
                schedule(node.connectsAt - now, () -> sendOnLateConnection(attempt, sendingIncarnation, node));
                return;
            }
            node.receive(work + (attempt.opensConnection ? CONNECT_WORK : 0), this);
            connectionsUsedAt.put(new NodeProcess(node, node.startedAt), now);
            if (node.idleAt - now > 1) {
                schedule(0.001, () -> onAttemptFinished(attempt, sendingIncarnation, AttemptOutcome.OVERLOADED, node));
                return;
            }
            node.idleAt = Math.max(now, node.idleAt) + work / MEAN_WORK / (capacity * node.capacityFraction(now));
            double elapsed = node.idleAt - now + 0.002 * (0.5 + random.nextDouble());
            boolean late = now + elapsed > attempt.timeoutAt;
            schedule(
                    late ? attempt.timeoutAt - now : elapsed,
                    () -> onAttemptFinished(
                            attempt,
                            sendingIncarnation,
                            late ? AttemptOutcome.TIMED_OUT : AttemptOutcome.ANSWERED,
                            node));
        }

        /** Like a server, checks that an attempt that waited for its connection may still be sent. */
        private void sendOnLateConnection(Attempt attempt, int sendingIncarnation, SlowStartNode node) {
            if (sendingIncarnation != incarnation) {
                return;
            } else if (policy.mayStillSend(attempt, now)) {
                send(attempt);
            } else {
                onAttemptFinished(attempt, sendingIncarnation, AttemptOutcome.NOT_SENT, node);
            }
        }

        private void onAttemptFinished(
                Attempt attempt, int sendingIncarnation, AttemptOutcome outcome, SlowStartNode node) {
            if (sendingIncarnation != incarnation) {
                return;
            }
            SlowStartRequest request = (SlowStartRequest) attempt.request;
            double elapsed = now - attempt.sentAt;
            boolean responded =
                    (outcome == AttemptOutcome.ANSWERED || outcome == AttemptOutcome.OVERLOADED) && !node.dead;
            AttemptResult reply = responded
                    ? node.result(outcome, elapsed)
                    : AttemptResult.withoutReport(
                            outcome == AttemptOutcome.ANSWERED ? AttemptOutcome.RESET : outcome, elapsed);
            boolean done = reply.outcome() == AttemptOutcome.ANSWERED && !request.completed;
            servedInTime += done && now <= request.arrivedAt + request.requestClass.latencyObjectiveSeconds() ? 1 : 0;
            request.completed |= done;
            waitingRequests.remove(request);
            Decision decision = policy.onAttemptFinished(attempt, reply, request.completed, now);
            if (!request.completed) {
                carryOut(request, decision);
            }
            tick();
        }

        /** Returns the connect work of a health check, which opens a new connection if none is idle. */
        private double connectWork(SlowStartNode node) {
            Double usedAt = connectionsUsedAt.put(new NodeProcess(node, node.startedAt), now);
            return usedAt == null || now - usedAt > CONNECTION_IDLE_TIMEOUT ? CONNECT_WORK : 0;
        }

        /**
         * Like a server, ticks the policy, sends health checks, and routes all waiting requests again at the next tick.
         */
        void tick() {
            TickResult tickResult = policy.tick(now);
            int checkingIncarnation = incarnation;
            for (Node identity : tickResult.healthChecks()) {
                SlowStartNode node = nodesByIdentity.get(identity);
                boolean dead = node.dead;
                if (!dead) {
                    node.receive(HEALTH_CHECK_WORK + connectWork(node), this);
                }
                schedule(dead ? CONNECT_TIMEOUT : 0.002, () -> {
                    if (checkingIncarnation == incarnation) {
                        policy.onHealthCheck(
                                identity,
                                dead
                                        ? AttemptResult.withoutReport(AttemptOutcome.CONNECT_FAILED, CONNECT_TIMEOUT)
                                        : node.result(AttemptOutcome.ANSWERED, 0.002),
                                now);
                    }
                });
            }
            long scheduledTick = ++tickNumber;
            schedule(tickResult.nextTickSeconds(), () -> {
                if (scheduledTick == tickNumber) {
                    List<SlowStartRequest> all = List.copyOf(waitingRequests);
                    waitingRequests.clear();
                    all.forEach(request -> carryOut(request, policy.route(request, now)));
                    tick();
                }
            });
        }
    }

    private final Random random;
    private final RoutingSettings settings;
    private final double capacity;
    private final double overloadFactor;
    private final double endpointListSpreadSeconds;
    private final PriorityQueue<SimulationEvent> events = new PriorityQueue<>(
            Comparator.comparingDouble(SimulationEvent::at).thenComparingLong(SimulationEvent::order));
    private final List<SlowStartNode> nodes = new ArrayList<>();
    private final Map<Node, SlowStartNode> nodesByIdentity = new HashMap<>();
    private final List<SlowStartRouter> routers = new ArrayList<>();
    /** The cumulative traffic of all routers up to each router. */
    private final double[] cumulativeTraffic;

    private final List<RequestClass> requestClasses;
    private double now = START;
    private double requestRate;
    /** The ratio of the traffic of the first replica set to that of any other set. */
    private double firstSetTrafficFactor = 1;

    private long nextEventOrder;
    int offeredRequests;
    /** The number of requests answered within the latency objective. */
    int servedInTime;
    /** The number of nodes overloaded in slow start. */
    int overloadedNodes;
    /** The number of nodes overloaded in slow start mainly by routers that were notified of their start. */
    int violations;
    /** The largest ratio of received to tolerable work in a window whose work is mainly from such routers. */
    double worstOverloadRatio;
    /** The work that nodes received in slow start. */
    double slowStartWork;
    /** The work that nodes in slow start had capacity for. */
    double slowStartCapacity;

    /**
     * Runs a scenario to its end.
     *
     * @param capacity the number of requests of mean work that a warm node can serve per second
     * @param load the arriving work as a fraction of the initial capacity of all nodes
     * @param overloadFactor the multiple of its capacity that a node in slow start tolerates
     * @param endpointListSpreadSeconds each router is notified of a change after a random delay of up to this many
     *     seconds
     */
    SlowStartSimulation(
            int routerCount,
            double capacity,
            double load,
            double overloadFactor,
            double endpointListSpreadSeconds,
            Scenario scenario,
            long seed) {
        this.capacity = capacity;
        this.overloadFactor = overloadFactor;
        this.endpointListSpreadSeconds = endpointListSpreadSeconds;
        random = new Random(seed);
        // Much longer than the work, so that few requests are shed and nodes in slow start get as many as possible.
        double target = 20 / capacity;
        requestClasses = List.of(
                requestClass("any", Idempotency.IDEMPOTENT, ConsistencyLevel.EVENTUAL, target, 2, 2, 0),
                requestClass("bounded", Idempotency.IDEMPOTENT, ConsistencyLevel.BOUNDED_STALENESS, target, 2, 1, 0),
                requestClass("write", Idempotency.IDEMPOTENT_WITH_KEY, ConsistencyLevel.WRITE, target, 5, 3, 0.5));
        settings = settings(routerCount);
        for (int i = 0; i < REPLICA_SETS * MEMBERS_PER_SET; i++) {
            add(new SlowStartNode(i % REPLICA_SETS, i / REPLICA_SETS)).primary = i < REPLICA_SETS;
        }
        cumulativeTraffic = new double[routerCount];
        for (int i = 0; i < routerCount; i++) {
            cumulativeTraffic[i] =
                    (i == 0 ? 0 : cumulativeTraffic[i - 1]) + (i % 10 == 0 ? 5 : 0.2 + 1.6 * random.nextDouble());
            routers.add(new SlowStartRouter());
        }
        routers.forEach(SlowStartRouter::start);
        requestRate = load * capacity * REPLICA_SETS * MEMBERS_PER_SET;
        scheduleNextArrival();
        scheduleScenario(scenario);
        while (events.peek().at < END) {
            SimulationEvent next = events.poll();
            now = next.at;
            next.action.run();
        }
        nodes.forEach(SlowStartNode::evaluate);
    }

    private static RequestClass requestClass(
            String name,
            Idempotency idempotency,
            ConsistencyLevel consistency,
            double objective,
            double timeoutFactor,
            double priorityWeight,
            double lateWeight) {
        double maxStaleness = consistency == ConsistencyLevel.BOUNDED_STALENESS ? 0.2 : 0;
        return new RequestClass(
                name,
                idempotency,
                consistency,
                objective,
                timeoutFactor * objective,
                priorityWeight,
                lateWeight,
                DeduplicationScope.REPLICA_SET,
                5,
                maxStaleness);
    }

    private RoutingSettings settings(int routerCount) {
        return new RoutingSettings(
                routerCount,
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
                overloadFactor,
                OVERLOAD_WINDOW_SECONDS,
                1,
                CONNECTION_IDLE_TIMEOUT);
    }

    private SlowStartNode add(SlowStartNode node) {
        nodes.add(node);
        nodesByIdentity.put(node.identity, node);
        return node;
    }

    private void schedule(double seconds, Runnable action) {
        events.add(new SimulationEvent(now + seconds, nextEventOrder++, action));
    }

    private void scheduleNextArrival() {
        schedule(-Math.log(1 - random.nextDouble()) / requestRate, () -> {
            offeredRequests++;
            double kind = random.nextDouble();
            double set = random.nextDouble() * (REPLICA_SETS - 1 + firstSetTrafficFactor);
            RequestClass requestClass = requestClasses.get(kind < WRITE_FRACTION ? 2 : kind < 0.5 ? 1 : 0);
            arrive(requestClass, (int) Math.max(0, set - firstSetTrafficFactor + 1), 0);
            scheduleNextArrival();
        });
    }

    private void arrive(RequestClass requestClass, int replicaSetId, int retries) {
        double point = random.nextDouble() * cumulativeTraffic[cumulativeTraffic.length - 1];
        int i = 0;
        while (cumulativeTraffic[i] < point) {
            i++;
        }
        routers.get(i).admit(new SlowStartRequest(requestClass, replicaSetId, now, retries));
    }

    /** Publishes an endpoint to each router after a random delay of its own. */
    private void publishEndpoint(SlowStartNode node) {
        for (SlowStartRouter router : routers) {
            schedule(endpointListSpreadSeconds * random.nextDouble(), () -> {
                router.policy.onEndpointList(List.of(router.endpoint(node)), false, now);
                router.tick();
            });
        }
    }

    private void scheduleScenario(Scenario scenario) {
        double joinAfter = JOIN_AT - START;
        double faultAfter = joinAfter + 1 + 10 * random.nextDouble();
        if (scenario == Scenario.ZONE_RESTART) {
            scheduleZoneRestart(joinAfter);
            return;
        }
        List<SlowStartNode> initialNodes = List.copyOf(nodes);
        List<SlowStartNode> joining = new ArrayList<>();
        schedule(joinAfter, () -> joinOneNodePerSet(joining));
        switch (scenario) {
            case DRAIN, DRAIN_IN_BURST, DRAIN_AND_ROUTER_RESTART ->
                schedule(faultAfter, () -> drainReplicas(initialNodes));
            case CRASH ->
                schedule(faultAfter, () -> initialNodes.stream()
                        .filter(node -> !node.primary)
                        .forEach(node -> node.dead = true));
            case PRIMARY_FAILOVER -> schedulePrimaryFailover(faultAfter, initialNodes, joining);
            case DRAIN_AND_TRAFFIC_SHIFT ->
                schedule(faultAfter, () -> {
                    drainReplicas(initialNodes);
                    shiftTraffic();
                });
            case DRAIN_WHILE_CONNECTIONS_HANG ->
                schedule(faultAfter, () -> {
                    drainReplicas(initialNodes);
                    joining.forEach(node -> node.connectsAt = now + CONNECTIONS_HANG_SECONDS);
                });
            case DRAIN_AND_SECOND_RESTART ->
                schedule(faultAfter, () -> {
                    drainReplicas(initialNodes);
                    joining.forEach(this::restart);
                });
            case DRAIN_ONE_SET_IN_BURST -> scheduleDrainOfFirstSetInBurst(faultAfter, initialNodes);
            default -> {}
        }
        if (scenario == Scenario.BURST || scenario == Scenario.DRAIN_IN_BURST) {
            schedule(faultAfter, () -> requestRate *= 2);
            schedule(faultAfter + BURST_SECONDS, () -> requestRate /= 2);
        }
        if (scenario == Scenario.ROUTER_RESTART || scenario == Scenario.DRAIN_AND_ROUTER_RESTART) {
            schedule(faultAfter, () -> routers.stream()
                    .filter(router -> random.nextDouble() < 0.7)
                    .toList()
                    .forEach(SlowStartRouter::start));
        }
    }

    private void scheduleZoneRestart(double restartAfter) {
        List<SlowStartNode> lost = nodes.stream()
                .filter(node -> !node.primary && node.identity.id().hashCode() % 3 == 0)
                .toList();
        schedule(1, () -> lost.forEach(node -> node.dead = true));
        schedule(
                restartAfter,
                () -> lost.forEach(node -> {
                    node.dead = false;
                    node.startedAt = now;
                    publishEndpoint(node);
                }));
    }

    private void joinOneNodePerSet(List<SlowStartNode> joining) {
        for (int replicaSetId = 0; replicaSetId < REPLICA_SETS; replicaSetId++) {
            SlowStartNode node = add(new SlowStartNode(replicaSetId, MEMBERS_PER_SET));
            node.startedAt = now;
            joining.add(node);
            publishEndpoint(node);
        }
    }

    private void drainReplicas(List<SlowStartNode> members) {
        members.stream().filter(node -> !node.primary).forEach(node -> {
            node.draining = true;
            publishEndpoint(node);
        });
    }

    /** Restarts the node's process; work received before does not count against the new process. */
    private void restart(SlowStartNode node) {
        node.startedAt = now;
        node.workInSlowStart.clear();
        publishEndpoint(node);
    }

    /**
     * Multiplies by ten the traffic of every tenth router, all with little traffic, and raises the total accordingly.
     */
    private void shiftTraffic() {
        double before = cumulativeTraffic[cumulativeTraffic.length - 1];
        double previous = 0;
        double sum = 0;
        for (int i = 0; i < cumulativeTraffic.length; i++) {
            double share = cumulativeTraffic[i] - previous;
            previous = cumulativeTraffic[i];
            sum += i % 10 == 1 ? share * TRAFFIC_SHIFT_FACTOR : share;
            cumulativeTraffic[i] = sum;
        }
        requestRate *= sum / before;
    }

    private void schedulePrimaryFailover(double after, List<SlowStartNode> initialNodes, List<SlowStartNode> joining) {
        schedule(after, () -> initialNodes.stream().filter(node -> node.primary).forEach(node -> {
            node.dead = true;
            node.primary = false;
        }));
        schedule(after + 3, () -> joining.forEach(node -> node.primary = true));
    }

    private void scheduleDrainOfFirstSetInBurst(double after, List<SlowStartNode> initialNodes) {
        schedule(after, () -> {
            drainReplicas(initialNodes.stream()
                    .filter(node -> node.identity.replicaSetId() == 0)
                    .toList());
            requestRate *= (REPLICA_SETS + 2.0) / REPLICA_SETS;
            firstSetTrafficFactor = 3;
        });
        schedule(after + BURST_SECONDS, () -> {
            requestRate *= REPLICA_SETS / (REPLICA_SETS + 2.0);
            firstSetTrafficFactor = 1;
        });
    }
}
