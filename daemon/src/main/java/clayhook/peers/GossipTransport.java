package clayhook.peers;

import clayhook.AttemptResult;
import clayhook.Node;
import clayhook.config.RouterConfiguration;
import clayhook.config.SharingSettings;
import clayhook.discovery.EndpointList;
import clayhook.fleet.Address;
import clayhook.fleet.Member;
import clayhook.fleet.Peer;
import clayhook.fleet.members.Membership;
import clayhook.fleet.state.ReplicatedState;
import clayhook.fleet.state.StateSettings;
import clayhook.fleet.types.WriteOutcome;
import clayhook.frontend.ClientRequest;
import clayhook.log.Log;
import clayhook.sharing.PeerSharing;
import clayhook.transport.SlewedClock;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Executor;

/**
 * Exchange of state with peers over UDP. It builds the gossip protocols, runs them on their own thread, and passes
 * events of the event loop to that thread through a bounded queue. A failure or stall of that thread never delays or
 * fails a request.
 *
 * <p>Methods are called on the event loop, except {@link #leave} and {@link #close}, which are for any thread.
 */
public final class GossipTransport implements PeerSharing {
    private static final String THREAD_NAME = "clayhook-peers";
    /** The longest wait for the end of the gossip thread; slightly longer than the leave announcement takes. */
    private static final long MAX_STOP_WAIT_MS = 150;

    private final SharingSettings settings;
    private final RouterConfiguration configuration;
    private final StateSettings stateDefaults;
    private final DatagramEndpoint endpoint;
    private final Address advertisedAddress;
    private final SlewedClock clock = new SlewedClock();
    private final StopRequest stopRequest = new StopRequest();
    private final EventQueue eventQueue;
    /** Null until {@link #attach}, like the three fields below; requests may arrive before it. */
    private volatile StateBridge bridge;

    private Member self;
    private GossipLoop loop;
    private Thread thread;

    private GossipTransport(
            SharingSettings settings,
            RouterConfiguration configuration,
            StateSettings stateDefaults,
            DatagramEndpoint endpoint,
            Address advertisedAddress) {
        this.settings = settings;
        this.configuration = configuration;
        this.stateDefaults = stateDefaults;
        this.endpoint = endpoint;
        this.advertisedAddress = advertisedAddress;
        eventQueue = new EventQueue(endpoint::wakeUp);
    }

    /**
     * Binds the socket.
     *
     * @throws IOException if that fails; the message names the address
     */
    public static PeerSharing open(SharingSettings settings, RouterConfiguration configuration) throws IOException {
        return open(settings, configuration, StateSettings.DEFAULT);
    }

    /** Same as {@link #open(SharingSettings, RouterConfiguration)}, with the given defaults of the state settings. */
    static GossipTransport open(
            SharingSettings settings, RouterConfiguration configuration, StateSettings stateDefaults)
            throws IOException {
        DatagramEndpoint endpoint = DatagramEndpoint.bind(settings.listen());
        Address advertised = settings.advertise() != null
                ? toAddress(settings.advertise())
                : new Address(settings.listen().getAddress().getHostAddress(), endpoint.port());
        return new GossipTransport(settings, configuration, stateDefaults, endpoint, advertised);
    }

    private static Address toAddress(InetSocketAddress address) {
        return new Address(address.getAddress().getHostAddress(), address.getPort());
    }

    private static List<Address> seedAddresses(SharingSettings settings) {
        return settings.seeds().stream().map(GossipTransport::toAddress).toList();
    }

    private static String discoveryName(InetSocketAddress discovery) {
        return discovery.getHostString() + ":" + discovery.getPort();
    }

    /** The address to which peers send datagrams. */
    Address address() {
        return advertisedAddress;
    }

    // ---- start ----

