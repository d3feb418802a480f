package clayhook.fleet.state;

import clayhook.fleet.Address;
import clayhook.fleet.Member;
import clayhook.fleet.MembershipView;
import clayhook.fleet.MessageDispatcher;
import clayhook.fleet.Peer;
import clayhook.fleet.ReplicatedType;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;

/**
 * Routers with a fixed membership on a simulated network in virtual time. The network can lose, duplicate, delay and
 * reorder packets, and can be partitioned. Members can be frozen and restarted.
 */
final class StateTestNetwork {
    /** Maximum number of packets queued for a frozen member, as in the receive buffer of a socket. */
    private static final int RECEIVE_QUEUE_LIMIT = 200;
    /** Time in seconds after which a tick of a frozen member is rescheduled. */
    private static final double FROZEN_TICK_INTERVAL = 0.05;
    /** Minimum time in seconds between two ticks, which ensures that virtual time advances. */
    private static final double MIN_TICK_INTERVAL = 1e-4;
    /** Minimum time in seconds between two checks of a condition. */
    private static final double MIN_CHECK_INTERVAL = 0.005;

    private record ScheduledAction(double time, long sequence, Runnable action) implements Comparable<ScheduledAction> {
        @Override
        public int compareTo(ScheduledAction other) {
            return time != other.time ? Double.compare(time, other.time) : Long.compare(sequence, other.sequence);
        }
    }

    /** A router whose membership lists all routers that were ever started. */
    final class SimulatedMember implements MembershipView {
        final Address address;
        /** Time in seconds by which the member's clock is behind virtual time. */
        double clockLag;

        Peer self;
        private long incarnation;
        /** The replicated types that the member's release supports. */
        List<ReplicatedType<?>> supportedTypes = types;

        MessageDispatcher dispatcher;
        ReplicatedState state;
        /** The partition of the member; only members of the same partition receive each other's packets. */
        int partition;

        boolean frozen;
        boolean recentlyStalled;
        private final List<Runnable> missedPackets = new ArrayList<>();

        private SimulatedMember(int index, double clockLag) {
            address = new Address("r" + String.format("%04d", index), 1);
            this.clockLag = clockLag;
        }

        double clock() {
            return now - clockLag;
        }

        /** Starts a new incarnation; the state of the previous one is lost. */
        void start() {
            frozen = false;
            missedPackets.clear();
            incarnation = Math.max(incarnation + 1, (long) (clock() * 1000));
            self = new Peer(new Member(address.host(), incarnation), address);
            peersByMember.clear();
            membersByPeers.clear();
            state = new ReplicatedState(this, supportedTypes, settings, random.nextLong(), clock());
            dispatcher = new MessageDispatcher(self.member(), List.of(state), (to, bytes) -> send(this, to, bytes));
            tick(dispatcher);
        }

        private void tick(MessageDispatcher ofIncarnation) {
            if (ofIncarnation == dispatcher) {
                double next = frozen ? clock() + FROZEN_TICK_INTERVAL : dispatcher.tick(clock());
                schedule(Math.max(now + MIN_TICK_INTERVAL, next + clockLag), () -> tick(ofIncarnation));
            }
        }

        private void receive(Address from, byte[] bytes) {
            if (!frozen) {
                dispatcher.onDatagram(from, bytes, clock());
            } else if (missedPackets.size() < RECEIVE_QUEUE_LIMIT) {
                missedPackets.add(() -> dispatcher.onDatagram(from, bytes, clock()));
            }
        }

        /** Ends the freeze and delivers the queued packets. */
        void unfreeze() {
            frozen = false;
            missedPackets.forEach(Runnable::run);
            missedPackets.clear();
        }

        @Override
        public Peer self() {
            return self;
        }

        @Override
        public List<Peer> livePeers() {
            return peersByMember.computeIfAbsent(this, any -> members.stream()
                    .filter(member -> member != this && member.self != null)
                    .map(member -> member.self)
                    .toList());
        }

        @Override
        public List<Member> possiblyServing(double time) {
            return membersByPeers.computeIfAbsent(
                    livePeers(), peers -> peers.stream().map(Peer::member).toList());
        }

        @Override
        public boolean isLive(Member member) {
            return byAddress.get(member.name()).self.member().equals(member);
        }

