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
 * Routers with a fixed roster on a network of our own, in virtual time: it loses, doubles, delays, cuts and freezes.
 */
final class StateTestNetwork {
    private record ScheduledAction(double at, long order, Runnable action) implements Comparable<ScheduledAction> {
        @Override
        public int compareTo(ScheduledAction other) {
            return at != other.at ? Double.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    /** One router; {@code behind} is by how much its clock is. */
    final class SimulatedMember implements MembershipView {
        final Address address;
        double clockLag;
        Peer self;
        private long incarnation;
        /** Of its release. */
        List<ReplicatedType<?>> supportedTypes = types;

        MessageDispatcher fleet;
        ReplicatedState state;
        int partition;
        boolean frozen;
        boolean doubtful;
        private final List<Runnable> missedPackets = new ArrayList<>();

        private SimulatedMember(int index, double behind) {
            address = new Address("r" + String.format("%04d", index), 1);
            this.clockLag = behind;
        }

        double clock() {
            return now - clockLag;
        }

        /** Begins a new life; what was in memory is gone. */
        void start() {
            frozen = false;
            missedPackets.clear();
            incarnation = Math.max(incarnation + 1, (long) (clock() * 1000));
            self = new Peer(new Member(address.host(), incarnation), address);
            peers.clear();
            members.clear();
            state = new ReplicatedState(this, supportedTypes, settings, random.nextLong(), clock());
            fleet = new MessageDispatcher(self.member(), List.of(state), (to, bytes) -> send(this, to, bytes));
            turn(fleet);
        }

        private void turn(MessageDispatcher life) {
            if (life == fleet) {
                double next = frozen ? clock() + 0.05 : life.tick(clock());
                schedule(Math.max(now + 1e-4, next + clockLag), () -> turn(life));
            }
        }

        private void heard(Address from, byte[] bytes) {
            if (!frozen) {
                fleet.onDatagram(from, bytes, clock());
            } else if (missedPackets.size() < 200) {
                missedPackets.add(() -> fleet.onDatagram(from, bytes, clock()));
            }
        }

        void thaw() {
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
            return peers.computeIfAbsent(this, any -> nodes.stream()
                    .filter(node -> node != this && node.self != null)
                    .map(node -> node.self)
                    .toList());
        }

        @Override
        public List<Member> possiblyServing(double time) {
            return members.computeIfAbsent(
                    livePeers(), list -> list.stream().map(Peer::member).toList());
        }

        @Override
        public boolean isLive(Member member) {
            return byAddress.get(member.name()).self.member().equals(member);
        }

        @Override
        public double lastHeardAt(Member member) {
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
            return doubtful;
        }
    }

    final List<SimulatedMember> nodes = new ArrayList<>();
    final SplittableRandom random;
    final List<ReplicatedType<?>> types;
    final StateSettings settings;
    private final Map<String, SimulatedMember> byAddress = new HashMap<>();
    private final Map<SimulatedMember, List<Peer>> peers = new HashMap<>();
    private final Map<List<Peer>, List<Member>> members = new IdentityHashMap<>();
    private final PriorityQueue<ScheduledAction> events = new PriorityQueue<>();
    private long order;
    double now = 1_000_000;
    double lossProbability;
    double duplicationProbability;
    /** Seconds from router to router at least, and how much more it may be. */
    double delay = 0.0005;

    double jitter;

    StateTestNetwork(long seed, int size, List<ReplicatedType<?>> kinds, StateSettings settings) {
        random = new SplittableRandom(seed);
        this.types = kinds;
        this.settings = settings;
        for (int i = 0; i < size; i++) {
            nodes.add(new SimulatedMember(i, (random.nextDouble() - 0.5) * settings.maxClockSkew() / 2));
            byAddress.put(nodes.get(i).address.host(), nodes.get(i));
        }
    }

    /** Starts those that never were. */
    StateTestNetwork startAll() {
        nodes.stream().filter(node -> node.self == null).forEach(SimulatedMember::start);
        return this;
    }

    /** Until all copies hold themselves for whole and know up to when. */
    StateTestNetwork awaitCertainty() {
        runUntil(30, () -> nodes.stream().allMatch(node -> node.state.completeUpTo(node.clock()) > now - 20));
        return this;
    }

    void schedule(double time, Runnable what) {
        events.add(new ScheduledAction(time, order++, what));
    }

    private void send(SimulatedMember from, Address to, byte[] bytes) {
        for (int copies = random.nextDouble() < duplicationProbability ? 2 : 1; copies > 0; copies--) {
            if (random.nextDouble() >= lossProbability) {
                schedule(now + delay + jitter * random.nextDouble(), () -> {
                    SimulatedMember target = byAddress.get(to.host());
                    if (target.partition == from.partition && target.fleet != null) {
                        target.heard(from.address, bytes);
                    }
                });
            }
        }
    }

    void run(double seconds) {
        runUntil(seconds, () -> false);
    }

    /**
     * Runs until that is so, asked after each event that may change it; returns seconds, or more than the limit for
     * never.
     */
    double runUntil(double limit, BooleanSupplier so) {
        double start = now;
        double asked = now;
        while (events.peek().at <= start + limit) {
            ScheduledAction event = events.poll();
            now = event.at;
            event.action.run();
            if (now - asked > 0.005) {
                asked = now;
                if (so.getAsBoolean()) {
                    return now - start;
                }
            }
        }
        now = start + limit;
        return so.getAsBoolean() ? limit : Double.POSITIVE_INFINITY;
    }

    boolean replicasAreEqual() {
        return types.stream()
                .allMatch(kind -> nodes.stream()
                                        .mapToLong(node -> node.state.digest(kind, now))
                                        .distinct()
                                        .count()
                                == 1
                        && nodes.stream()
                                        .mapToDouble(node -> node.state.evictionFloor(kind))
                                        .distinct()
                                        .count()
                                == 1);
    }
}
