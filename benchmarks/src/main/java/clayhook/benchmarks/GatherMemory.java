package clayhook.benchmarks;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.IntFunction;

/**
 * Compares a gather of ten parts with the naive algorithm in alternation: the maximum live heap, with rows generated
 * when they are read, and the processor time, which unlike elapsed time hardly depends on other load of the machine.
 */
public final class GatherMemory {
    /** The number of progress callbacks per heap sample; each sample costs a full garbage collection. */
    private static final int CALLBACKS_PER_SAMPLE = 3;

    private static final int ROUNDS = 101, WARMUP_ROUNDS = 60;
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
    private static long maxLiveHeap;
    private static long peakAllowance;
    private static long rows;
    private static int callbacks;

    private GatherMemory() {}

    private static long usedHeapAfterGc() {
        System.gc();
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    public static void main(String[] args) {
        List<IntFunction<byte[]>> generatedRows = new ArrayList<>();
        List<IntFunction<byte[]>> storedRows = new ArrayList<>();
        for (int part = 0; part < GatherBenchmark.PARTS; part++) {
            int number = part;
            byte[][] all = new byte[GatherBenchmark.ROWS][];
            Arrays.setAll(all, i -> GatherBenchmark.row(number, i));
            generatedRows.add(i -> GatherBenchmark.row(number, i));
            storedRows.add(i -> all[i]);
        }
        for (int limit : new int[] {100, 1000, GatherBenchmark.PARTS * GatherBenchmark.ROWS}) {
            compareHeap(generatedRows, limit); // loads classes
            compareHeap(generatedRows, limit);
            compareCpuTime(storedRows, limit);
        }
    }

    private static void compareHeap(List<IntFunction<byte[]>> sources, int limit) {
        long before = usedHeapAfterGc();
        maxLiveHeap = 0;
        callbacks = 0;
        GatherBenchmark.gather(sources, limit, row -> rows++, gather -> {
            peakAllowance = gather.peakReservedBytes();
            if (callbacks++ % CALLBACKS_PER_SAMPLE == 0 && !gather.finished()) {
                maxLiveHeap = Math.max(maxLiveHeap, usedHeapAfterGc() - before);
            }
        });
        long gathered = maxLiveHeap;
        long heapBeforeNaive = usedHeapAfterGc();
        GatherBenchmark.mergeNaively(
                sources, limit, row -> rows++, () -> maxLiveHeap = usedHeapAfterGc() - heapBeforeNaive);
        System.out.println("to " + limit + " rows: live heap of a gather " + gathered / 1024
                + " KiB (taken of its allowance " + peakAllowance / 1024 + "), naive " + maxLiveHeap / 1024 + " KiB");
    }

    private static long cpuNanos(Runnable work) {
        long before = THREADS.getCurrentThreadCpuTime();
        work.run();
        return THREADS.getCurrentThreadCpuTime() - before;
    }

    private static void compareCpuTime(List<IntFunction<byte[]>> sources, int limit) {
        long[] gathered = new long[ROUNDS];
        long[] naive = new long[ROUNDS];
        for (int round = -WARMUP_ROUNDS; round < ROUNDS; round++) {
            long gatherNanos = cpuNanos(() -> GatherBenchmark.gather(sources, limit, row -> rows++, any -> {}));
            long naiveNanos = cpuNanos(() -> GatherBenchmark.mergeNaively(sources, limit, row -> rows++, () -> {}));
            if (round >= 0) {
                gathered[round] = gatherNanos;
                naive[round] = naiveNanos;
            }
        }
        Arrays.sort(gathered);
        Arrays.sort(naive);
        System.out.printf(
                "to %d rows: median processor time of a gather %.3f ms, naive %.3f ms%n",
                limit, gathered[ROUNDS / 2] / 1e6, naive[ROUNDS / 2] / 1e6);
    }
}
