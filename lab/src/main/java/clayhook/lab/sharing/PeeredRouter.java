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

/** One router's end of what routers share: the real machines, told the times of its own clock. */
public final class PeeredRouter {
    /** Packets that wait while it stands still, as a socket's buffer holds them; more are lost. */
    private static final int WAITING = 256;
    /** Seconds after packets came until the machines have their turn: what comes together is seen together. */
    private static final double SOON = 0.001;
    /**
     * Seconds after which what the router itself tells is looked at: its thread wakes a hundred times a second at most.
     */
    private static final double NAP = 0.01;
    /** Guards against a machine that wants its next turn at once, for ever. */
    private static final double LEAST_PAUSE = 1e-4;

    private record QueuedDatagram(Address from, byte[] bytes) {}

    private final int number;
    private final Address address;
    private final Scheduler time;
    private final SimulatedNetwork network;
    private final RouterIncarnation.Factory birth;
    private final List<Address> seeds;
    private final long seed;
    private final DriftingClock clock;
    /** Emptied when it goes on. */
    private final Queue<QueuedDatagram> waiting = new ArrayDeque<>();

    private RouterIncarnation life;
    private MessageDispatcher fleet;
    private int lives;
    private long boot;
    private double ahead;
    /** Faults that hold it still, and that keep it dead; several may at once. */
    private int stands;

    private int deaths;
    private double wakeAt = Double.POSITIVE_INFINITY;

    PeeredRouter(
            int number,
            Scheduler time,
            SimulatedNetwork network,
            RouterIncarnation.Factory birth,
            List<Address> seeds,
            long seed) {
        this.number = number;
        this.time = time;
        this.network = network;
        this.birth = birth;
        this.seeds = seeds;
        this.seed = seed;
        address = address(number);
        clock = new DriftingClock(time.now());
        network.place(address, number, this::heard);
        live();
    }

    static Address address(int number) {
        return new Address("router-" + number, 7946);
    }

    // ---- what befalls it ----

    private void live() {
        clock.set(time.now(), ahead);
        lives++;
        // As the edge does: above the last one, whatever the clock says, else it would count as its own past.
        boot = Math.max(boot + 1, (long) (1000 * now()));
        var self = new Member(address.host(), boot);
        life = birth.begin(new Peer(self, address), seeds, seed * 1_000_003 + lives, now());
        fleet = new MessageDispatcher(self, life.machines(), (to, bytes) -> network.send(address, to, bytes));
        wakeAt = Double.POSITIVE_INFINITY;
        wake(time.now());
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

    /** It starts again with its clock that much further ahead than before. */
    void startWithClock(double further) {
        ahead += further;
        die();
        comeBack();
    }

    void drift(double secondsASecond) {
        clock.gains(time.now(), secondsASecond);
        // What was planned by the old rate of the clock is planned anew.
        wakeAt = Double.POSITIVE_INFINITY;
        wake(time.now());
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
            wake(time.now());
        }
    }

    // ---- its turns ----

    private void heard(Address from, byte[] bytes) {
        if (awake()) {
            fleet.onDatagram(from, bytes, now());
            wake(time.now() + SOON);
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
        time.at(at, () -> {
            if (planned == lives && wakeAt == at) {
                wakeAt = Double.POSITIVE_INFINITY;
                turn();
            }
        });
    }

    private void turn() {
        if (awake()) {
            double next = fleet.tick(now());
            wake(Math.max(time.now() + LEAST_PAUSE, clock.when(next)));
        }
    }

    /** Puts a value in and lets the machines say it. */
    public <V> V put(ReplicatedType<V> kind, String key, V value) {
        V joined = life.shared().merge(kind, key, value, now());
        wake(time.now());
        return joined;
    }

    /** There is news for the machines, which is seen to as soon as on sockets. */
    void stir() {
        wake(time.now() + NAP);
    }

    // ---- how it is ----

    public int number() {
        return number;
    }

    /** It lives and does not stand still. */
    public boolean awake() {
        return life != null && stands == 0;
    }

    /** The time by its own clock. */
    public double now() {
        return clock.at(time.now());
    }

    /** How often it began to live. */
    public int lives() {
        return lives;
    }

    /** Null while it is dead. */
    public ReplicatedStore shared() {
        return life == null ? null : life.shared();
    }

    /** Null while it is dead. */
    public MembershipView roster() {
        return life == null ? null : life.roster();
    }

    /** Of this life. */
    public MessageDispatcher.TrafficCounters counts() {
        return fleet.counters();
    }

    @Override
    public String toString() {
        return address.host();
    }
}