    @Override
    public void attach(Executor eventLoop, InetSocketAddress discovery, PeerListener listener) {
        double now = clock.now();
        String name = settings.name() == null ? configuration.name() : settings.name();
        self = new Member(name, (long) (now * 1000));
        // Each incarnation draws different random numbers, even with the same configured seed.
        var random = new SplittableRandom(configuration.seed() ^ self.incarnation());
        var membership = new Membership(
                GossipSettings.membership(settings),
                new Peer(self, advertisedAddress),
                seedAddresses(settings),
                random.nextLong(),
                now,
                new MembershipLogger());
        StateBridge.EnabledTypes enabledTypes = enabledTypes();
        var state = new ReplicatedState(
                membership,
                enabledTypes.types(),
                GossipSettings.state(settings, stateDefaults),
                random.nextLong(),
                now);
        var attached = new StateBridge(
                enabledTypes,
                settings.sessionRoamDelay(),
                configuration.settings().routerCount(),
                discoveryName(discovery),
                state,
                membership,
                random.split(),
                eventLoop,
                listener);
        bridge = attached;
        attached.updateKnownNodes(configuration.knownEndpoints());
        loop = new GossipLoop(
                endpoint, eventQueue, clock, stopRequest, membership, attached, state, settings.logInterval(), now);
    }

    private StateBridge.EnabledTypes enabledTypes() {
        return new StateBridge.EnabledTypes(
                settings.shareObservations(),
                settings.shareEndpointLists(),
                sharesSessionWrites(),
                settings.shareWriteOutcomes() ? WriteOutcome.typeWithRetention(settings.writeOutcomeRetention()) : null,
                settings.shareQuotas());
    }

    /** Session writes need not be shared if each request carries the last write of its session. */
    private boolean sharesSessionWrites() {
        return settings.shareSessionWrites() && !configuration.settings().requestsCarryLastWrite();
    }

    @Override
    public void start() {
        Log.info("sharing as " + self.name() + " at " + advertisedAddress + ", seeds "
                + settings.seeds().size());
        thread = new Thread(loop, THREAD_NAME);
        thread.setDaemon(true);
        thread.start();
    }

    // ---- events of the event loop ----

    @Override
    public void recordObservation(Node node, AttemptResult result, double now) {
        if (settings.shareObservations()) {
            eventQueue.add(new LocalEvent.AttemptFinished(node, result, now));
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
    public void recordSessionWrite(String session, int replicaSet, double position) {
        if (sharesSessionWrites()) {
            eventQueue.add(new LocalEvent.SessionWriteCommitted(session, replicaSet, position));
        }
    }

    @Override
    public void recordWriteOutcome(ClientRequest request, Node executedAt, double now) {
        if (settings.shareWriteOutcomes() && request.outcomeKey != null && !request.attempts.isEmpty()) {
            eventQueue.add(new LocalEvent.WriteFinished(
                    request.outcomeKey,
                    request.attempts.get(0).sentAt,
                    request.replicaSetId,
                    request.requestClass.name(),
                    executedAt != null,
                    executedAt == null ? "" : executedAt.id(),
                    now));
        }
    }

    @Override
    public void recordQuotaUse(SharedQuota quota, int units) {
        if (settings.shareQuotas()) {
            eventQueue.add(new LocalEvent.QuotaUsed(quota, units));
        }
    }

    @Override
    public void reload(SharingSettings newSettings) {
        eventQueue.add(new LocalEvent.SeedsChanged(seedAddresses(newSettings)));
    }

    // ---- queries of the event loop ----

    @Override
    public double requiredPosition(String session, double now) {
        StateBridge attached = bridge;
        // Before attach the writes at peers are unknown, so a read must cover every write that may have happened.
        return attached == null ? now - settings.sessionRoamDelay() : attached.requiredPosition(session, now);
    }

    @Override
    public double remainingQuota(SharedQuota quota) {
        StateBridge attached = bridge;
        return attached == null ? 0 : attached.remainingQuota(quota);
    }

    // ---- shutdown ----

    @Override
    public void leave() {
        stopRequest.leave();
        awaitStop();
    }

    @Override
    public void close() {
        stopRequest.close();
        awaitStop();
    }

    private void awaitStop() {
        endpoint.wakeUp();
        try {
            if (thread == null) {
                endpoint.close();
            } else {
                thread.join(MAX_STOP_WAIT_MS);
            }
        } catch (IOException e) {
            Log.error("sharing: cannot close the socket", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
