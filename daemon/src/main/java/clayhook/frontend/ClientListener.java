package clayhook.frontend;

import clayhook.metrics.EventCounters;
import clayhook.protocol.ClientMessageDecoder;
import clayhook.protocol.MemoryBudget;
import clayhook.statements.SessionSettings;
import clayhook.transport.DescriptorBudget;
import clayhook.transport.Transport;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;

/**
 * Accepts client connections and owns their sessions: accepts connections within the file descriptor budget, closes
 * idle sessions, and drains all sessions at shutdown.
 *
 * <p>All methods must be called on the event loop, except the constructor and {@link #address}.
 */
public final class ClientListener {
    /** Long client statements may occupy an eighth of the process memory; the runtime itself needs half. */
    private static final int MEMORY_DIVISOR = 8;
    /** Input that is read ahead may occupy a twenty-fourth of the process memory. */
    private static final int INPUT_DIVISOR = 24;
    /**
     * The maximum number of idle sessions, as a fraction of the descriptors for clients. Sessions beyond it are closed,
     * because the component that distributes connections over the routers may allow this router fewer connections than
     * it has descriptors.
     */
    private static final double MAX_IDLE_FRACTION = 0.5;
    /**
     * How long a draining session waits for the first request of a client that has just connected; short compared to
     * the time that is left for the shutdown.
     */
    private static final int FIRST_REQUEST_GRACE_MS = 50;

    private final Transport transport;
    private final InetSocketAddress requestedAddress;
    private final DescriptorBudget descriptors;
    private final MemoryBudget memoryBudget;
    private final InputBudget inputBudget;
    private final RoundRobinScheduler scheduler;
    /** Creates the settings of a new session; null if only key-value statements are accepted. */
    private final Supplier<SessionSettings> settingsFactory;

    private final DoubleSupplier clock;
    private final ClientSession.RequestHandler requestHandler;
    private final EventCounters counters;
    private final ConnectionEndRecorder endRecorder;
    private final ClientWork work = new ClientWork();
    private final Channel serverChannel;
    /** All sessions that hold a descriptor, in the order in which the clients connected. */
    private final Set<ClientSession> sessions = new LinkedHashSet<>();

    private final CancelKeyRegistry cancelKeys = new CancelKeyRegistry();
    private final RejectionHandler.LingeringLimit rejectionLingeringLimit = new RejectionHandler.LingeringLimit();
    private boolean draining;

    /**
     * Binds the address and starts to accept connections.
     *
     * @param memory the bytes that the process may use, an eighth of which limits the long statements of clients
     * @param settingsFactory creates the settings of a new session; null if only key-value statements are accepted
     * @param clock returns the current time in seconds
     * @param counters counts the rejected clients and the closed sessions
     * @throws InterruptedException if the thread is interrupted before the socket is bound
     */
    public ClientListener(
            Transport transport,
            InetSocketAddress address,
            DescriptorBudget descriptors,
            long memory,
            Supplier<SessionSettings> settingsFactory,
            DoubleSupplier clock,
            ClientSession.RequestHandler requestHandler,
            EventCounters counters)
            throws InterruptedException {
        this.transport = transport;
        requestedAddress = address;
        this.descriptors = descriptors;
        memoryBudget = new MemoryBudget(memory / MEMORY_DIVISOR);
        inputBudget = new InputBudget(memory / INPUT_DIVISOR);
        scheduler = new RoundRobinScheduler(transport.eventLoop());
        this.settingsFactory = settingsFactory;
        this.clock = clock;
        this.requestHandler = requestHandler;
        this.counters = counters;
        endRecorder = new ConnectionEndRecorder(counters);
        descriptors.setClientEvictor(this::evictSession);
        serverChannel = transport.listen(address, this::createConnectionHandlers);
    }

    private ChannelHandler[] createConnectionHandlers() {
        if (!descriptors.tryAcquireForClient()) {
            counters.increment("clients rejected");
            return new ChannelHandler[] {new RejectionHandler(rejectionLingeringLimit)};
        }
        var decoder = new ClientMessageDecoder(memoryBudget, settingsFactory != null);
        SessionSettings settings = settingsFactory == null ? null : settingsFactory.get();
        var session = new ClientSession(
                requestHandler,
                decoder,
                settings,
                inputBudget.newShare(),
                scheduler,
                cancelKeys,
                endRecorder,
                work.newSession(),
                clock,
                this::onSessionClosed);
        sessions.add(session);
        if (draining) {
            drain(session);
        }
        return new ChannelHandler[] {decoder, session.connection()};
    }

