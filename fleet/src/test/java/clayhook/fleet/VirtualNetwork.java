package clayhook.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.function.BiPredicate;
import java.util.function.BooleanSupplier;

/**
 * Routers in virtual time, and datagrams between them that get lost, late, doubled and cut off. The same seed plays the
 * same.
 */
public final class VirtualNetwork {
    /** 2023; figures that only work near zero fail. */
    public static final double START = 1.7e9;
    /** Datagrams that wait at a router that stands; further ones are lost, as at a socket. */
    private static final int DOOR = 1000;
    /** Seconds; timers are no finer. */
    private static final double TICK = 0.001;

    private record Event(double at, long order, Runnable run) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int order = Double.compare(at, other.at);
            return order != 0 ? order : Long.compare(this.order, other.order);
        }
    }

    /** A process at an address; its clock may be off. */
    public final class Host {
        public final Address address;
        public double clockAhead;
        public Fleet fleet;
        private boolean running = true;
        private double standsUntil;
        private double turnAt = Double.POSITIVE_INFINITY;
        private final Queue<Runnable> door = new ArrayDeque<>();

        private Host(Address address, double clockAhead) {
            this.address = address;
            this.clockAhead = clockAhead;
        }

        public double clock() {
            return now + clockAhead;
        }

        private void wire(Address to, byte[] bytes) {
            Host host = hosts.get(to);
            if (host == null || cut.test(this, host)) {
                return;
            }
            for (int copies = chance.nextDouble() < doubled ? 2 : 1; copies > 0; copies--) {
                if (chance.nextDouble() >= lost) {
                    at(now + least + chance.nextDouble() * (most - least), () -> host.heard(address, bytes));
                }
            }
        }

        private void heard(Address from, byte[] bytes) {
            if (now < standsUntil) {
                if (door.size() < DOOR) {
                    door.add(() -> heard(from, bytes));
                }
            } else if (running) {
                fleet.heard(from, bytes, clock());
            }
        }

        private void turn() {
            if (!running || now < turnAt || now < standsUntil) {
                return;
            }
            turnAt = Math.max(now + TICK, fleet.turn(clock()) - clockAhead);
            at(turnAt, this::turn);
        }

        /** Dies at once. */
        public void kill() {
            running = false;
            hosts.remove(address, this);
        }

        /** SIGSTOP, and SIGCONT after that many seconds. */
        public void stand(double seconds) {
            standsUntil = now + seconds;
            at(standsUntil, () -> {
                while (!door.isEmpty()) {
                    door.remove().run();
                }
                turn();
            });
        }
    }

    public double lost;
    public double doubled;
    /** Seconds that a datagram takes; by chance between the two, so that some overtake others. */
    public double least = 0.0002;

    public double most = 0.002;
    /** Whether what goes from the first to the second never comes. */
    public BiPredicate<Host, Host> cut = (from, to) -> false;

    public double now = START;
    private final SplittableRandom chance;
    private final Map<Address, Host> hosts = new HashMap<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long order;

    public VirtualNetwork(long seed) {
        chance = new SplittableRandom(seed);
    }

    /** What makes a router's end; {@code wire} is to be its wire. */
    public interface Maker {
        Fleet make(Host host, BiConsumer<Address, byte[]> wire);
    }

    /** A process begins there. */
    public Host start(Address address, double clockAhead, Maker maker) {
        var host = new Host(address, clockAhead);
        hosts.put(address, host);
        host.fleet = maker.make(host, host::wire);
        host.turnAt = now;
        at(now, host::turn);
        return host;
    }

    public List<Host> hosts() {
        return new ArrayList<>(hosts.values());
    }

    public void at(double time, Runnable run) {
        events.add(new Event(time, order++, run));
    }

    public void run(double seconds) {
        reaches(() -> false, seconds);
    }

    /** Plays until that holds, looked at every 50 ms; false when it does not within those seconds. */
    public boolean reaches(BooleanSupplier condition, double within) {
        double end = now + within;
        for (double look = now; !condition.getAsBoolean(); look += 0.05) {
            while (!events.isEmpty() && events.peek().at() <= Math.min(look, end)) {
                Event event = events.remove();
                now = Math.max(now, event.at());
                event.run().run();
            }
            if (look >= end) {
                now = end;
                return condition.getAsBoolean();
            }
            now = Math.max(now, look);
        }
        return true;
    }
}
