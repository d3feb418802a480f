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
    private static final int WAITING = 256;
    /**
     * Seconds from the arrival of packets until the next tick, so that packets that arrive together are processed
     * together.
     */
    private static final double SOON = 0.001;
    /**
     * Seconds until the handlers process events of the router itself: the production thread wakes up at most a hundred
     * times per second.
     */
    private static final double NAP = 0.01;
    /** Minimum seconds between two ticks; guards against a handler that always requests an immediate tick. */
    private static final double LEAST_PAUSE = 1e-4;

    private record QueuedDatagram(Address from, byte[] bytes) {}

    private final int number;
    private final Address address;
    private final Scheduler scheduler;
    private final SimulatedNetwork network;
    private final RouterIncarnation.Factory birth;
    private final List<Address> seeds;
    private final long seed;
    private final DriftingClock clock;
    /** Packets that arrived while the router was frozen; processed when it resumes. */
    private final Queue<QueuedDatagram> waiting = new ArrayDeque<>();

    private RouterIncarnation life;
    private MessageDispatcher fleet;
    private int lives;
    private long boot;
    private double ahead;
    /**
     * Number of faults that currently freeze the router; the next field counts those that keep it dead. Several can
     * overlap.
     */
    private int stands;

    private int deaths;
    private double wakeAt = Double.POSITIVE_INFINITY;

    PeeredRouter(
            int number,
            Scheduler scheduler,
            SimulatedNetwork network,
            RouterIncarnation.Factory birth,
            List<Address> seeds,
            long seed) {
        this.number = number;
        this.scheduler = scheduler;
        this.network = network;
        this.birth = birth;
        this.seeds = seeds;
        this.seed = seed;
        address = address(number);
        clock = new DriftingClock(scheduler.now());
        network.place(address, number, this::heard);
        live();
    }

    static Address address(int number) {
        return new Address("router-" + number, 7946);
    }

    // ---- faults ----

    private void live() {
        clock.setAhead(scheduler.now(), ahead);
        lives++;
        // As in the production router: above the last incarnation whatever the clock says, otherwise peers would take
        // the new one for an earlier one.
        boot = Math.max(boot + 1, (long) (1000 * now()));
        var self = new Member(address.host(), boot);
        life = birth.begin(new Peer(self, address), seeds, seed * 1_000_003 + lives, now());
        fleet = new MessageDispatcher(self, life.machines(), (to, bytes) -> network.send(address, to, bytes));
        wakeAt = Double.POSITIVE_INFINITY;
        wake(scheduler.now());
    }

    void die() {
        deaths++;
        life = null;
        fleet = null;
        waiting.clear();
    }

    void comeBack() {
        if (--deaths == 0) {
            live();
        }
    }

    /** Restarts the router with its clock shifted ahead by {@code further} seconds. */
    void startWithClock(double further) {
        ahead += further;
        die();
        comeBack();
    }

    void drift(double secondsASecond) {
        clock.setDrift(scheduler.now(), secondsASecond);
        // The pending wake-up was scheduled at the old rate of the clock, so it is scheduled again.
        wakeAt = Double.POSITIVE_INFINITY;
        wake(scheduler.now());
    }

    void stand() {
        stands++;
    }

    void goOn() {
        if (--stands == 0) {
            while (awake() && !waiting.isEmpty()) {
                QueuedDatagram letter = waiting.poll();
                fleet.onDatagram(letter.from(), letter.bytes(), now());
            }
            wake(scheduler.now());
        }
    }

    // ---- ticks ----

    private void heard(Address from, byte[] bytes) {
        if (awake()) {
            fleet.onDatagram(from, bytes, now());
            wake(scheduler.now() + SOON);
        } else if (life != null && waiting.size() < WAITING) {
            waiting.add(new QueuedDatagram(from, bytes));
        }
    }

    private void wake(double at) {
        if (life == null || at >= wakeAt) {
            return;
        }
        wakeAt = at;
        int planned = lives;
        scheduler.scheduleAt(at, () -> {
            if (planned == lives && wakeAt == at) {
                wakeAt = Double.POSITIVE_INFINITY;
                turn();
            }
        });
    }

    private void turn() {
        if (awake()) {
            double next = fleet.tick(now());
            wake(Math.max(scheduler.now() + LEAST_PAUSE, clock.trueTimeOf(next)));
        }
    }

    /** Merges a value into the copy and schedules a tick, so that the handlers send it. */
    public <V> V put(ReplicatedType<V> kind, String key, V value) {
        V joined = life.shared().merge(kind, key, value, now());
        wake(scheduler.now());
        return joined;
    }

    /** Schedules a tick for an event of the router itself, after the same delay as in production. */
    void stir() {
        wake(scheduler.now() + NAP);
    }

    // ---- state ----

    public int number() {
        return number;
    }

    /** Returns whether the router is alive and not frozen. */
    public boolean awake() {
        return life != null && stands == 0;
    }

    /** Current time of the router's own clock. */
    public double now() {
        return clock.now(scheduler.now());
    }

    /** Number of incarnations so far. */
    public int lives() {
        return lives;
    }

    /** Null while the router is dead. */
    public ReplicatedStore shared() {
        return life == null ? null : life.shared();
    }

    /** Null while the router is dead. */
    public MembershipView roster() {
        return life == null ? null : life.roster();
    }

    /** Traffic counters of the current incarnation. */
    public MessageDispatcher.TrafficCounters counts() {
        return fleet.counters();
    }

    @Override
    public String toString() {
        return address.host();
    }
}
