package clayhook.peers;

import clayhook.Node;
import clayhook.AttemptResult;
import clayhook.config.RouterConfiguration;
import clayhook.config.SharingSettings;
import clayhook.discovery.EndpointList;
import clayhook.fleet.Address;
import clayhook.fleet.Fleet;
import clayhook.fleet.Machine;
import clayhook.fleet.Member;
import clayhook.fleet.Outbox;
import clayhook.fleet.Part;
import clayhook.fleet.Peer;
import clayhook.fleet.Reader;
import clayhook.fleet.kinds.Fate;
import clayhook.fleet.members.MemberSettings;
import clayhook.fleet.members.Members;
import clayhook.fleet.state.State;
import clayhook.fleet.state.StateSettings;
import clayhook.front.ClientRequest;
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
public final class Peers implements PeerSharing {
    /** Seconds that the thread sleeps where there was news or a flood; whole rounds of gossip are longer. */
    private static final double NAP = 0.02;
    /**
     * Seconds in which farewells go out, more than once as packets get lost; a part of what is left to a router that
     * ends.
     */
    private static final double FAREWELL = 0.1;

    private static final long LONGEST_END_MS = 150;
    /** Seconds by which measured clocks may be off beyond their bound: the error of the measure. */
    private static final double CLOCK_ERROR = 0.5;

    private final SharingSettings settings;
    private final RouterConfiguration configuration;
    private final StateSettings usual;
    private final Datagrams datagrams;
    private final Address address;
    private final SlewedClock clock = new SlewedClock();
    private final Outbound outbound;
    private Members members;
    /** Null until sharing has begun; commands may come before. */
    private volatile Exchange exchange;

    private Fleet fleet;
    private Thread thread;
    private double reportAt;
    private long faults;
    private volatile boolean closing;
    private volatile boolean leaving;

    private Peers(
            SharingSettings settings,
            RouterConfiguration configuration,
            StateSettings usual,
            Datagrams datagrams,
            Address address) {
        this.settings = settings;
        this.configuration = configuration;
        this.usual = usual;
        this.datagrams = datagrams;
        this.address = address;
        outbound = new Outbound(datagrams::wake);
    }

    /** Takes the address; throws IOException naming it where that fails. */
    public static PeerSharing open(SharingSettings settings, RouterConfiguration configuration) throws IOException {
        return open(settings, configuration, StateSettings.DEFAULT);
    }

    /** {@code usual}: what the operator's settings do not say. */
    static Peers open(SharingSettings settings, RouterConfiguration configuration, StateSettings usual) throws IOException {
        var datagrams = Datagrams.at(settings.listen());
        Address address = settings.advertise() != null
                ? address(settings.advertise())
                : new Address(settings.listen().getAddress().getHostAddress(), datagrams.port());
        return new Peers(settings, configuration, usual, datagrams, address);
    }

    private static Address address(InetSocketAddress address) {
        return new Address(address.getAddress().getHostAddress(), address.getPort());
    }

    private static List<Address> addresses(SharingSettings settings) {
        return settings.seeds().stream().map(Peers::address).toList();
    }

    /** Where others send to. */
    Address address() {
        return address;
    }

    @Override
    public void attach(Executor loop, InetSocketAddress discovery, PeerListener listener) {
        double now = clock.now();
        String name = settings.name() == null ? configuration.name() : settings.name();
        var self = new Peer(new Member(name, (long) (now * 1000)), address);
        // Another life counts and asks by other numbers, whatever the seed.
        var chance = new SplittableRandom(configuration.seed() ^ self.member().boot());
        members = new Members(memberSettings(), self, addresses(settings), chance.nextLong(), now, new RosterLog());
        boolean marks = settings.shareSessionWrites() && !configuration.settings().requestsCarryLastWrite();
        var kinds = new Exchange.Kinds(
                settings.shareObservations(),
                settings.shareEndpointLists(),
                marks,
                settings.shareWriteOutcomes() ? Fate.kept(settings.writeOutcomeRetention()) : null,
                settings.shareQuotas());
        var state = new State(members, kinds.all(), stateSettings(), chance.nextLong(), now);
        exchange = new Exchange(
                kinds,
                settings.sessionRoamDelay(),
                configuration.settings().routerCount(),
                source(discovery),
                state,
                members,
                chance.split(),
                loop,
                listener);
        exchange.know(configuration.knownEndpoints());
        // The state last: what the exchange puts in goes out in the same turn.
        fleet = new Fleet(self.member(), List.of(members, new Farewell(), exchange, state), datagrams::send);
        reportAt = now + settings.logInterval();
    }

    @Override
    public void start() {
        Log.info("sharing as " + members.self().member().name() + " at " + address + ", seeds "
                + settings.seeds().size());
        thread = new Thread(this::run, "clayhook-peers");
        thread.setDaemon(true);
        thread.start();
    }

    private MemberSettings memberSettings() {
        MemberSettings usual = MemberSettings.DEFAULT;
        return new MemberSettings(
                usual.period(),
                usual.retry(),
                usual.helpers(),
                usual.gossip(),
                usual.fan(),
                usual.suspicion(),
                usual.alone(),
                usual.knock(),
                usual.knockMost(),
                usual.remember(),
                settings.deadAfter(),
                settings.maxClockSkew(),
                usual.late(),
                usual.mostNames());
    }

