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
    /** Delay in seconds of a reordered datagram; later datagrams can overtake it during this time. */
    static final double HELD = 0.05;
    /** Longest wait in seconds in the queue of a slow link; further datagrams are dropped, as at any bottleneck. */
    static final double BACKLOG = 1;
    /** Bound on the bytes changed in a corrupted datagram. */
    private static final int MOST_CHANGED = 4;

    /** A datagram that leaves the link; {@code at} is in seconds on the caller's clock. */
    record Departure(double at, byte[] bytes) {}

    /** How datagrams were delivered. One datagram may count for several values. */
    public enum Delivery {
        CAME,
        LOST,
        TWICE,
        LATE,
        GARBLED
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
    public void fault(LinkFault next) {
        fault = next;
    }

    /**
     * Number of datagrams with that delivery so far; {@link Delivery#CAME} counts all datagrams. Any thread may call
     * it.
     */
    public long count(Delivery fate) {
        return counts[fate.ordinal()].get();
    }

    private boolean befalls(double share, Delivery fate) {
        boolean hit = share > 0 && random.nextDouble() < share;
        if (hit) {
            counts[fate.ordinal()].incrementAndGet();
        }
        return hit;
    }

    /** Accepts a datagram and returns the datagrams that leave for it: none, one or two. */
    List<Departure> take(byte[] bytes, double now) {
        LinkFault ruling = fault;
        counts[Delivery.CAME.ordinal()].incrementAndGet();
        double leaves = ruling.rate() > 0 ? Math.max(now, freeAt) + bytes.length / ruling.rate() : now;
        boolean full = leaves > now + BACKLOG;
        if (befalls(ruling.cut() || full ? 1 : ruling.loss(), Delivery.LOST)) {
            return List.of();
        }
        freeAt = leaves;
        double at = leaves + ruling.delay() + (befalls(ruling.late(), Delivery.LATE) ? HELD : 0);
        var out = new ArrayList<Departure>();
        out.add(new Departure(at, befalls(ruling.garbled(), Delivery.GARBLED) ? garbled(bytes) : bytes));
        if (befalls(ruling.twice(), Delivery.TWICE)) {
            out.add(new Departure(at + random.nextDouble(HELD), bytes));
        }
        return out;
    }

    private byte[] garbled(byte[] bytes) {
        byte[] out = bytes.clone();
        if (out.length > 1 && random.nextInt(4) == 0) {
            return java.util.Arrays.copyOf(out, 1 + random.nextInt(out.length - 1));
        }
        for (int i = 1 + random.nextInt(MOST_CHANGED); i > 0 && out.length > 0; i--) {
            out[random.nextInt(out.length)] ^= (byte) (1 + random.nextInt(255));
        }
        return out;
    }
}
