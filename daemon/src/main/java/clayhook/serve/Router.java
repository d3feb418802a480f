package clayhook.serve;

import clayhook.Decision;
import clayhook.Decision.RoutingAction;
import clayhook.EndpointListLease;
import clayhook.FinalAnswerPolicy;
import clayhook.Request;
import clayhook.RoutingPolicy;
import clayhook.RoutingSettings;
import clayhook.TickResult;
import clayhook.backend.BackendClient;
import clayhook.config.OperatorConfiguration;
import clayhook.config.RouterConfiguration;
import clayhook.frontend.ClientListener;
import clayhook.frontend.ClientRequest;
import clayhook.inflight.InFlightRequests;
import clayhook.log.Log;
import clayhook.metrics.EventCounters;
import clayhook.sharing.PeerSharing;
import clayhook.transport.DescriptorBudget;
import clayhook.transport.SlewedClock;
import clayhook.transport.Transport;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

/**
 * The event loop of a router. Each tick applies the events received since the last one, requests the decisions of the
 * routing policy and carries them out. The events are interpreted by the classes that this class connects. Event loop
 * only, except the constructor, {@link #address()} and {@link #close()}.
 */
public final class Router {
    /** The interval between sweeps over connections being opened or idle; short compared with their time limits. */
    private static final double SWEEP_INTERVAL_SECONDS = 0.05;
    /** The minimum delay of the next tick, for a slewed clock that has not reached the scheduled time yet. */
    private static final double MIN_WAKE_SECONDS = 0.001;

    private final RouterConfiguration configuration;
    private final OperatorConfiguration operator;
    private final EventLoop loop;
    private final SlewedClock clock = new SlewedClock();
    private final EventInbox inbox;
    private final TickTimer timer;
    private final InFlightRequests inFlight;
    private final OpenRequests openRequests;
    private final ReloadableSqlAdmission sql;
    private final SqlRequests sqlRequests;
    private final PeerReporter peers;
    private final ClientResponder responder;
    private final BackendClient backend;
    private final EndpointUpdates endpoints;
    private final ClientListener frontend;
    private final SummaryLog summaryLog;
    private double nextSweepAt;

    /** Starts a router at the start of the process. */
    public Router(
            Transport transport, RouterConfiguration configuration, OperatorConfiguration operator, PeerSharing sharing)
            throws InterruptedException {
        this(transport, configuration, operator, sharing, 0);
    }

    /**
     * Starts a router, which listens for clients and watches the endpoint list.
     *
     * @param sharing null if sharing with peers is disabled
     * @param secondsSinceStart the time since the start of the process; the known endpoint list is at least this old
     */
    public Router(
            Transport transport,
            RouterConfiguration configuration,
            OperatorConfiguration operator,
            PeerSharing sharing,
            double secondsSinceStart)
            throws InterruptedException {
        double startedAt = clock.now();
        this.configuration = configuration;
        this.operator = operator;
        loop = transport.eventLoop();
        inbox = new EventInbox(loop, this::tick);
        timer = new TickTimer(loop, this::tick);
        RoutingSettings settings = configuration.settings();
        var counters = new EventCounters();
        var descriptors = new DescriptorBudget(configuration.maxDescriptors());
        var lease = EndpointListLease.of(
                configuration.listDelivery(), settings.healthChecksAllowed(), startedAt - secondsSinceStart);
        var policy = new RoutingPolicy(settings, configuration.seed(), lease);
        inFlight = new InFlightRequests(policy, FaultBarrier::logFault);
        openRequests = new OpenRequests(inFlight, counters);
        sql = new ReloadableSqlAdmission(operator.statements(), settings.requestClasses(), configuration.seed());
        peers = new PeerReporter(sharing, clock);
        responder = new ClientResponder(openRequests, peers, counters, settings.clientsHonorRetryAfter());
        sqlRequests = new SqlRequests(loop, sql, inFlight, openRequests, counters);
        backend = new BackendClient(
                transport,
                clock,
                descriptors,
                configuration.memoryBytes(),
                configuration.connectTimeout(),
                settings.connectionIdleTimeoutSeconds(),
                operator,
                new AttemptResults(inbox, policy, inFlight, sqlRequests, responder, peers, counters, clock),
                counters);
        endpoints = new EndpointUpdates(transport, configuration, inbox, policy, backend, lease, peers, clock);
        peers.attach(loop, configuration.discovery(), new PeerUpdates(inbox, policy, backend, endpoints, counters));
        frontend = new ClientListener(
                transport,
                configuration.listen(),
                descriptors,
                configuration.memoryBytes(),
                sql.sessionSettings(),
                clock::now,
                new RequestAdmission(
                        loop,
                        inbox,
                        new LongStatementQueue<>(this::schedule, System::nanoTime),
                        backend,
                        inFlight,
                        openRequests,
                        sqlRequests,
                        peers,
                        counters,
                        settings.requestClasses()),
                counters);
        summaryLog = new SummaryLog(frontend, backend, inFlight, descriptors, timer, policy, sql, counters, startedAt);
        inbox.scheduleTick();
        peers.start();
    }

