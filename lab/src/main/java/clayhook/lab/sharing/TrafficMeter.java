package clayhook.lab.sharing;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

/** Counts what each router sent in each second; grows with the duration of the run. */
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

    /** Mean bytes sent per router and second in the given seconds from the start. */
    public double bytes(int from, int until) {
        return seconds(from, until)
                        .mapToLong(s -> IntStream.range(0, routers)
                                .mapToLong(r -> seconds.get(s).bytes[r])
                                .sum())
                        .sum()
                / (double) routers
                / Math.max(1, until - from);
    }

    /** Mean packets sent per router and second in the given seconds from the start. */
    public double packets(int from, int until) {
        return seconds(from, until)
                        .mapToLong(s -> IntStream.range(0, routers)
                                .mapToLong(r -> seconds.get(s).packets[r])
                                .sum())
                        .sum()
                / (double) routers
                / Math.max(1, until - from);
    }

    /** Maximum number of bytes that any router sent in any of the given seconds. */
    public long maxBytes(int from, int until) {
        return seconds(from, until)
                .mapToLong(s -> IntStream.range(0, routers)
                        .mapToLong(r -> seconds.get(s).bytes[r])
                        .max()
                        .orElse(0))
                .max()
                .orElse(0);
    }
}
