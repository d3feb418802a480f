package clayhook.peers;

import clayhook.AttemptResult;
import clayhook.Node;
import clayhook.config.RouterConfiguration;
import clayhook.config.SharingSettings;
import clayhook.discovery.EndpointList;
import clayhook.fleet.Address;
import clayhook.fleet.FieldReader;
import clayhook.fleet.Member;
import clayhook.fleet.Message;
import clayhook.fleet.MessageDispatcher;
import clayhook.fleet.Outbox;
import clayhook.fleet.Peer;
import clayhook.fleet.ProtocolHandler;
import clayhook.fleet.members.Membership;
import clayhook.fleet.members.MembershipSettings;
import clayhook.fleet.state.ReplicatedState;
import clayhook.fleet.state.StateSettings;
import clayhook.fleet.types.WriteOutcome;
import clayhook.frontend.ClientRequest;
import clayhook.log.Log;
import clayhook.serve.PeerSharing;
import clayhook.transport.SlewedClock;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.Executor;
import java.util.function.Function;

/**
 * The edge of what routers share: a socket, a thread of its own, and queues between that and the router's loop.
 * Whatever comes in, stalls or fails here costs sharing and never a command.
 */
public final class GossipTransport implements PeerSharing {
    /** Seconds that the thread sleeps where there was news or a flood; whole rounds of gossip are longer. */
    private static final double SHORT_WAIT = 0.02;
    /**
     * Seconds in which farewells go out, more than once as packets get lost; a part of what is left to a router that
     * ends.
     */
    private static final double LEAVE_DURATION = 0.1;

    private static final long MAX_STOP_WAIT_MS = 150;
    /** Seconds by which measured clocks may be off beyond their bound: the error of the measure. */
    private static final double CLOCK_MEASUREMENT_ERROR = 0.5;

    private final SharingSettings settings;
    private final RouterConfiguration configuration;
    private final StateSettings stateDefaults;
    private final DatagramEndpoint endpoint;
    private final Address advertisedAddress;
    private final SlewedClock clock = new SlewedClock();
    private final EventQueue eventQueue;
    private Membership members;
    /** Null until sharing has begun; commands may come before. */
    private volatile StateBridge bridge;

    private MessageDispatcher dispatcher;
    private Thread thread;
    private double nextReportAt;
    private long faults;
    private volatile boolean closing;
    private volatile boolean leaving;

    private GossipTransport(
            SharingSettings settings,
            RouterConfiguration configuration,
            StateSettings usual,
            DatagramEndpoint datagrams,
            Address address) {
        this.settings = settings;
        this.configuration = configuration;
        this.stateDefaults = usual;
        this.endpoint = datagrams;
        this.advertisedAddress = address;
        eventQueue = new EventQueue(datagrams::wakeUp);
    }

    /** Takes the address; throws IOException naming it where that fails. */
    public static PeerSharing open(SharingSettings settings, RouterConfiguration configuration) throws IOException {
        return open(settings, configuration, StateSettings.DEFAULT);
    }

    /** {@code usual}: what the operator's settings do not say. */
    static GossipTransport open(SharingSettings settings, RouterConfiguration configuration, StateSettings usual)
            throws IOException {
        var datagrams = DatagramEndpoint.bind(settings.listen());
        Address address = settings.advertise() != null
                ? address(settings.advertise())
                : new Address(settings.listen().getAddress().getHostAddress(), datagrams.port());
        return new GossipTransport(settings, configuration, usual, datagrams, address);
    }

    private static Address address(InetSocketAddress address) {
        return new Address(address.getAddress().getHostAddress(), address.getPort());
    }

    private static List<Address> seedAddresses(SharingSettings settings) {
        return settings.seeds().stream().map(GossipTransport::address).toList();
    }

    /** Where others send to. */
    Address address() {
        return advertisedAddress;
    }

