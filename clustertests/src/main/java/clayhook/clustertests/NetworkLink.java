package clayhook.clustertests;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;

/**
 * One direction between two routers: says of each datagram when it leaves, how often and with which bytes. For one
 * thread.
 */
public final class NetworkLink {
    /** A datagram held back is overtaken by what follows within this many seconds. */
    static final double HELD = 0.05;
    /** Seconds of datagrams that wait on a slow link; what comes beyond is lost, as at any bottleneck. */
    static final double BACKLOG = 1;
    /** Bytes changed in a garbled datagram at most. */
    private static final int MOST_CHANGED = 4;

    /** When a datagram leaves, seconds on the client's clock, and its bytes. */
    record Departure(double at, byte[] bytes) {}

    /** What became of datagrams so far. */
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

    /** From now on; by any thread. */
    public void fault(LinkFault next) {
        fault = next;
    }

    /** Of all datagrams that came this way; {@link Delivery#CAME} counts each. By any thread. */
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

    /** A datagram came; none, one or two leave for it. */
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
