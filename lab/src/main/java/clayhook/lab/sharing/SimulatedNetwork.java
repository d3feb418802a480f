package clayhook.lab.sharing;

import clayhook.fleet.Address;
import clayhook.lab.model.Scheduler;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * A network that carries datagrams between routers: they can be lost, delayed, duplicated, reordered or corrupted, and
 * are dropped where a link is cut. The effects of simultaneous faults add up.
 */
public final class SimulatedNetwork {
    /** Spread of the latency: the sigma of its logarithm, as within one data center. */
    private static final double SPREAD = 0.4;
    /** Maximum seconds for which a packet is held back so that others overtake it. */
    private static final double HELD_BACK = 0.5;
    /** Seconds of traffic that the sender queues for a slow link; packets beyond that are lost. */
    private static final double QUEUED = 1;

    /** Receives the packets sent to an address. */
    interface Receiver {
        void heard(Address from, byte[] bytes);
    }

    private record Place(int router, Receiver receiver) {}

    private final Scheduler scheduler;
    private final double way;
    private final double loss;
    private final SplittableRandom random;
    private final Map<Address, Place> places = new HashMap<>();
    /** Active faults; each is removed when it ends. */
    private final List<SharingFault> faults = new ArrayList<>();
    /** Time at which the slow link of each router has sent its queue, by router number. */
    private final double[] freeAt;

    private final TrafficMeter traffic;

    /**
     * @param way median latency of a packet in seconds
     * @param loss fraction of packets lost without any fault
     */
    SimulatedNetwork(Scheduler scheduler, int routers, double way, double loss, long seed) {
        this.scheduler = scheduler;
        this.way = way;
        this.loss = loss;
        random = new SplittableRandom(seed);
        freeAt = new double[routers];
        traffic = new TrafficMeter(routers, scheduler.now());
    }

    void place(Address address, int router, Receiver receiver) {
        places.put(address, new Place(router, receiver));
    }

    void begin(SharingFault fault) {
        faults.add(fault);
    }

    void end(SharingFault fault) {
        faults.remove(fault);
    }

    public TrafficMeter traffic() {
        return traffic;
    }

    /** Sends a packet; the network owns the bytes from then on. */
    void send(Address from, Address to, byte[] bytes) {
        int sender = places.get(from).router();
        traffic.sent(sender, bytes.length, scheduler.now());
        Place place = places.get(to);
        if (place == null || random.nextDouble() < loss) {
            return;
        }
        double late = 0;
        boolean twice = false;
        byte[] carried = bytes;
        for (SharingFault fault : faults) {
            if (fault.parts(sender, place.router())) {
                return;
            }
            boolean hit = fault.strikes(sender);
            boolean struck = hit && random.nextDouble() < fault.amount();
            switch (fault.kind()) {
                case LOSS -> {
                    if (struck) {
                        return;
                    }
                }
                case DELAY -> late += hit ? fault.amount() * random.nextExponential() : 0;
                case DOUBLE -> twice |= struck;
                case REORDER -> late += struck ? HELD_BACK * random.nextDouble() : 0;
                case GARBLE -> carried = struck ? spoilt(carried) : carried;
                case SLOW -> late += hit ? queued(sender, bytes.length, fault.amount()) : 0;
                default -> {}
            }
        }
        for (int copies = twice ? 2 : 1; copies > 0 && late < Double.POSITIVE_INFINITY; copies--) {
            byte[] arriving = carried;
            scheduler.scheduleAfter(late + way * Math.exp(SPREAD * random.nextGaussian()), () -> place.receiver()
                    .heard(from, arriving));
        }
    }

    /** Seconds until the slow link has sent the packet; infinite if its queue is full. */
    private double queued(int sender, int bytes, double rate) {
        double free = Math.max(scheduler.now(), freeAt[sender]) + bytes / rate;
        if (free - scheduler.now() > QUEUED) {
            return Double.POSITIVE_INFINITY;
        }
        freeAt[sender] = free;
        return free - scheduler.now();
    }

    private byte[] spoilt(byte[] bytes) {
        byte[] other = bytes.clone();
        other[random.nextInt(other.length)] ^= (byte) (1 + random.nextInt(255));
        return other;
    }
}
