package clayhook.benchmarks;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.IntFunction;

/**
 * A gather of ten parts beside the naive way, in turns: the most live heap, rows being made as they are read, and the
 * processor time, which unlike the time on the clock hardly depends on what else runs.
 */
public final class GatherMemory {
    /** Every so many looks one is taken: each is a whole collection. */
    private static final int EVERY = 3;

    private static final int ROUNDS = 101, WARMUP = 60;
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
    private static long most;
    private static long peak;
    private static long rows;
    private static int looks;

    private GatherMemory() {}

    private static long used() {
        System.gc();
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    public static void main(String[] args) {
        List<IntFunction<byte[]>> made = new ArrayList<>();
        List<IntFunction<byte[]>> held = new ArrayList<>();
        for (int part = 0; part < GatherBenchmark.PARTS; part++) {
            int number = part;
            byte[][] all = new byte[GatherBenchmark.ROWS][];
            Arrays.setAll(all, i -> GatherBenchmark.row(number, i));
            made.add(i -> GatherBenchmark.row(number, i));
            held.add(i -> all[i]);
        }
        for (int limit : new int[] {100, 1000, GatherBenchmark.PARTS * GatherBenchmark.ROWS}) {
            weigh(made, limit); // loads classes
            weigh(made, limit);
            time(held, limit);
        }
    }

    private static void weigh(List<IntFunction<byte[]>> sources, int limit) {
        long before = used();
        most = 0;
        looks = 0;
        GatherBenchmark.gather(sources, limit, row -> rows++, gather -> {
            peak = gather.peakReservedBytes();
            if (looks++ % EVERY == 0 && !gather.finished()) {
                most = Math.max(most, used() - before);
            }
        });
        long gathered = most;
        long base = used();
        GatherBenchmark.naive(sources, limit, row -> rows++, () -> most = used() - base);
        System.out.println("to " + limit + " rows: live heap of a gather " + gathered / 1024
                + " KiB (taken of its allowance " + peak / 1024 + "), naive " + most / 1024 + " KiB");
    }

    private static long cpu(Runnable work) {
        long before = THREADS.getCurrentThreadCpuTime();
        work.run();
        return THREADS.getCurrentThreadCpuTime() - before;
    }

    private static void time(List<IntFunction<byte[]>> sources, int limit) {
        long[] gathered = new long[ROUNDS];
        long[] naive = new long[ROUNDS];
        for (int round = -WARMUP; round < ROUNDS; round++) {
            long one = cpu(() -> GatherBenchmark.gather(sources, limit, row -> rows++, any -> {}));
            long other = cpu(() -> GatherBenchmark.naive(sources, limit, row -> rows++, () -> {}));
            if (round >= 0) {
                gathered[round] = one;
                naive[round] = other;
            }
        }
        Arrays.sort(gathered);
        Arrays.sort(naive);
        System.out.printf(
                "to %d rows: median processor time of a gather %.3f ms, naive %.3f ms%n",
                limit, gathered[ROUNDS / 2] / 1e6, naive[ROUNDS / 2] / 1e6);
    }
}
