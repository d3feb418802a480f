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
    private static final double LATENCY_SIGMA = 0.4;
    /** Maximum seconds for which a packet is held back so that others overtake it. */
    private static final double MAX_HOLD_BACK_SECONDS = 0.5;
    /** Seconds of traffic that the sender queues for a slow link; packets beyond that are lost. */
    private static final double MAX_QUEUE_SECONDS = 1;

    /** Receives the packets sent to an address. */
    interface Receiver {
        void onDatagram(Address from, byte[] bytes);
    }

    private record Registration(int router, Receiver receiver) {}

    private final Scheduler scheduler;
    private final double medianLatency;
    private final double loss;
    private final SplittableRandom random;
    private final Map<Address, Registration> registrations = new HashMap<>();
    /** Active faults; each is removed when it ends. */
    private final List<SharingFault> faults = new ArrayList<>();
    /** Time at which the slow link of each router has sent its queue, by router number. */
    private final double[] freeAt;

    private final TrafficMeter traffic;

    /**
     * @param medianLatency median latency of a packet in seconds
     * @param loss fraction of packets lost without any fault
     */
    SimulatedNetwork(Scheduler scheduler, int routers, double medianLatency, double loss, long seed) {
        this.scheduler = scheduler;
        this.medianLatency = medianLatency;
        this.loss = loss;
        random = new SplittableRandom(seed);
        freeAt = new double[routers];
        traffic = new TrafficMeter(routers, scheduler.now());
    }

    void register(Address address, int router, Receiver receiver) {
        registrations.put(address, new Registration(router, receiver));
    }

    void startFault(SharingFault fault) {
        faults.add(fault);
    }

    void endFault(SharingFault fault) {
        faults.remove(fault);
    }

    public TrafficMeter traffic() {
        return traffic;
    }

    /** Sends a packet; the network owns the bytes from then on. */
    void send(Address from, Address to, byte[] bytes) {
        int sender = registrations.get(from).router();
        traffic.sent(sender, bytes.length, scheduler.now());
        Registration destination = registrations.get(to);
        if (destination == null || random.nextDouble() < loss) {
            return;
        }
        double delaySeconds = 0;
        boolean duplicated = false;
        byte[] payload = bytes;
        for (SharingFault fault : faults) {
            if (fault.separates(sender, destination.router())) {
                return;
            }
            boolean applies = fault.affects(sender);
            boolean affected = applies && random.nextDouble() < fault.amount();
            switch (fault.kind()) {
                case LOSS -> {
                    if (affected) {
                        return;
                    }
                }
                case DELAY -> delaySeconds += applies ? fault.amount() * random.nextExponential() : 0;
                case DOUBLE -> duplicated |= affected;
                case REORDER -> delaySeconds += affected ? MAX_HOLD_BACK_SECONDS * random.nextDouble() : 0;
                case GARBLE -> payload = affected ? corrupt(payload) : payload;
                case SLOW -> delaySeconds += applies ? linkDelaySeconds(sender, bytes.length, fault.amount()) : 0;
                default -> {}
            }
        }
        for (int copies = duplicated ? 2 : 1; copies > 0 && delaySeconds < Double.POSITIVE_INFINITY; copies--) {
            byte[] arriving = payload;
            scheduler.scheduleAfter(
                    delaySeconds + medianLatency * Math.exp(LATENCY_SIGMA * random.nextGaussian()),
                    () -> destination.receiver().onDatagram(from, arriving));
        }
    }

    /** Seconds until the slow link has sent the packet; infinite if its queue is full. */
    private double linkDelaySeconds(int sender, int bytes, double rate) {
        double free = Math.max(scheduler.now(), freeAt[sender]) + bytes / rate;
        if (free - scheduler.now() > MAX_QUEUE_SECONDS) {
            return Double.POSITIVE_INFINITY;
        }
        freeAt[sender] = free;
        return free - scheduler.now();
    }

    private byte[] corrupt(byte[] bytes) {
        byte[] other = bytes.clone();
        other[random.nextInt(other.length)] ^= (byte) (1 + random.nextInt(255));
        return other;
    }
}
