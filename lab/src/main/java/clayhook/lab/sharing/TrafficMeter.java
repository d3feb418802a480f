package clayhook.lab.sharing;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

/** What each router sent in each second; grows with the run. */
public final class TrafficMeter {
    private static final class Second {
        final long[] bytes;
        final long[] packets;

        Second(int routers) {
            bytes = new long[routers];
            packets = new long[routers];
        }
    }

    private final int routers;
    private final double start;
    private final List<Second> seconds = new ArrayList<>();

    TrafficMeter(int routers, double start) {
        this.routers = routers;
        this.start = start;
    }

    void sent(int router, int bytes, double now) {
        int second = (int) (now - start);
        while (seconds.size() <= second) {
            seconds.add(new Second(routers));
        }
        seconds.get(second).bytes[router] += bytes;
        seconds.get(second).packets[router]++;
    }

    private IntStream seconds(int from, int until) {
        return IntStream.range(Math.min(from, seconds.size()), Math.min(until, seconds.size()));
    }

    /** Bytes that a router sent a second, on average over routers and those seconds from the start. */
    public double bytes(int from, int until) {
        return seconds(from, until)
                        .mapToLong(s -> IntStream.range(0, routers)
                                .mapToLong(r -> seconds.get(s).bytes[r])
                                .sum())
                        .sum()
                / (double) routers
                / Math.max(1, until - from);
    }

    /** Packets, reckoned likewise. */
    public double packets(int from, int until) {
        return seconds(from, until)
                        .mapToLong(s -> IntStream.range(0, routers)
                                .mapToLong(r -> seconds.get(s).packets[r])
                                .sum())
                        .sum()
                / (double) routers
                / Math.max(1, until - from);
    }

    /** The most bytes that any router sent in any of those seconds. */
    public long most(int from, int until) {
        return seconds(from, until)
                .mapToLong(s -> IntStream.range(0, routers)
                        .mapToLong(r -> seconds.get(s).bytes[r])
                        .max()
                        .orElse(0))
                .max()
                .orElse(0);
    }
}
