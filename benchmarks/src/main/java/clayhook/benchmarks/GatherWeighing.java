package clayhook.benchmarks;

import java.util.ArrayList;
import java.util.List;
import java.util.function.IntFunction;

/** The most live heap of a gather of ten parts and of the naive way, rows being made as they are read, beside its own reckoning. */
public final class GatherWeighing {
    /** Every so many looks one is taken: each is a whole collection. */
    private static final int EVERY = 200;
    private static long most;
    private static long peak;
    private static long rows;
    private static int looks;

    private GatherWeighing() {
    }

    private static long used() {
        System.gc();
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    public static void main(String[] args) {
        List<IntFunction<byte[]>> sources = new ArrayList<>();
        for (int part = 0; part < Gathering.PARTS; part++) {
            int number = part;
            sources.add(i -> Gathering.row(number, i));
        }
        for (int round = 0; round < 2; round++) { // the first loads classes
            for (int limit : new int[] {100, Gathering.PARTS * Gathering.ROWS}) {
                long before = used();
                most = 0;
                rows = 0;
                Gathering.gather(sources, limit, row -> rows++, gather -> {
                    peak = gather.peak();
                    if (looks++ % EVERY == 0) {
                        most = Math.max(most, used() - before);
                    }
                });
                long gathered = most;
                long base = used();
                Gathering.naive(sources, limit, row -> rows++, () -> most = used() - base);
                System.out.println("to " + limit + " rows: gather " + gathered / 1024 + " KiB of heap, by its own reckoning at most " + peak / 1024
                        + " KiB; naive " + most / 1024 + " KiB (" + rows + " rows out)");
            }
        }
    }
}