        @Override
        public double lastContactAt(Member member) {
            return now;
        }

        @Override
        public double clockOffset(Member member) {
            return clockLag - byAddress.get(member.name()).clockLag;
        }

        @Override
        public boolean clockWithinBound(Member member) {
            return Math.abs(clockOffset(member)) <= settings.maxClockSkew();
        }

        @Override
        public boolean recentlyStalled(double time) {
            return recentlyStalled;
        }
    }

    final List<SimulatedMember> members = new ArrayList<>();
    final SplittableRandom random;
    final List<ReplicatedType<?>> types;
    final StateSettings settings;
    private final Map<String, SimulatedMember> byAddress = new HashMap<>();
    private final Map<SimulatedMember, List<Peer>> peersByMember = new HashMap<>();
    private final IdentityHashMap<List<Peer>, List<Member>> membersByPeers = new IdentityHashMap<>();
    private final PriorityQueue<ScheduledAction> schedule = new PriorityQueue<>();
    private long nextSequence;
    double now = 1_000_000;
    double lossProbability;
    double duplicationProbability;
    /** Minimum delay of a packet in seconds. */
    double delay = 0.0005;
    /** Maximum random delay of a packet in seconds, added to {@link #delay}. */
    double jitter;

    StateTestNetwork(long seed, int size, List<ReplicatedType<?>> types, StateSettings settings) {
        random = new SplittableRandom(seed);
        this.types = types;
        this.settings = settings;
        for (int i = 0; i < size; i++) {
            members.add(new SimulatedMember(i, (random.nextDouble() - 0.5) * settings.maxClockSkew() / 2));
            byAddress.put(members.get(i).address.host(), members.get(i));
        }
    }

    /** Starts all members that were never started. */
    StateTestNetwork startAll() {
        members.stream().filter(member -> member.self == null).forEach(SimulatedMember::start);
        return this;
    }

    /** Runs until the {@code completeUpTo} time of each replica is less than 20 s ago, but for at most 30 s. */
    StateTestNetwork awaitCompleteness() {
        runUntil(30, () -> members.stream().allMatch(member -> member.state.completeUpTo(member.clock()) > now - 20));
        return this;
    }

    void schedule(double time, Runnable action) {
        schedule.add(new ScheduledAction(time, nextSequence, action));
        nextSequence++;
    }

    private void send(SimulatedMember from, Address to, byte[] bytes) {
        int copies = random.nextDouble() < duplicationProbability ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            if (random.nextDouble() >= lossProbability) {
                schedule(now + delay + jitter * random.nextDouble(), () -> deliver(from, to, bytes));
            }
        }
    }

    private void deliver(SimulatedMember from, Address to, byte[] bytes) {
        SimulatedMember target = byAddress.get(to.host());
        if (target.partition == from.partition && target.dispatcher != null) {
            target.receive(from.address, bytes);
        }
    }

    void run(double seconds) {
        runUntil(seconds, () -> false);
    }

    /**
     * Runs until the condition is met, but for at most {@code limit} seconds. Returns the elapsed virtual time in
     * seconds, or infinity if the condition was not met.
     */
    double runUntil(double limit, BooleanSupplier condition) {
        double start = now;
        double lastCheckedAt = now;
        while (schedule.peek().time <= start + limit) {
            ScheduledAction next = schedule.poll();
            now = next.time;
            next.action.run();
            if (now - lastCheckedAt > MIN_CHECK_INTERVAL) {
                lastCheckedAt = now;
                if (condition.getAsBoolean()) {
                    return now - start;
                }
            }
        }
        now = start + limit;
        return condition.getAsBoolean() ? limit : Double.POSITIVE_INFINITY;
    }

    /** Whether all replicas have the same digest and eviction floor for each type. */
    boolean replicasAreEqual() {
        return types.stream().allMatch(type -> digestsAreEqual(type) && floorsAreEqual(type));
    }

    private boolean digestsAreEqual(ReplicatedType<?> type) {
        return members.stream()
                        .mapToLong(member -> member.state.digest(type, now))
                        .distinct()
                        .count()
                == 1;
    }

    private boolean floorsAreEqual(ReplicatedType<?> type) {
        return members.stream()
                        .mapToDouble(member -> member.state.evictionFloor(type))
                        .distinct()
                        .count()
                == 1;
    }
}
