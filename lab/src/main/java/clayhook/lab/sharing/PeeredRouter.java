package clayhook.lab.sharing;

import clayhook.fleet.Address;
import clayhook.fleet.Member;
import clayhook.fleet.MembershipView;
import clayhook.fleet.MessageDispatcher;
import clayhook.fleet.Peer;
import clayhook.fleet.ReplicatedStore;
import clayhook.fleet.ReplicatedType;
import clayhook.lab.model.Scheduler;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;

/** A router's end of the state sharing: runs the production protocol handlers on the router's own clock. */
public final class PeeredRouter {
    /**
     * Maximum number of packets that wait while the router is frozen, as in the buffer of a socket; further ones are
     * lost.
     */
    private static final int MAX_WAITING_PACKETS = 256;
    /**
     * Seconds from the arrival of packets until the next tick, so that packets that arrive together are processed
     * together.
     */
    private static final double RECEIVE_DELAY = 0.001;
    /**
     * Seconds until the handlers process events of the router itself: the production thread wakes up at most a hundred
     * times per second.
     */
    private static final double EVENT_DELAY = 0.01;
    /** Minimum seconds between two ticks; guards against a handler that always requests an immediate tick. */
    private static final double MIN_TICK_INTERVAL = 1e-4;

    private record QueuedDatagram(Address from, byte[] bytes) {}

    private final int number;
    private final Address address;
    private final Scheduler scheduler;
    private final SimulatedNetwork network;
    private final RouterIncarnation.Factory incarnationFactory;
    private final List<Address> seeds;
    private final long seed;
    private final DriftingClock clock;
    /** Packets that arrived while the router was frozen; processed when it resumes. */
    private final Queue<QueuedDatagram> waitingPackets = new ArrayDeque<>();

    private RouterIncarnation incarnation;
    private MessageDispatcher dispatcher;
    private int incarnations;
    private long incarnationNumber;
    private double clockOffset;
    /**
     * Number of faults that currently freeze the router; the next field counts those that keep it dead. Several can
     * overlap.
     */
    private int freezes;

    private int kills;
    private double nextTickAt = Double.POSITIVE_INFINITY;

    PeeredRouter(
            int number,
            Scheduler scheduler,
            SimulatedNetwork network,
            RouterIncarnation.Factory incarnationFactory,
            List<Address> seeds,
            long seed) {
        this.number = number;
        this.scheduler = scheduler;
        this.network = network;
        this.incarnationFactory = incarnationFactory;
        this.seeds = seeds;
        this.seed = seed;
        address = address(number);
        clock = new DriftingClock(scheduler.now());
        network.register(address, number, this::onDatagram);
        startIncarnation();
    }

    static Address address(int number) {
        return new Address("router-" + number, 7946);
    }

    // ---- faults ----

    private void startIncarnation() {
        clock.setAhead(scheduler.now(), clockOffset);
        incarnations++;
        // As in the production router: above the last incarnation whatever the clock says, otherwise peers would take
        // the new one for an earlier one.
        incarnationNumber = Math.max(incarnationNumber + 1, (long) (1000 * now()));
        var member = new Member(address.host(), incarnationNumber);
        incarnation =
                incarnationFactory.create(new Peer(member, address), seeds, seed * 1_000_003 + incarnations, now());
        dispatcher =
                new MessageDispatcher(member, incarnation.handlers(), (to, bytes) -> network.send(address, to, bytes));
        nextTickAt = Double.POSITIVE_INFINITY;
        scheduleTick(scheduler.now());
    }

    void kill() {
        kills++;
        incarnation = null;
        dispatcher = null;
        waitingPackets.clear();
    }

    void restart() {
        if (--kills == 0) {
            startIncarnation();
        }
    }

    /** Restarts the router with its clock shifted ahead by {@code secondsAhead} seconds. */
    void startWithClock(double secondsAhead) {
        clockOffset += secondsAhead;
        kill();
        restart();
    }

    void drift(double secondsASecond) {
        clock.setDrift(scheduler.now(), secondsASecond);
        // The pending wake-up was scheduled at the old rate of the clock, so it is scheduled again.
        nextTickAt = Double.POSITIVE_INFINITY;
        scheduleTick(scheduler.now());
    }

    void freeze() {
        freezes++;
    }

    void resume() {
        if (--freezes == 0) {
            while (awake() && !waitingPackets.isEmpty()) {
                QueuedDatagram datagram = waitingPackets.poll();
                dispatcher.onDatagram(datagram.from(), datagram.bytes(), now());
            }
            scheduleTick(scheduler.now());
        }
    }

    // ---- ticks ----

    private void onDatagram(Address from, byte[] bytes) {
        if (awake()) {
            dispatcher.onDatagram(from, bytes, now());
            scheduleTick(scheduler.now() + RECEIVE_DELAY);
        } else if (incarnation != null && waitingPackets.size() < MAX_WAITING_PACKETS) {
            waitingPackets.add(new QueuedDatagram(from, bytes));
        }
    }

    private void scheduleTick(double time) {
        if (incarnation == null || time >= nextTickAt) {
            return;
        }
        nextTickAt = time;
        int scheduledIn = incarnations;
        scheduler.scheduleAt(time, () -> {
            if (scheduledIn == incarnations && nextTickAt == time) {
                nextTickAt = Double.POSITIVE_INFINITY;
                tick();
            }
        });
    }

    private void tick() {
        if (awake()) {
            double next = dispatcher.tick(now());
            scheduleTick(Math.max(scheduler.now() + MIN_TICK_INTERVAL, clock.trueTimeOf(next)));
        }
    }

    /** Merges a value into the copy and schedules a tick, so that the handlers send it. */
    public <V> V put(ReplicatedType<V> type, String key, V value) {
        V merged = incarnation.store().merge(type, key, value, now());
        scheduleTick(scheduler.now());
        return merged;
    }

    /** Schedules a tick for an event of the router itself, after the same delay as in production. */
    void scheduleEventTick() {
        scheduleTick(scheduler.now() + EVENT_DELAY);
    }

    // ---- state ----

    public int number() {
        return number;
    }

    /** Returns whether the router is alive and not frozen. */
    public boolean awake() {
        return incarnation != null && freezes == 0;
    }

    /** Current time of the router's own clock. */
    public double now() {
        return clock.now(scheduler.now());
    }

    /** Number of incarnations so far. */
    public int incarnations() {
        return incarnations;
    }

    /** Null while the router is dead. */
    public ReplicatedStore store() {
        return incarnation == null ? null : incarnation.store();
    }

    /** Null while the router is dead. */
    public MembershipView membership() {
        return incarnation == null ? null : incarnation.membership();
    }

    /** Traffic counters of the current incarnation. */
    public MessageDispatcher.TrafficCounters trafficCounters() {
        return dispatcher.counters();
    }

    @Override
    public String toString() {
        return address.host();
    }
}