    @Override
    public void attach(Executor loop, InetSocketAddress discovery, PeerListener listener) {
        double now = clock.now();
        String name = settings.name() == null ? configuration.name() : settings.name();
        var self = new Peer(new Member(name, (long) (now * 1000)), advertisedAddress);
        // Another life counts and asks by other numbers, whatever the seed.
        var chance = new SplittableRandom(configuration.seed() ^ self.member().incarnation());
        members = new Membership(
                memberSettings(), self, seedAddresses(settings), chance.nextLong(), now, new MembershipLogger());
        boolean marks =
                settings.shareSessionWrites() && !configuration.settings().requestsCarryLastWrite();
        var kinds = new StateBridge.EnabledTypes(
                settings.shareObservations(),
                settings.shareEndpointLists(),
                marks,
                settings.shareWriteOutcomes() ? WriteOutcome.typeWithRetention(settings.writeOutcomeRetention()) : null,
                settings.shareQuotas());
        var state = new ReplicatedState(members, kinds.types(), stateSettings(), chance.nextLong(), now);
        bridge = new StateBridge(
                kinds,
                settings.sessionRoamDelay(),
                configuration.settings().routerCount(),
                discoveryName(discovery),
                state,
                members,
                chance.split(),
                loop,
                listener);
        bridge.updateKnownNodes(configuration.knownEndpoints());
        // The state last: what the exchange puts in goes out in the same turn.
        dispatcher = new MessageDispatcher(
                self.member(), List.of(members, new LeaveAnnouncer(), bridge, state), endpoint::send);
        nextReportAt = now + settings.logInterval();
    }

    @Override
    public void start() {
        Log.info("sharing as " + members.self().member().name() + " at " + advertisedAddress + ", seeds "
                + settings.seeds().size());
        thread = new Thread(this::run, "clayhook-peers");
        thread.setDaemon(true);
        thread.start();
    }

    private MembershipSettings memberSettings() {
        MembershipSettings usual = MembershipSettings.DEFAULT;
        return new MembershipSettings(
                usual.probeInterval(),
                usual.probeRetryDelay(),
                usual.indirectPings(),
                usual.gossipInterval(),
                usual.gossipFanout(),
                usual.suspicionMultiplier(),
                usual.maxSuspicionFactor(),
                usual.reconnectInterval(),
                usual.maxReconnectInterval(),
                usual.deadMemberRetention(),
                settings.deadAfter(),
                settings.maxClockSkew(),
                usual.stallThreshold(),
                usual.maxNames());
    }

    private StateSettings stateSettings() {
        return new StateSettings(
                stateDefaults.broadcastInterval(),
                stateDefaults.fanout(),
                stateDefaults.maxMessagesPerRound(),
                settings.gossipBytesPerSecond(),
                stateDefaults.deltaLifetime(),
                stateDefaults.maxPendingDeltas(),
                stateDefaults.antiEntropyInterval(),
                stateDefaults.antiEntropyBytesPerSecond(),
                stateDefaults.retryTimeout(),
                stateDefaults.peerTimeout(),
                stateDefaults.maxOutstandingRequests(),
                settings.antiEntropyBytesPerSecond(),
                stateDefaults.maxPushBytes(),
                stateDefaults.versionGossipInterval(),
                settings.maxClockSkew() + CLOCK_MEASUREMENT_ERROR,
                stateDefaults.digestExclusionMargin(),
                stateDefaults.bootstrapTimeout(),
                stateDefaults.stallThreshold(),
                stateDefaults.maxSweptEntries());
    }

    private static String discoveryName(InetSocketAddress discovery) {
        return discovery.getHostString() + ":" + discovery.getPort();
    }

    // ---- the thread ----

    private void run() {
        try (endpoint) {
            double leaveAt = Double.POSITIVE_INFINITY;
            while (!closing && clock.now() < leaveAt) {
                leaveAt = leaving && leaveAt == Double.POSITIVE_INFINITY ? clock.now() + LEAVE_DURATION : leaveAt;
                runIteration();
            }
        } catch (IOException | RuntimeException | Error e) {
            Log.error("sharing has ended, the router serves on", e);
        }
    }

    private void runIteration() throws IOException {
        double now = clock.now();
        int news = eventQueue.drain(each -> runGuarded(() -> handle(each, now)));
        boolean more =
                endpoint.receive((from, bytes) -> runGuarded(() -> dispatcher.onDatagram(from, bytes, clock.now())));
        double next = tick(now);
        if (now >= nextReportAt) {
            nextReportAt = now + settings.logInterval();
            runGuarded(() -> logSummary(now));
        }
        boolean dozes = news == 0 && eventQueue.beginWait();
        double wait =
                more || leaving ? SHORT_WAIT : news > 0 ? Math.min(SHORT_WAIT, next - now) : dozes ? next - now : 0;
        endpoint.await(wait, more);
        eventQueue.endWait();
    }

    private void handle(LocalEvent news, double now) {
        if (news instanceof LocalEvent.SeedsChanged seeds) {
            members.addSeeds(seeds.seeds());
        } else {
            bridge.accept(news, now);
        }
    }

    /** Seconds since 1970 at which the next one is due; after a fault soon. */
    private double tick(double now) {
        var next = new double[] {now + SHORT_WAIT};
        runGuarded(() -> next[0] = dispatcher.tick(now));
        return next[0];
    }

