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
 * A network of routers in virtual time whose datagrams may be lost, delayed, duplicated and blocked by partitions. The
 * same seed gives the same run.
 */
public final class VirtualNetwork {
    /** Seconds since 1970, in 2023, so that arithmetic that is exact only near zero fails. */
    public static final double START_TIME = 1.7e9;
    /** Datagrams that wait at a stalled router; further ones are lost, as in a full socket buffer. */
    private static final int RECEIVE_QUEUE_LIMIT = 1000;
    /** Seconds; the resolution of timers. */
    private static final double MIN_TICK_INTERVAL = 0.001;

    /** Seconds between two checks of the condition of {@link #runUntil}. */
    private static final double CHECK_INTERVAL = 0.05;

    private record ScheduledEvent(double time, long sequence, Runnable action) implements Comparable<ScheduledEvent> {
        @Override
        public int compareTo(ScheduledEvent other) {
            int order = Double.compare(time, other.time);
            return order != 0 ? order : Long.compare(this.sequence, other.sequence);
        }
    }

    /** A router process at an address, with a clock that may be off. */
    public final class Host {
        public final Address address;
        public double clockOffset;
        public MessageDispatcher dispatcher;
        private boolean running = true;
        private double stalledUntil;
        private double nextTickAt = Double.POSITIVE_INFINITY;
        private final Queue<Runnable> receiveQueue = new ArrayDeque<>();

        private Host(Address address, double clockOffset) {
            this.address = address;
            this.clockOffset = clockOffset;
        }

        /** The time on this host's clock, in seconds since 1970. */
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

        /** Ends the process at once. */
        public void kill() {
            running = false;
            hosts.remove(address, this);
        }

        /** Stalls the process for that many seconds, as by SIGSTOP and SIGCONT. */
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
    /** Least and greatest delay of a datagram in seconds; drawn for each, so that datagrams are reordered. */
    public double minDelay = 0.0002;

    public double maxDelay = 0.002;
    /** Whether datagrams from the first host to the second are lost. */
    public BiPredicate<Host, Host> partitioned = (from, to) -> false;

    public double now = START_TIME;
    private final SplittableRandom random;
    private final Map<Address, Host> hosts = new HashMap<>();
    private final PriorityQueue<ScheduledEvent> events = new PriorityQueue<>();
    private long nextSequence;

    public VirtualNetwork(long seed) {
        random = new SplittableRandom(seed);
    }

    /** Creates the dispatcher of a host. */
    public interface DispatcherFactory {
        /** Creates a dispatcher that sends by {@code transport}. */
        MessageDispatcher create(Host host, BiConsumer<Address, byte[]> transport);
    }

    /** Starts a router process at that address. */
    public Host start(Address address, double clockOffset, DispatcherFactory factory) {
        var host = new Host(address, clockOffset);
        hosts.put(address, host);
        host.dispatcher = factory.create(host, host::send);
        host.nextTickAt = now;
        schedule(now, host::tick);
        return host;
    }

    /** The running hosts. */
    public List<Host> hosts() {
        return new ArrayList<>(hosts.values());
    }

    /** Runs the action at that virtual time. */
    public void schedule(double time, Runnable action) {
        events.add(new ScheduledEvent(time, nextSequence++, action));
    }

    /** Lets that many virtual seconds pass. */
    public void run(double seconds) {
        runUntil(() -> false, seconds);
    }

    /**
     * Runs until the condition holds, checked every 50 ms; false where it does not within that many virtual seconds.
     */
    public boolean runUntil(BooleanSupplier condition, double within) {
        double end = now + within;
        for (double nextCheckAt = now; !condition.getAsBoolean(); nextCheckAt += CHECK_INTERVAL) {
            while (!events.isEmpty() && events.peek().time() <= Math.min(nextCheckAt, end)) {
                ScheduledEvent event = events.remove();
                now = Math.max(now, event.time());
                event.action().run();
            }
            if (nextCheckAt >= end) {
                now = end;
                return condition.getAsBoolean();
            }
            now = Math.max(now, nextCheckAt);
        }
        return true;
    }
}