    private StateSettings stateSettings() {
        return new StateSettings(
                usual.round(),
                usual.fanout(),
                usual.newsParts(),
                settings.gossipBytesPerSecond(),
                usual.newsFor(),
                usual.mostNews(),
                usual.digestEvery(),
                usual.digestBytes(),
                usual.answerWait(),
                usual.silence(),
                usual.window(),
                settings.antiEntropyBytesPerSecond(),
                usual.pushBytes(),
                usual.pairsEvery(),
                settings.maxClockSkew() + CLOCK_ERROR,
                usual.margin(),
                usual.aloneAfter(),
                usual.stood(),
                usual.sweep());
    }

    private static String source(InetSocketAddress discovery) {
        return discovery.getHostString() + ":" + discovery.getPort();
    }

    // ---- the thread ----

    private void run() {
        try (datagrams) {
            double leaveAt = Double.POSITIVE_INFINITY;
            while (!closing && clock.now() < leaveAt) {
                leaveAt = leaving && leaveAt == Double.POSITIVE_INFINITY ? clock.now() + FAREWELL : leaveAt;
                round();
            }
        } catch (IOException | RuntimeException | Error e) {
            Log.error("sharing has ended, the router serves on", e);
        }
    }

    private void round() throws IOException {
        double now = clock.now();
        int news = outbound.drain(each -> guarded(() -> take(each, now)));
        boolean more = datagrams.receive((from, bytes) -> guarded(() -> fleet.heard(from, bytes, clock.now())));
        double next = turn(now);
        if (now >= reportAt) {
            reportAt = now + settings.logInterval();
            guarded(() -> report(now));
        }
        boolean dozes = news == 0 && outbound.doze();
        double wait = more || leaving ? NAP : news > 0 ? Math.min(NAP, next - now) : dozes ? next - now : 0;
        datagrams.await(wait, more);
        outbound.wakened();
    }

    private void take(News news, double now) {
        if (news instanceof News.Seeds seeds) {
            members.seek(seeds.seeds());
        } else {
            exchange.take(news, now);
        }
    }

    /** Seconds since 1970 at which the next one is due; after a fault soon. */
    private double turn(double now) {
        var next = new double[] {now + NAP};
        guarded(() -> next[0] = fleet.turn(now));
        return next[0];
    }

    /** A fault costs one piece of news or one turn, not the thread. */
    private void guarded(Runnable step) {
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

    private void report(double now) {
        Fleet.Counts counts = fleet.counts();
        Log.info("sharing: members " + (1 + members.mayServe(now).size()) + " alive "
                + (1 + members.others().size()) + ", "
                + exchange.figures(now) + ", packets in " + counts.packets + " out " + counts.sent + ", bytes out "
                + counts.sentBytes + ", dropped " + counts.dropped + ", too long " + datagrams.oversize() + ", unsent "
                + datagrams.unsent() + ", parts unknown " + counts.unknownParts + ", names refused " + members.refused()
                + ", news put off " + outbound.dropped() + " lost " + outbound.lost()
                + (faults > 0 ? ", faults " + faults : "")
                + (members.doubtful(now) ? ", stood still" : "") + (members.replaced() ? ", replaced" : ""));
    }

    /** Tells the others that this router leaves, once it does. */
    private final class Farewell implements Machine {
        private boolean said;

        @Override
        public double turn(double now, Outbox out) {
            if (leaving && !said) {
                said = true;
                exchange.hurry();
                members.leave(now, out);
            }
            return Double.POSITIVE_INFINITY;
        }

        @Override
        public Map<Integer, Function<Reader, ? extends Part>> parts() {
            return Map.of();
        }

        @Override
        public void heard(Peer from, Part part, double now, Outbox out) {
            throw new IllegalArgumentException("no part is read for this");
        }
    }

    // ---- the router's loop ----

    @Override
    public void recordObservation(Node node, AttemptResult reply, double now) {
        if (settings.shareObservations()) {
            outbound.add(new News.Looked(node, reply, now));
        }
    }

    @Override
    public void recordEndpointList(InetSocketAddress discovery, EndpointList list) {
        outbound.add(new News.Listed(source(discovery), list));
    }

    @Override
    public void discoveryMoved(InetSocketAddress discovery) {
        outbound.add(new News.Moved(source(discovery)));
    }

    @Override
    public double requiredPosition(String session, double now) {
        Exchange begun = exchange;
        // Guards against commands that come while sharing begins: what others know is not known yet, so all may be
        // needed.
        return begun == null ? now - settings.sessionRoamDelay() : begun.need(session, now);
    }

    @Override
    public void recordSessionWrite(String session, int group, double position) {
        if (settings.shareSessionWrites() && !configuration.settings().requestsCarryLastWrite()) {
            outbound.add(new News.Wrote(session, group, position));
        }
    }

    @Override
    public void recordWriteOutcome(ClientRequest command, Node ranAt, double now) {
        if (settings.shareWriteOutcomes() && command.outcomeKey != null && !command.attempts.isEmpty()) {
            outbound.add(new News.Written(
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
            outbound.add(new News.Used(limit, units));
        }
    }

    @Override
    public double remainingQuota(SharedQuota limit) {
        Exchange begun = exchange;
        return begun == null ? 0 : begun.left(limit);
    }

    @Override
    public void reload(SharingSettings fresh) {
        outbound.add(new News.Seeds(addresses(fresh)));
    }

    // ---- the end ----

    @Override
    public void leave() {
        leaving = true;
        end();
    }

    @Override
    public void close() {
        closing = true;
        end();
    }

    private void end() {
        datagrams.wake();
        try {
            if (thread == null) {
                datagrams.close();
            } else {
                thread.join(LONGEST_END_MS);
            }
        } catch (IOException e) {
            Log.error("sharing did not close", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
