package clayhook.serve;

import clayhook.Attempt;
import clayhook.AttemptOutcome;
import clayhook.AttemptResult;
import clayhook.Decision;
import clayhook.Decision.RoutingAction;
import clayhook.Endpoint;
import clayhook.Node;
import clayhook.PeerObservation;
import clayhook.Request;
import clayhook.RequestClass;
import clayhook.RequestClass.ConsistencyLevel;
import clayhook.RequestClass.Idempotency;
import clayhook.RoutingPolicy;
import clayhook.RoutingSettings;
import clayhook.backend.BackendClient;
import clayhook.config.OperatorConfiguration;
import clayhook.config.RouterConfiguration;
import clayhook.discovery.EndpointList;
import clayhook.discovery.EndpointWatcher;
import clayhook.frontend.ClientListener;
import clayhook.frontend.ClientRequest;
import clayhook.frontend.ClientSession;
import clayhook.inflight.InFlightRequests;
import clayhook.log.Log;
import clayhook.protocol.KeyValueStatement;
import clayhook.sql.SqlAdmission;
import clayhook.transport.DescriptorBudget;
import clayhook.transport.SlewedClock;
import clayhook.transport.Transport;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleConsumer;

/** The loop: gathers what is ready, hands it to the module in one go, carries out what came back. */
public final class Router
        implements ClientSession.RequestHandler,
                BackendClient.Listener,
                EndpointWatcher.Listener,
                PeerSharing.PeerListener {
    /** Time between summaries in the log. */
    private static final double SUMMARY = 10;
    /** Time between looks at connections that open or stand idle; short beside a connection's time limit. */
    private static final double SWEEP = 0.05;
    /** A turn this much later than it was asked for is logged: the process stood still. */
    private static final double PAUSE = 0.1;

    /** What a node answers to a write that it may not run. */
    private static final String READ_ONLY = "25006";

    /** The type of the message that is an error. */
    private static final byte ERROR = 'E';

    /** Where a corrected clock falls short of the time asked for. */
    private static final double LEAST_WAKE = 0.001;

    private final RouterConfiguration started;
    private final EventLoop loop;
    private final SlewedClock clock = new SlewedClock();
    private final RoutingSettings settings;
    private final OperatorConfiguration operator;
    /** Null where only the two fixed forms of statement are taken. */
    private SqlAdmission sql;

    private final Map<String, RequestClass> groups = new HashMap<>();
    private final RoutingPolicy decide;
    private final InFlightRequests hand;
    private final BackendClient nodes;
    private final EndpointWatcher discovery;
    private final ClientListener front;
    private final DescriptorBudget descriptors;
    /** Null where nothing is shared with other routers. */
    private final PeerSharing sharing;
    /** The newest revision that discovery has told this router itself. */
    private long ownRevision = -1;
    /** The commands that sessions wait for; each leaves with its final answer. */
    private final Map<ClientSession, ClientRequest> waiting = new HashMap<>();
    /** Their ids. */
    private final Set<String> open = new HashSet<>();
    /** What came in since the last turn; lists go before the rest. */
    private List<DoubleConsumer> lists = new ArrayList<>();

    private List<DoubleConsumer> rest = new ArrayList<>();
    /** Answers to be passed on at the end of the turn. */
    private final Map<ClientRequest, List<byte[]>> answers = new HashMap<>();

    private boolean turning;
    /** All is given up, also what is yet to come. */
    private boolean over;

    private ScheduledFuture<?> wake;
    private double sweepAt;
    private double wakeAt = Double.POSITIVE_INFINITY;
    /** The latest turn since the last summary. */
    private double late;

    private double summaryAt = clock.now() + SUMMARY;

    /** {@code sharing}: null where nothing is shared with other routers. */
    public Router(
            Transport transport, RouterConfiguration configuration, OperatorConfiguration operator, PeerSharing sharing)
            throws InterruptedException {
        started = configuration;
        this.operator = operator;
        this.sharing = sharing;
        loop = transport.eventLoop();
        settings = configuration.settings();
        settings.requestClasses().forEach(g -> groups.put(g.name(), g));
        descriptors = new DescriptorBudget(configuration.maxDescriptors());
        decide = new RoutingPolicy(settings, configuration.seed());
        hand = new InFlightRequests(decide, fault -> Log.error("a turn failed", fault));
        nodes = new BackendClient(
                transport,
                clock,
                descriptors,
                configuration.memoryBytes(),
                configuration.connectTimeout(),
                settings.connectionIdleTimeoutSeconds(),
                operator,
                this);
        sql = operator.statements() == null
                ? null
                : new SqlAdmission(operator.statements(), settings.requestClasses(), configuration.seed());
        discovery = new EndpointWatcher(
                transport,
                configuration.discovery(),
                configuration.knownEndpoints().version(),
                decide.nextWatchTimeoutSeconds(),
                new Random(configuration.seed()),
                this);
        decide.onEndpointList(listings(configuration.knownEndpoints()), true, clock.now());
        if (sharing != null) {
            sharing.attach(loop, configuration.discovery(), this); // the first command may ask
        }
        front = new ClientListener(
                transport,
                configuration.listen(),
                descriptors,
                configuration.memoryBytes(),
                sql == null ? null : () -> sql.newSessionSettings(),
                clock::now,
                this);
        turning = true;
        loop.execute(this::turn);
        if (sharing != null) {
            sharing.start();
        }
    }

    private void tell(List<DoubleConsumer> inbox, DoubleConsumer news) {
        inbox.add(news);
        if (!turning) {
            turning = true;
            loop.execute(this::turn);
        }
    }

    // ---- what is heard ----

    @Override
    public void onKeyValueStatement(ClientSession session, KeyValueStatement statement) {
        RequestClass group = groups.get(statement.requestClassName);
        String fault = fault(group, statement);
        if (fault != null) {
            Log.warn("client", fault);
            loop.execute(() -> session.respondWithError("42601", fault));
            return;
        }
        open.add(statement.requestId);
        tell(
                rest,
                now -> take(new ClientRequest(group, statement, session, need(group, statement.key, now), now), now));
    }

    /** The position that others know a session's read to need; 0 for none. */
    private double need(RequestClass group, String session, double now) {
        return sharing == null || group.consistency() != ConsistencyLevel.SESSION
                ? 0
                : sharing.requiredPosition(session, now);
    }

    private void take(ClientRequest command, double now) {
        // Guards against work for a client whose close was read together with its command.
        if (command.clientSession.isClientGone()) {
            open.remove(command.requestId);
            Log.count("left");
            return;
        }
        waiting.put(command.clientSession, command);
        if (over) {
            hand.rejectOrFail(command);
        } else {
            hand.admit(command, now);
        }
    }

    @Override
    public void onSqlStatement(ClientSession session, byte[] text) {
        SqlAdmission.AdmissionResult order = sql.admit(
                text,
                session.settings().client(),
                session.settings().timeout(),
                session.settings().values());
        if (order instanceof SqlAdmission.AdmissionResult.Admitted taken && nodes.hasReplicaSet(taken.replicaSetId())) {
            Log.count(taken.classification().verdict() + " "
                    + taken.classification().rule());
            tell(rest, now -> take(command(taken, session, now, taken.timeoutSeconds()), now));
            return;
        }
        refuse(session, order);
    }

    private static ClientRequest command(
            SqlAdmission.AdmissionResult.Admitted taken, ClientSession session, double now, double wait) {
        return new ClientRequest(
                taken.requestClass(),
                taken.replicaSetId(),
                taken.statement(),
                taken.classification(),
                session,
                Math.max(taken.requiredPosition(), session.lastWritePosition()),
                now,
                wait);
    }

    private void refuse(ClientSession session, SqlAdmission.AdmissionResult order) {
        var refused = order instanceof SqlAdmission.AdmissionResult.Rejected given
                ? given
                : new SqlAdmission.AdmissionResult.Rejected("42601", "unknown group of nodes");
        Log.count("refused");
        Log.warn("statement", "refused: " + refused.reason());
        loop.execute(() -> session.respondWithError(refused.sqlState(), refused.reason()));
    }

    /** Why the statement is none that can be taken, or null. */
    private String fault(RequestClass group, KeyValueStatement statement) {
        return group == null
                ? "unknown command group"
                : group.consistency() == ConsistencyLevel.WRITE != statement.isWrite
                        ? "a statement of another kind than its command group"
                        : group.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY && !statement.hasIdempotencyKey
                                ? "no key in a keyed command group"
                                : !nodes.hasReplicaSet(statement.replicaSetId)
                                        ? "unknown group of nodes"
                                        : open.contains(statement.requestId) ? "the id of an open command" : null;
    }

    @Override
    public void onClientGone(ClientSession session) {
        tell(rest, now -> {
            ClientRequest command = waiting.remove(session);
            if (command != null) {
                open.remove(command.requestId);
                Log.count("left");
                shareDoubt(command);
                hand.onClientGone(command);
                command.attempts.forEach(nodes::cancelIfUnsent);
            }
        });
    }

    /** Nothing more goes out and what is out is recalled; once it is known how that ended, the client is told. */
    @Override
    public void onCancelRequest(ClientSession session) {
        tell(rest, now -> {
            ClientRequest command = waiting.get(session);
            if (command == null || command.completed) {
                return;
            }
            waiting.remove(session);
            open.remove(command.requestId);
            Log.count("cancelled");
            hand.onClientGone(command);
            // What was decided in this turn is carried out before, and what is recalled then ends before the answer.
            tell(rest, next -> {
                hand.cancellableAttempts(command).forEach(nodes::cancel);
                tell(rest, last -> {
                    shareDoubt(command);
                    session.respondCancelled(mayHaveRun(command));
                });
            });
        });
    }

    private static boolean mayHaveRun(Request command) {
        return command.attempts.stream()
                .anyMatch(dispatch -> dispatch.outcome == null || !dispatch.outcome.notExecuted);
    }

    @Override
    public void onAttemptFinished(Attempt dispatch, AttemptResult reply, List<byte[]> answer, String error) {
        Log.count(reply.outcome().toString());
        tell(rest, now -> {
            var command = (ClientRequest) dispatch.request;
            boolean answers = reply.outcome() == AttemptOutcome.ANSWERED && !command.completed;
            if (command.classification != null
                    && READ_ONLY.equals(error)
                    && command.requestClass.consistency() != ConsistencyLevel.WRITE
                    && !command.completed) {
                beginAsWrite(command, dispatch, reply, now);
                return;
            }
            command.lastNodeError = answers ? null : answer;
            if (answers) {
                this.answers.put(command, answer);
            }
            if (command.classification != null && answers) {
                answered(command, reply, now);
            }
            if (sharing != null) {
                share(dispatch, reply, answer, now);
            }
            hand.onAttemptFinished(dispatch, reply, answers, now);
        });
    }

    /** What others may need of an outcome: what the node showed of itself, and that a write has run. */
    private void share(Attempt dispatch, AttemptResult reply, List<byte[]> answer, double now) {
        var command = (ClientRequest) dispatch.request;
        sharing.recordObservation(dispatch.node, reply, now);
        // Of statements of any kind an answer may be an error of the database, after which nothing has run.
        if (reply.outcome() == AttemptOutcome.ANSWERED
                && command.requestClass.consistency() == ConsistencyLevel.WRITE
                && answer.stream().noneMatch(message -> message[0] == ERROR)) {
            if (command.classification == null) {
                sharing.recordSessionWrite(
                        dispatch.request.sessionId,
                        command.replicaSetId,
                        reply.appliedPosition() > 0 ? reply.appliedPosition() : now);
            }
            if (command.requestClass.idempotency() != Idempotency.IDEMPOTENT) {
                sharing.recordWriteOutcome(command, dispatch.node, now);
            }
        }
    }

    /** It was given up: its client does not know whether it has run, and another router may. */
    private void shareDoubt(Request command) {
        if (sharing != null
                && command.requestClass.consistency() == ConsistencyLevel.WRITE
                && command.requestClass.idempotency() != Idempotency.IDEMPOTENT
                && mayHaveRun(command)) {
            sharing.recordWriteOutcome((ClientRequest) command, null, clock.now());
        }
    }

    /** A node will not run what was taken for a read: that command is over without an answer, and a write begins. */
    private void beginAsWrite(ClientRequest command, Attempt dispatch, AttemptResult reply, double now) {
        ClientSession session = command.clientSession;
        SqlAdmission.AdmissionResult order = sql.readmitAsWrite(
                command.classification,
                command.outboundStatement.textWithTimeout(0),
                session.settings().client(),
                session.settings().timeout(),
                session.settings().values());
        waiting.remove(session);
        // To the node's health this was an answer: it was not behind, and does not turn reads away.
        hand.onAttemptFinished(
                dispatch,
                new AttemptResult(
                        AttemptOutcome.ANSWERED,
                        reply.elapsedSeconds(),
                        reply.role(),
                        reply.appliedPosition(),
                        reply.reportedRole(),
                        reply.reportedPosition(),
                        reply.reportedLoad()),
                true,
                now);
        if (order instanceof SqlAdmission.AdmissionResult.Admitted taken) {
            take(command(taken, session, now, command.deadline - now), now);
        } else {
            refuse(session, order);
        }
    }

    private void answered(ClientRequest command, AttemptResult reply, double now) {
        sql.recordServiceTime(command.classification, reply.elapsedSeconds());
        if (command.requestClass.consistency() == ConsistencyLevel.WRITE) {
            command.clientSession.recordWrite(reply.appliedPosition() > 0 ? reply.appliedPosition() : now);
        }
    }

    @Override
    public void onHealthCheck(Node node, AttemptResult reply) {
        Log.count("probe " + reply.outcome());
        tell(rest, now -> {
            if (sharing != null) {
                sharing.recordObservation(node, reply, now);
            }
            decide.onHealthCheck(node, reply, now);
        });
    }

    @Override
    public boolean mayStillSend(Attempt dispatch) {
        return !((ClientRequest) dispatch.request).clientSession.isClientGone()
                && decide.mayStillSend(dispatch, clock.now());
    }

    @Override
    public boolean isKnown(Node node) {
        return decide.isKnown(node);
    }

    @Override
    public void onEndpointList(EndpointList list) {
        if (sharing != null) {
            ownRevision = Math.max(ownRevision, list.version());
            sharing.recordEndpointList(discovery.lastAnsweredBy(), list);
        }
        tell(lists, now -> decide.onEndpointList(listings(list), list.complete(), now));
    }

    /** What this router's own discovery has overtaken counts only where it closes a node. */
    @Override
    public void onPeerUpdate(Collection<EndpointList> changes) {
        Log.count("list told");
        tell(lists, now -> {
            var news = new ArrayList<Endpoint>();
            for (EndpointList change : changes) {
                boolean closes = change.endpoints().stream().allMatch(entry -> entry.state() != Endpoint.State.READY);
                news.addAll(closes || change.version() >= ownRevision ? listings(change) : List.of());
            }
            decide.onEndpointList(news, false, now);
            // Guards against taking the word of others for a sign that this router's own watch stands.
            decide.onEndpointListFailed(now);
        });
    }

    /** What others have seen of nodes. */
    @Override
    public void onPeerUpdate(Map<String, PeerObservation> told) {
        Log.count("nodes told");
        tell(
                rest,
                now -> told.forEach((id, what) -> {
                    Node node = nodes.findNode(id);
                    if (node != null) {
                        decide.onPeerObservation(node, what, now);
                    }
                }));
    }

    @Override
    public void onEndpointListFailed() {
        tell(lists, decide::onEndpointListFailed);
    }

    @Override
    public void onEndpointListLate() {
        tell(lists, decide::onEndpointListLate);
    }

    private List<Endpoint> listings(EndpointList list) {
        var listings = new ArrayList<Endpoint>();
        for (EndpointList.DiscoveredEndpoint entry : list.endpoints()) {
            Node node = nodes.registerNode(entry.id(), entry.zone(), entry.replicaSetId(), entry.address());
            listings.add(new Endpoint(node, entry.state(), entry.primary(), entry.startedAt()));
        }
        return listings;
    }

    // ---- the turn ----

    private void turn() {
        double now = clock.now();
        turning = false;
        guarded(() -> turn(now));
        if (wake == null) {
            wake(now, Math.max(LEAST_WAKE, hand.secondsUntilNextTick(now)));
        }
    }

    private void turn(double now) {
        if (sql != null) {
            sql.beginTick();
        }
        late = Math.max(late, now - wakeAt);
        if (now > wakeAt + PAUSE) {
            Log.warn("pause", "stood still for " + Math.round((now - wakeAt) * 1000) + " ms");
        }
        hand.timedOutAttempts(now).forEach(nodes::expire);
        List<DoubleConsumer> first = lists;
        List<DoubleConsumer> then = rest;
        lists = new ArrayList<>();
        rest = new ArrayList<>();
        first.forEach(news -> guarded(() -> news.accept(now)));
        then.forEach(news -> guarded(() -> news.accept(now)));
        InFlightRequests.DecisionBatch turn = hand.tick(now);
        turn.routedRequests().forEach(order -> guarded(() -> carryOut(order.request(), order.decision())));
        turn.tickResult().healthChecks().forEach(nodes::startHealthCheck);
        if (sharing != null && !turn.tickResult().healthChecks().isEmpty()) {
            sharing.recordQuotaUse(
                    PeerSharing.SharedQuota.HEALTH_CHECKS,
                    turn.tickResult().healthChecks().size());
        }
        if (turn.tickResult().pollEndpoints()) {
            discovery.ensureWatching();
        }
        if (turn.wakeAfterSeconds() > 0) {
            wake(now, turn.wakeAfterSeconds());
        }
        if (now >= sweepAt) {
            sweepAt = now + SWEEP;
            nodes.sweep();
            front.closeIdleSessions(now);
        }
        if (now >= summaryAt) {
            summaryAt = now + SUMMARY;
            Log.info("summary: clients " + front.sessionCount() + ", connections to nodes " + nodes.connectionCount()
                    + ", in hand " + hand.size() + ", descriptors at most "
                    + descriptors.peak() + ", turns late at most " + Math.round(late * 1000) + " ms, " + Log.counts());
            Log.info("nodes: " + decide.describeNodes(now) + ", under way " + nodes.inFlightByNode());
            if (sql != null) {
                Log.info("statements: " + sql.summary());
            }
            late = 0;
        }
    }

    /** A failure costs one piece of news or one command, not the loop; nor does a want of memory, which is an error. */
    private static void guarded(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException | Error e) {
            Log.error("a turn failed", e);
        }
    }

    private void wake(double now, double seconds) {
        if (wake != null) {
            wake.cancel(false);
        }
        wakeAt = now + seconds;
        wake = loop.schedule(
                () -> {
                    wake = null;
                    turn();
                },
                (long) (seconds * 1e9),
                TimeUnit.NANOSECONDS);
    }

    private void carryOut(Request command, Decision choice) {
        var order = (ClientRequest) command;
        choice.attemptsToCancel().forEach(nodes::cancel);
        if (choice.action() == RoutingAction.SEND) {
            nodes.send(choice.attempt(), order.outboundStatement);
            if (sharing != null && order.attempts.size() > 1) {
                sharing.recordQuotaUse(PeerSharing.SharedQuota.FURTHER_ATTEMPTS, 1);
            }
            return;
        }
        if (choice.action() != RoutingAction.DONE) {
            shareDoubt(order);
        }
        Log.count(choice.action() + " " + order.requestClass.name());
        List<byte[]> answer = answers.remove(order);
        if (!waiting.remove(order.clientSession, order)) {
            return;
        }
        open.remove(order.requestId);
        if (answer != null) {
            order.clientSession.respondWithResult(answer);
        } else if (choice.action() == RoutingAction.REJECT) {
            order.clientSession.respondRejected(settings.clientsHonorRetryAfter() ? choice.retryAfterSeconds() : 0);
        } else if (choice.action() == RoutingAction.FAIL && order.lastNodeError != null) {
            order.clientSession.respondWithResult(order.lastNodeError);
        } else if (choice.action() == RoutingAction.FAIL) {
            order.clientSession.respondInDoubt();
        }
    }

    /** Follows discovery and the operator's rules; what else differs from the start is only told. */
    void reload(RouterConfiguration fresh, OperatorConfiguration said) {
        String kept = started.restartOnlyDifferences(fresh);
        boolean same = (said.statements() == null) == (sql == null)
                && said.user().equals(operator.user())
                && said.database().equals(operator.database())
                && (sql == null
                        || said.statements().maxAnswerBytes()
                                == operator.statements().maxAnswerBytes());
        kept += same ? "" : (kept.isEmpty() ? "" : ", ") + "statements.enabled, statements.answer_bytes or nodes";
        if (sql != null && said.statements() != null) {
            sql = new SqlAdmission(said.statements(), settings.requestClasses(), started.seed());
        }
        boolean shares = (said.sharing() == null) == (sharing == null)
                && (sharing == null || !said.sharing().differsBeyondSeeds(operator.sharing()));
        kept += shares ? "" : (kept.isEmpty() ? "" : ", ") + "sharing but its seeds";
        Log.info("reload: discovery at " + fresh.discovery()
                + (kept.isEmpty() ? "" : "; a restart is needed for " + kept));
        discovery.moveTo(fresh.discovery());
        if (sharing != null) {
            ownRevision = -1;
            sharing.discoveryMoved(fresh.discovery());
            if (said.sharing() != null) {
                sharing.reload(said.sharing());
            }
        }
    }

    InetSocketAddress address() {
        return front.address();
    }

    // ---- the end ----

    void close() {
        loop.execute(discovery::close);
    }

    /** Takes no more connections and ends each session once what it has taken is answered. */
    void end() {
        front.drain();
    }

    /** Nothing can be waited for any more, not for what still comes either: sessions go on to what they held ahead. */
    void giveUp() {
        tell(rest, now -> {
            over = true;
            hand.rejectOrFailAll();
        });
    }

    boolean ended() {
        return front.sessionCount() == 0;
    }
}