    private void onSessionClosed(ClientSession session) {
        if (sessions.remove(session)) {
            descriptors.releaseForClient();
        }
    }

    /**
     * The address of the listening socket, with the actual port if an ephemeral port was requested. May be called on
     * any thread.
     */
    public InetSocketAddress address() {
        return serverChannel.localAddress() instanceof InetSocketAddress bound ? bound : requestedAddress;
    }

    /** Stops accepting connections, and closes each session once all requests received on it are answered. */
    public void drain() {
        draining = true;
        transport.stopListening(serverChannel);
        List.copyOf(sessions).forEach(this::drain);
    }

    /**
     * Ends all sessions that are still open, because the process is about to exit; pending requests are answered as
     * in-doubt.
     */
    public void endSessionsBeforeExit() {
        List.copyOf(sessions).forEach(ClientSession::endBeforeExit);
    }

    /**
     * Drains a session; one whose client has not sent a request yet is drained after a short grace period, because its
     * first request may be in transit.
     */
    @SuppressWarnings("FutureReturnValueIgnored") // nothing waits for the scheduled drain
    private void drain(ClientSession session) {
        if (session.isIdleAfterRequest() || session.isBusy()) {
            session.drain(EndCause.SHUTDOWN);
        } else {
            transport
                    .eventLoop()
                    .schedule(() -> session.drain(EndCause.SHUTDOWN), FIRST_REQUEST_GRACE_MS, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Closes the sessions that have exceeded a time limit. If too many sessions are idle after a request, also closes
     * as many of them as exceed the maximum, in the order of {@link ClientSession#evictionRank}.
     *
     * @param now the clock time in seconds
     */
    public void closeIdleSessions(double now) {
        List.copyOf(sessions).forEach(session -> session.closeIfIdleTooLong(now));
        List<ClientSession> idle = sessions.stream()
                .filter(ClientSession::isIdleAfterRequest)
                .filter(session -> !session.isBusy())
                .sorted(Comparator.comparingDouble(ClientSession::evictionRank))
                .toList();
        int excess = idle.size() - (int) (descriptors.limitPerSide() * MAX_IDLE_FRACTION);
        idle.stream().limit(Math.max(0, excess)).forEach(session -> {
            counters.increment("idle clients closed");
            session.drain(EndCause.CROWDED);
        });
    }

    /**
     * Closes the session with the lowest eviction rank among those that are not busy, to free its descriptor. Returns
     * false if all sessions are busy.
     */
    private boolean evictSession() {
        Optional<ClientSession> lowest = sessions.stream()
                .filter(session -> !session.isBusy())
                .min(Comparator.comparingDouble(ClientSession::evictionRank));
        lowest.ifPresent(session -> {
            onSessionClosed(session);
            session.evict();
        });
        return lowest.isPresent();
    }

    /** Whether any session may still send a response; a session whose last bytes are written only lingers. */
    public boolean hasOpenSessions() {
        return sessions.stream().anyMatch(session -> !session.isEnded());
    }

    /** The number of sessions, including lingering ones. */
    public int sessionCount() {
        return sessions.size();
    }

    /** The memory of the clients' long messages since the last call, as text for the log. */
    public String takeMemorySummary() {
        return memoryBudget.takeSummary();
    }

    /** Starts to count the messages of clients that are handled until the next tick. */
    public void onTick() {
        work.startPeriod();
    }

    /** Describes the messages of clients that were handled since the last tick, for the log. */
    public String describeWork() {
        return work.describe();
    }

    /** The bytes that all sessions have received and not decoded. */
    int undecodedBytes() {
        return sessions.stream()
                .mapToInt(session -> session.connection().undecodedBytes())
                .sum();
    }

    /** The number of sessions with a registered cancel key. */
    int cancelKeyCount() {
        return cancelKeys.size();
    }
}
