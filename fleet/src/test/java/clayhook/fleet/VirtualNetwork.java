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
 * A network of routers in virtual time, which loses, delays and duplicates datagrams and has partitions. Equal seeds
 * result in equal runs.
 */
public final class VirtualNetwork {
    /**
     * Start of the virtual time in seconds since 1970. It is a time in 2023, so that arithmetic which is exact only
     * near zero causes failures.
     */
    public static final double START_TIME = 1.7e9;
    /** Maximum number of datagrams queued at a stalled router. Further ones are lost, as with a full socket buffer. */
    private static final int MAX_RECEIVE_QUEUE_SIZE = 1000;
    /** Minimum interval between two ticks in seconds, which simulates the resolution of timers. */
    private static final double MIN_TICK_INTERVAL_SECONDS = 0.001;

    /** Interval between two checks of the condition of {@link #runUntil}, in seconds of virtual time. */
    private static final double CHECK_INTERVAL_SECONDS = 0.05;

    private record ScheduledEvent(double time, long sequence, Runnable action) implements Comparable<ScheduledEvent> {
        @Override
        public int compareTo(ScheduledEvent other) {
            int order = Double.compare(time, other.time);
            return order != 0 ? order : Long.compare(this.sequence, other.sequence);
        }
    }

    /** A router process with an address and a clock that may differ from the virtual time. */
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

        /** Returns the time on this host's clock, in seconds since 1970. */
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
                if (receiveQueue.size() < MAX_RECEIVE_QUEUE_SIZE) {
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
            nextTickAt = Math.max(now + MIN_TICK_INTERVAL_SECONDS, dispatcher.tick(clock()) - clockOffset);
            schedule(nextTickAt, this::tick);
        }

        /** Ends the process immediately. */
        public void kill() {
            running = false;
            hosts.remove(address, this);
        }

        /** Stalls the process for {@code seconds}, as SIGSTOP followed by SIGCONT does. */
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
    /**
     * Minimum delay of a datagram in seconds. The delay of each datagram is random between the minimum and the maximum,
     * so that datagrams are reordered.
     */
    public double minDelay = 0.0002;

    public double maxDelay = 0.002;
    /** Tests whether all datagrams from the first host to the second are lost. */
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
        /** Creates a dispatcher that sends packets through {@code transport}. */
        MessageDispatcher create(Host host, BiConsumer<Address, byte[]> transport);
    }

    /** Starts a router process with the given address and clock offset in seconds. */
    public Host start(Address address, double clockOffset, DispatcherFactory factory) {
        var host = new Host(address, clockOffset);
        hosts.put(address, host);
        host.dispatcher = factory.create(host, host::send);
        host.nextTickAt = now;
        schedule(now, host::tick);
        return host;
    }

    /** Returns the running hosts. */
    public List<Host> hosts() {
        return new ArrayList<>(hosts.values());
    }

    /** Schedules an action for the virtual time {@code time}, in seconds since 1970. */
    public void schedule(double time, Runnable action) {
        events.add(new ScheduledEvent(time, nextSequence++, action));
    }

    /** Runs the network for {@code seconds} of virtual time. */
    public void run(double seconds) {
        runUntil(() -> false, seconds);
    }

    /**
     * Runs until the condition holds, which is checked every 50 ms of virtual time. Returns false if it does not hold
     * within {@code maxSeconds} virtual seconds.
     */
    public boolean runUntil(BooleanSupplier condition, double maxSeconds) {
        double end = now + maxSeconds;
        for (double nextCheckAt = now; !condition.getAsBoolean(); nextCheckAt += CHECK_INTERVAL_SECONDS) {
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
