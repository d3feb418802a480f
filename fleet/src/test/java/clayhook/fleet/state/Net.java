package clayhook.fleet.state;

import clayhook.fleet.Address;
import clayhook.fleet.MessageDispatcher;
import clayhook.fleet.ReplicatedType;
import clayhook.fleet.Member;
import clayhook.fleet.Peer;
import clayhook.fleet.MembershipView;
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
final class Net {
    private record Event(double at, long order, Runnable what) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return at != other.at ? Double.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    /** One router; {@code behind} is by how much its clock is. */
    final class Node implements MembershipView {
        final Address address;
        double behind;
        Peer self;
        private long boot;
        /** Of its release. */
        List<ReplicatedType<?>> knows = kinds;

        MessageDispatcher fleet;
        State state;
        int side;
        boolean frozen;
        boolean doubtful;
        private final List<Runnable> missed = new ArrayList<>();

        private Node(int index, double behind) {
            address = new Address("r" + String.format("%04d", index), 1);
            this.behind = behind;
        }

        double clock() {
            return now - behind;
        }

        /** Begins a new life; what was in memory is gone. */
        void start() {
            frozen = false;
            missed.clear();
            boot = Math.max(boot + 1, (long) (clock() * 1000));
            self = new Peer(new Member(address.host(), boot), address);
            peers.clear();
            members.clear();
            state = new State(this, knows, settings, random.nextLong(), clock());
            fleet = new MessageDispatcher(self.member(), List.of(state), (to, bytes) -> send(this, to, bytes));
            turn(fleet);
        }

        private void turn(MessageDispatcher life) {
            if (life == fleet) {
                double next = frozen ? clock() + 0.05 : life.tick(clock());
                at(Math.max(now + 1e-4, next + behind), () -> turn(life));
            }
        }

        private void heard(Address from, byte[] bytes) {
            if (!frozen) {
                fleet.onDatagram(from, bytes, clock());
            } else if (missed.size() < 200) {
                missed.add(() -> fleet.onDatagram(from, bytes, clock()));
            }
        }

        void thaw() {
            frozen = false;
            missed.forEach(Runnable::run);
            missed.clear();
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
            return behind - byAddress.get(member.name()).behind;
        }

        @Override
        public boolean clockWithinBound(Member member) {
            return Math.abs(clockOffset(member)) <= settings.clockBound();
        }

        @Override
        public boolean recentlyStalled(double time) {
            return doubtful;
        }
    }

    final List<Node> nodes = new ArrayList<>();
    final SplittableRandom random;
    final List<ReplicatedType<?>> kinds;
    final StateSettings settings;
    private final Map<String, Node> byAddress = new HashMap<>();
    private final Map<Node, List<Peer>> peers = new HashMap<>();
    private final Map<List<Peer>, List<Member>> members = new IdentityHashMap<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long order;
    double now = 1_000_000;
    double loss;
    double doubled;
    /** Seconds from router to router at least, and how much more it may be. */
    double delay = 0.0005;

    double jitter;

    Net(long seed, int size, List<ReplicatedType<?>> kinds, StateSettings settings) {
        random = new SplittableRandom(seed);
        this.kinds = kinds;
        this.settings = settings;
        for (int i = 0; i < size; i++) {
            nodes.add(new Node(i, (random.nextDouble() - 0.5) * settings.clockBound() / 2));
            byAddress.put(nodes.get(i).address.host(), nodes.get(i));
        }
    }

    /** Starts those that never were. */
    Net started() {
        nodes.stream().filter(node -> node.self == null).forEach(Node::start);
        return this;
    }

    /** Until all copies hold themselves for whole and know up to when. */
    Net settled() {
        until(30, () -> nodes.stream().allMatch(node -> node.state.completeUpTo(node.clock()) > now - 20));
        return this;
    }

    void at(double time, Runnable what) {
        events.add(new Event(time, order++, what));
    }

    private void send(Node from, Address to, byte[] bytes) {
        for (int copies = random.nextDouble() < doubled ? 2 : 1; copies > 0; copies--) {
            if (random.nextDouble() >= loss) {
                at(now + delay + jitter * random.nextDouble(), () -> {
                    Node target = byAddress.get(to.host());
                    if (target.side == from.side && target.fleet != null) {
                        target.heard(from.address, bytes);
                    }
                });
            }
        }
    }

    void run(double seconds) {
        until(seconds, () -> false);
    }

    /**
     * Runs until that is so, asked after each event that may change it; returns seconds, or more than the limit for
     * never.
     */
    double until(double limit, BooleanSupplier so) {
        double start = now;
        double asked = now;
        while (events.peek().at <= start + limit) {
            Event event = events.poll();
            now = event.at;
            event.what.run();
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

    boolean alike() {
        return kinds.stream()
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