    @SuppressWarnings("FutureReturnValueIgnored") // nothing waits for the task
    private void schedule(Runnable task, long delayNanos) {
        loop.schedule(task, delayNanos, TimeUnit.NANOSECONDS);
    }

    private void tick() {
        double now = clock.now();
        inbox.onTickStarted();
        FaultBarrier.run(() -> tick(now));
        if (!timer.isScheduled()) {
            timer.schedule(now, Math.max(MIN_WAKE_SECONDS, inFlight.secondsUntilNextTick(now)));
        }
    }

    private void tick(double now) {
        sql.onTickStarted();
        timer.onTickStarted(now, frontend::describeWork);
        frontend.onTick();
        inFlight.timedOutAttempts(now).forEach(backend::expire);
        inbox.runAll(now);
        endpoints.onTick(now);
        carryOut(inFlight.tick(now), now);
        if (now >= nextSweepAt) {
            nextSweepAt = now + SWEEP_INTERVAL_SECONDS;
            timer.sampleProcessorTime(now);
            backend.sweep();
            frontend.closeIdleSessions(now);
        }
        summaryLog.onTick(now);
    }

    private void carryOut(InFlightRequests.DecisionBatch batch, double now) {
        batch.routedRequests().forEach(routed -> FaultBarrier.run(() -> carryOut(routed.request(), routed.decision())));
        TickResult due = batch.tickResult();
        due.healthChecks().forEach(backend::startHealthCheck);
        peers.onHealthChecksStarted(due.healthChecks().size());
        if (due.pollEndpoints()) {
            endpoints.ensureWatching();
        }
        if (batch.wakeAfterSeconds() > 0) {
            timer.schedule(now, batch.wakeAfterSeconds());
        }
    }

    private void carryOut(Request routed, Decision decision) {
        var request = (ClientRequest) routed;
        decision.attemptsToCancel().forEach(backend::cancel);
        if (decision.action() == RoutingAction.SEND) {
            backend.send(decision.attempt(), request.outboundStatement);
            peers.onAttemptSent(request);
        } else {
            responder.conclude(request, underCurrentRules(request, decision));
        }
    }

    /**
     * Replaces the rejection of a request that has run by a failure if it may write by rules that were loaded since.
     */
    private Decision underCurrentRules(ClientRequest request, Decision decision) {
        if (decision.action() != RoutingAction.REJECT) {
            return decision;
        }
        sqlRequests.applyCurrentRules(request);
        return FinalAnswerPolicy.mayReject(request) ? decision : decision.withAction(RoutingAction.FAIL);
    }

    /** Applies the settings of a reloaded configuration that need no restart, and logs the changed ones that do. */
    void reload(RouterConfiguration reloaded, OperatorConfiguration reloadedOperator) {
        String restartNeeded = joinNonEmpty(
                configuration.restartOnlyDifferences(reloaded), operator.restartOnlyDifferences(reloadedOperator));
        sql.reload(reloadedOperator.statements());
        Log.info("reload: discovery at " + reloaded.discovery()
                + (restartNeeded.isEmpty() ? "" : "; a restart is needed for " + restartNeeded));
        endpoints.moveTo(reloaded.discovery());
        peers.reload(reloadedOperator.sharing());
    }

    private static String joinNonEmpty(String first, String second) {
        return first + (first.isEmpty() || second.isEmpty() ? "" : ", ") + second;
    }

    /** The address that clients connect to. Thread-safe. */
    InetSocketAddress address() {
        return frontend.address();
    }

    /** Stops the watch on the endpoint list. Thread-safe. */
    void close() {
        loop.execute(endpoints::close);
    }

    /** Accepts no more connections, and ends each session once the requests that it admitted are answered. */
    void drain() {
        Log.info("shutting down: ends sessions, " + describeOpenWork());
        frontend.drain();
    }

    private String describeOpenWork() {
        return frontend.sessionCount() + " clients, " + inFlight.size() + " requests in flight";
    }

    /** Rejects or fails all pending requests and those that arrive later. */
    void failPendingRequests() {
        Log.info("shutting down: fails pending requests, " + describeOpenWork());
        inbox.add(now -> openRequests.failAll());
    }

    /** Ends all open sessions and logs a summary of the time since the last one. */
    void finish() {
        frontend.endSessionsBeforeExit();
        summaryLog.write(clock.now());
    }

    boolean hasNoClients() {
        return !frontend.hasOpenSessions();
    }
}
