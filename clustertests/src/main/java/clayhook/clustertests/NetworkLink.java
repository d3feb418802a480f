package clayhook.clustertests;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A simulated link in one direction between two routers: determines when each datagram leaves it, how many copies leave
 * and with which bytes. Not thread-safe except where stated.
 */
public final class NetworkLink {
    /**
     * Delay in seconds of a reordered datagram, which later ones can overtake; also the bound for that of a duplicate.
     */
    static final double REORDER_DELAY_SECONDS = 0.05;
    /** Longest wait in seconds in the queue of a slow link; further datagrams are dropped, as at any bottleneck. */
    static final double MAX_QUEUE_SECONDS = 1;
    /** Bound on the bytes changed in a corrupted datagram. */
    private static final int MAX_CHANGED_BYTES = 4;

    /** A datagram that leaves the link; {@code at} is in seconds on the caller's clock. */
    record Departure(double at, byte[] bytes) {}

    /** How datagrams were delivered. One datagram may count for several values. */
    public enum Delivery {
        RECEIVED,
        LOST,
        DUPLICATED,
        DELAYED,
        CORRUPTED
    }

    private final SplittableRandom random;
    private final AtomicLong[] counts = new AtomicLong[Delivery.values().length];
    private volatile LinkFault fault = LinkFault.NONE;
    private double freeAt;

    NetworkLink(SplittableRandom random) {
        this.random = random;
        for (int i = 0; i < counts.length; i++) {
            counts[i] = new AtomicLong();
        }
    }

    /** Sets the fault of the link from now on. Any thread may call it. */
    public void setFault(LinkFault next) {
        fault = next;
    }

    /**
     * Number of datagrams with that delivery so far; {@link Delivery#RECEIVED} counts all datagrams. Any thread may
     * call it.
     */
    public long count(Delivery delivery) {
        return counts[delivery.ordinal()].get();
    }

    private boolean occurs(double share, Delivery delivery) {
        boolean hit = share > 0 && random.nextDouble() < share;
        if (hit) {
            counts[delivery.ordinal()].incrementAndGet();
        }
        return hit;
    }

    /** Accepts a datagram and returns the datagrams that leave for it: none, one or two. */
    List<Departure> transmit(byte[] bytes, double now) {
        LinkFault current = fault;
        counts[Delivery.RECEIVED.ordinal()].incrementAndGet();
        double leavesAt = current.rate() > 0 ? Math.max(now, freeAt) + bytes.length / current.rate() : now;
        boolean queueFull = leavesAt > now + MAX_QUEUE_SECONDS;
        if (occurs(current.cut() || queueFull ? 1 : current.loss(), Delivery.LOST)) {
            return List.of();
        }
        freeAt = leavesAt;
        double at = leavesAt + current.delay() + (occurs(current.late(), Delivery.DELAYED) ? REORDER_DELAY_SECONDS : 0);
        var out = new ArrayList<Departure>();
        out.add(new Departure(at, occurs(current.garbled(), Delivery.CORRUPTED) ? corrupt(bytes) : bytes));
        if (occurs(current.twice(), Delivery.DUPLICATED)) {
            out.add(new Departure(at + random.nextDouble(REORDER_DELAY_SECONDS), bytes));
        }
        return out;
    }

    private byte[] corrupt(byte[] bytes) {
        byte[] out = bytes.clone();
        if (out.length > 1 && random.nextInt(4) == 0) {
            return java.util.Arrays.copyOf(out, 1 + random.nextInt(out.length - 1));
        }
        for (int i = 1 + random.nextInt(MAX_CHANGED_BYTES); i > 0 && out.length > 0; i--) {
            out[random.nextInt(out.length)] ^= (byte) (1 + random.nextInt(255));
        }
        return out;
    }
}
