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
    public static final double START_TIME = 1.7e9;
    /** Datagrams that wait at a router that stands; further ones are lost, as at a socket. */
    private static final int RECEIVE_QUEUE_LIMIT = 1000;
    /** Seconds; timers are no finer. */
    private static final double MIN_TICK_INTERVAL = 0.001;

    private record ScheduledEvent(double time, long sequence, Runnable action) implements Comparable<ScheduledEvent> {
        @Override
        public int compareTo(ScheduledEvent other) {
            int order = Double.compare(time, other.time);
            return order != 0 ? order : Long.compare(this.sequence, other.sequence);
        }
    }

    /** A process at an address; its clock may be off. */
    public final class Host {
        public final Address address;
        public double clockOffset;
        public MessageDispatcher dispatcher;
        private boolean running = true;
        private double stalledUntil;
        private double nextTickAt = Double.POSITIVE_INFINITY;
        private final Queue<Runnable> receiveQueue = new ArrayDeque<>();

        private Host(Address address, double clockAhead) {
            this.address = address;
            this.clockOffset = clockAhead;
        }

        public double clock() {
            return now + clockOffset;
        }

        private void send(Address to, byte[] bytes) {
            Host host = hosts.get(to);
            if (host == null || partitioned.test(this, host)) {
                return;
            }
            for (int copies = random.nextDouble() < duplicationProbability ? 2 : 1; copies > 0; copies--) {
                if (random.nextDouble() >= lossProbability) {
                    schedule(
                            now + minDelay + random.nextDouble() * (maxDelay - minDelay),
                            () -> host.receive(address, bytes));
                }
            }
        }

        private void receive(Address from, byte[] bytes) {
            if (now < stalledUntil) {
                if (receiveQueue.size() < RECEIVE_QUEUE_LIMIT) {
                    receiveQueue.add(() -> receive(from, bytes));
                }
            } else if (running) {
                dispatcher.onDatagram(from, bytes, clock());
            }
        }

        private void tick() {
            if (!running || now < nextTickAt || now < stalledUntil) {
                return;
            }
            nextTickAt = Math.max(now + MIN_TICK_INTERVAL, dispatcher.tick(clock()) - clockOffset);
            schedule(nextTickAt, this::tick);
        }

        /** Dies at once. */
        public void kill() {
            running = false;
            hosts.remove(address, this);
        }

        /** SIGSTOP, and SIGCONT after that many seconds. */
        public void stall(double seconds) {
            stalledUntil = now + seconds;
            schedule(stalledUntil, () -> {
                while (!receiveQueue.isEmpty()) {
                    receiveQueue.remove().run();
                }
                tick();
            });
        }
    }

    public double lossProbability;
    public double duplicationProbability;
    /** Seconds that a datagram takes; by chance between the two, so that some overtake others. */
    public double minDelay = 0.0002;

    public double maxDelay = 0.002;
    /** Whether what goes from the first to the second never comes. */
    public BiPredicate<Host, Host> partitioned = (from, to) -> false;

    public double now = START_TIME;
    private final SplittableRandom random;
    private final Map<Address, Host> hosts = new HashMap<>();
    private final PriorityQueue<ScheduledEvent> events = new PriorityQueue<>();
    private long nextSequence;

    public VirtualNetwork(long seed) {
        random = new SplittableRandom(seed);
    }

    /** What makes a router's end; {@code wire} is to be its wire. */
    public interface DispatcherFactory {
        MessageDispatcher create(Host host, BiConsumer<Address, byte[]> wire);
    }

    /** A process begins there. */
    public Host start(Address address, double clockAhead, DispatcherFactory maker) {
        var host = new Host(address, clockAhead);
        hosts.put(address, host);
        host.dispatcher = maker.create(host, host::send);
        host.nextTickAt = now;
        schedule(now, host::tick);
        return host;
    }

    public List<Host> hosts() {
        return new ArrayList<>(hosts.values());
    }

    public void schedule(double time, Runnable run) {
        events.add(new ScheduledEvent(time, nextSequence++, run));
    }

    public void run(double seconds) {
        runUntil(() -> false, seconds);
    }

    /** Plays until that holds, looked at every 50 ms; false when it does not within those seconds. */
    public boolean runUntil(BooleanSupplier condition, double within) {
        double end = now + within;
        for (double look = now; !condition.getAsBoolean(); look += 0.05) {
            while (!events.isEmpty() && events.peek().time() <= Math.min(look, end)) {
                ScheduledEvent event = events.remove();
                now = Math.max(now, event.time());
                event.action().run();
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