    /** A fault costs one piece of news or one turn, not the thread. */
    private void runGuarded(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            if (faults++ == 0) {
                Log.error("sharing failed", e);
            } else {
                Log.warn("sharing failed", "sharing failed again: " + e);
            }
        }
    }

    private void logSummary(double now) {
        MessageDispatcher.TrafficCounters counts = dispatcher.counters();
        Log.info("sharing: members " + (1 + members.possiblyServing(now).size()) + " alive "
                + (1 + members.livePeers().size()) + ", "
                + bridge.summary(now) + ", packets in " + counts.receivedPackets + " out " + counts.sentPackets
                + ", bytes out "
                + counts.sentBytes + ", dropped " + counts.droppedByReason + ", too long "
                + endpoint.oversizedDatagrams() + ", unsent "
                + endpoint.unsentPackets() + ", parts unknown " + counts.skippedMessages + ", names refused "
                + members.rejectedNames()
                + ", news put off " + eventQueue.droppedReplaceable() + " lost " + eventQueue.droppedEssential()
                + (faults > 0 ? ", faults " + faults : "")
                + (members.recentlyStalled(now) ? ", stood still" : "") + (members.isSuperseded() ? ", replaced" : ""));
    }

    /** Tells the others that this router leaves, once it does. */
    private final class LeaveAnnouncer implements ProtocolHandler {
        private boolean announced;

        @Override
        public double tick(double now, Outbox out) {
            if (leaving && !announced) {
                announced = true;
                bridge.publishOnNextTick();
                members.leave(now, out);
            }
            return Double.POSITIVE_INFINITY;
        }

        @Override
        public Map<Integer, Function<FieldReader, ? extends Message>> messageReaders() {
            return Map.of();
        }

        @Override
        public void onMessage(Peer from, Message part, double now, Outbox out) {
            throw new IllegalArgumentException("no part is read for this");
        }
    }

    // ---- the router's loop ----

    @Override
    public void recordObservation(Node node, AttemptResult reply, double now) {
        if (settings.shareObservations()) {
            eventQueue.add(new LocalEvent.AttemptFinished(node, reply, now));
        }
    }

    @Override
    public void recordEndpointList(InetSocketAddress discovery, EndpointList list) {
        eventQueue.add(new LocalEvent.EndpointListReceived(discoveryName(discovery), list));
    }

    @Override
    public void discoveryMoved(InetSocketAddress discovery) {
        eventQueue.add(new LocalEvent.DiscoveryMoved(discoveryName(discovery)));
    }

    @Override
    public double requiredPosition(String session, double now) {
        StateBridge begun = bridge;
        // Guards against commands that come while sharing begins: what others know is not known yet, so all may be
        // needed.
        return begun == null ? now - settings.sessionRoamDelay() : begun.requiredPosition(session, now);
    }

    @Override
    public void recordSessionWrite(String session, int group, double position) {
        if (settings.shareSessionWrites() && !configuration.settings().requestsCarryLastWrite()) {
            eventQueue.add(new LocalEvent.SessionWriteCommitted(session, group, position));
        }
    }

    @Override
    public void recordWriteOutcome(ClientRequest command, Node ranAt, double now) {
        if (settings.shareWriteOutcomes() && command.outcomeKey != null && !command.attempts.isEmpty()) {
            eventQueue.add(new LocalEvent.WriteFinished(
                    command.outcomeKey,
                    command.attempts.get(0).sentAt,
                    command.replicaSetId,
                    command.requestClass.name(),
                    ranAt != null,
                    ranAt == null ? "" : ranAt.id(),
                    now));
        }
    }

    @Override
    public void recordQuotaUse(SharedQuota limit, int units) {
        if (settings.shareQuotas()) {
            eventQueue.add(new LocalEvent.QuotaUsed(limit, units));
        }
    }

    @Override
    public double remainingQuota(SharedQuota limit) {
        StateBridge begun = bridge;
        return begun == null ? 0 : begun.remainingQuota(limit);
    }

    @Override
    public void reload(SharingSettings fresh) {
        eventQueue.add(new LocalEvent.SeedsChanged(seedAddresses(fresh)));
    }

    // ---- the end ----

    @Override
    public void leave() {
        leaving = true;
        stopThread();
    }

    @Override
    public void close() {
        closing = true;
        stopThread();
    }

    private void stopThread() {
        endpoint.wakeUp();
        try {
            if (thread == null) {
                endpoint.close();
            } else {
                thread.join(MAX_STOP_WAIT_MS);
            }
        } catch (IOException e) {
            Log.error("sharing did not close", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
