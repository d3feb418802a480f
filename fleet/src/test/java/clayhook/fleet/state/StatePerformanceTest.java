package clayhook.fleet.state;

import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.fleet.state.StateTestNetwork.SimulatedMember;
import clayhook.fleet.state.TimestampedNumberType.TimestampedNumber;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Measures the performance figures that the documentation quotes, prints them and checks their bounds. */
class StatePerformanceTest {
    /** Measures the processor time of this thread, which does not include that of other processes and threads. */
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    private static final TimestampedNumberType REGISTERS =
            new TimestampedNumberType(1, 3600, 200_000, false, TimestampedNumberType.LATEST);

    private static StateTestNetwork startNetwork(int size, TimestampedNumberType type) {
        StateTestNetwork network =
                new StateTestNetwork(27, size, List.of(type), StateSettings.DEFAULT.withBootstrapTimeout(2)).startAll();
        network.jitter = 0.002;
        network.run(5);
        return network;
    }

    private static void write(StateTestNetwork network, String key) {
        SimulatedMember member = network.members.get(network.random.nextInt(network.members.size()));
        member.state.merge(
                REGISTERS, key, new TimestampedNumber(network.random.nextInt(1000), member.clock()), member.clock());
    }

    @ParameterizedTest
    @CsvSource({"0, 0.5", "0.2, 1.5"})
    void deltasReach99Of100RoutersInTime(double loss, double maxSeconds) {
        StateTestNetwork network = startNetwork(100, REGISTERS);
        network.lossProbability = loss;
        double[] times = new double[40];
        for (int i = 0; i < times.length; i++) {
            String key = "item " + i;
            write(network, key);
            times[i] = network.runUntil(
                    10,
                    () -> network.members.stream()
                                    .filter(member -> member.state.get(REGISTERS, key) != null)
                                    .count()
                            >= 99);
            network.run(0.1);
        }
        Arrays.sort(times);
        System.out.printf(
                "updates at 99 of 100 routers, loss %.1f: median %.2f s, worst of %d %.2f s%n",
                loss, times[times.length / 2], times.length, times[times.length - 1]);
        assertTrue(times[times.length - 1] < maxSeconds);
    }

    @ParameterizedTest
    @ValueSource(ints = {10, 100, 1000})
    void idleTrafficDoesNotGrowWithFleetSize(int size) {
        StateTestNetwork network = startNetwork(size, REGISTERS);
        double seconds = size > 100 ? 2 : 5;
        for (int updates : size > 100 ? new int[] {0, 20} : new int[] {0, 20, 500, 1000}) {
            double bytes = -sentBytes(network);
            long cpuNanos = THREADS.getCurrentThreadCpuTime();
            for (int i = 0; i < updates * seconds; i++) {
                write(network, "item " + i);
                network.run(1.0 / updates);
            }
            network.run(updates == 0 ? seconds : 0);
            bytes += sentBytes(network);
            double completeUpTo = network.members.stream()
                    .mapToDouble(member -> member.state.completeUpTo(member.clock()) + member.clockLag)
                    .min()
                    .orElseThrow();
            System.out.printf(
                    "%d members, %d updates a second in all: %.1f KB and %.2f ms of processor a router a second, "
                            + "complete up to %.1f s ago at worst%n",
                    size,
                    updates,
                    bytes / 1024 / size / seconds,
                    (THREADS.getCurrentThreadCpuTime() - cpuNanos) / 1e6 / size / seconds,
                    network.now - completeUpTo);
            assertTrue(updates > 0 || bytes / size / seconds < 20 << 10);
        }
    }

    private static double sentBytes(StateTestNetwork network) {
        return network.members.stream()
                .mapToLong(member -> member.dispatcher.counters().sentBytes)
                .sum();
    }

    @Test
    void catchesUpOn100000EntriesInTwoSeconds() {
        StateTestNetwork network = startNetwork(3, REGISTERS);
        network.jitter = 0;
        var random = new SplittableRandom(27);
        for (int i = 0; i < 100_000; i++) {
            String key = "session " + Long.toHexString(random.nextLong());
            for (SimulatedMember member : network.members) {
                member.state.merge(
                        REGISTERS, key, new TimestampedNumber(i, network.now - 60 + i * 1e-4), member.clock());
            }
        }
        network.run(12);
        SimulatedMember restarted = network.members.get(2);
        network.run(1);
        long heapBytes = usedHeapBytes();
        restarted.partition = 1;
        restarted.start();
        network.run(0.1);
        restarted.partition = 0;
        System.out.printf(
                "bytes an entry, with its key of 24 letters and its value: %.0f%n",
                (heapBytes - usedHeapBytes()) / 1e5);
        long cpuNanos = THREADS.getCurrentThreadCpuTime();
        double seconds = network.runUntil(10, () -> restarted.state.size(REGISTERS) == 100_000);
        System.out.printf(
                "100,000 entries caught up in %.2f s, %.0f ms of processor at both ends%n",
                seconds, (THREADS.getCurrentThreadCpuTime() - cpuNanos) / 1e6);
        assertTrue(seconds < 2);
    }

    private static long usedHeapBytes() {
        System.gc();
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
