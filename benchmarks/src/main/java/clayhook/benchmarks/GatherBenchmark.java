package clayhook.benchmarks;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import clayhook.scattergather.Column;
import clayhook.scattergather.Gather;
import clayhook.scattergather.GatherActions;
import clayhook.scattergather.GatherPart;
import clayhook.scattergather.GatherPlan;
import clayhook.scattergather.GatherResult;
import clayhook.scattergather.Limit;
import clayhook.scattergather.MemoryPool;
import clayhook.scattergather.MergeSpec;
import clayhook.scattergather.RowSet;
import clayhook.scattergather.SortKey;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.IntFunction;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.openjdk.jmh.infra.Blackhole;

/**
 * Ten sorted parts of 10,000 rows become one answer of 100 or of all, by a gather and the naive way: collect all, sort.
 */
@State(Scope.Thread)
@Fork(
        value = 1,
        jvmArgsAppend = {"-XX:+UseSerialGC"})
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MILLISECONDS)
public class GatherBenchmark {
    static final int PARTS = 10, ROWS = 10_000;
    private static final List<Column> COLUMNS =
            List.of(Column.of("amount", 20), Column.of("plate", 25), Column.of("rest", 25));
    private static final String REST = "x".repeat(80);

    @Param({"100", "100000"})
    public int limit;

    private List<IntFunction<byte[]>> sources;

    /** Row of a part, sorted by amount, which many rows share, then by plate. */
    static byte[] row(int part, int number) {
        return RowSet.message(List.of(Integer.toString(number / 3 * 10), "KS" + (1_000_000 + number * 7 + part), REST));
    }

    @Setup
    public void make() {
        sources = new ArrayList<>();
        for (int part = 0; part < PARTS; part++) {
            byte[][] rows = new byte[ROWS][];
            for (int i = 0; i < ROWS; i++) {
                rows[i] = row(part, i);
            }
            sources.add(i -> rows[i]);
        }
    }

    /** Feeds parts as far as they have credit, in turns, as connections that are all ready would. */
    static GatherResult gather(
            List<IntFunction<byte[]>> sources, int limit, Consumer<byte[]> out, Consumer<Gather> look) {
        var feed = new Feed(out);
        List<GatherPart> parts = new ArrayList<>();
        for (int i = 0; i < PARTS; i++) {
            parts.add(new GatherPart("p" + i, i));
        }
        GatherPlan plan = GatherPlan.of(MergeSpec.by(SortKey.ascending("amount"), SortKey.ascending("plate"))
                .limit(Limit.rows(limit)));
        var gather = new Gather(plan, parts, MemoryPool.of(64 << 20), feed);
        gather.begin(0, 1);
        gather.request(Integer.MAX_VALUE);
        parts.forEach(part -> gather.described(part, COLUMNS));
        int[] given = new int[PARTS];
        while (feed.verdict == null) {
            for (int i = 0; i < PARTS; i++) {
                while (feed.credit[i] > 0 && given[i] < ROWS) {
                    feed.credit[i]--;
                    gather.row(parts.get(i), sources.get(i).apply(given[i]++));
                }
                if (given[i] == ROWS) {
                    given[i]++;
                    gather.ended(parts.get(i), 1);
                }
                look.accept(gather);
            }
        }
        return feed.verdict;
    }

    /** A row with its keys as the naive way reads them. */
    private record Kept(long amount, String plate, byte[] message) {
        private static final Comparator<Kept> ORDER =
                Comparator.comparingLong(Kept::amount).thenComparing(Kept::plate);

        static Kept of(byte[] message) {
            ByteBuffer in = ByteBuffer.wrap(message);
            int first = in.getInt(7);
            int second = in.getInt(11 + first);
            return new Kept(
                    Long.parseLong(new String(message, 11, first, ISO_8859_1)),
                    new String(message, 15 + first, second, ISO_8859_1),
                    message);
        }
    }

    /** Collects all, sorts, gives out what is wanted. */
    static void naive(List<IntFunction<byte[]>> sources, int limit, Consumer<byte[]> out, Runnable look) {
        var all = new ArrayList<Kept>();
        for (IntFunction<byte[]> source : sources) {
            for (int i = 0; i < ROWS; i++) {
                all.add(Kept.of(source.apply(i)));
            }
        }
        look.run();
        all.sort(Kept.ORDER);
        for (Kept kept : all.subList(0, limit)) {
            out.accept(kept.message);
        }
    }

    @Benchmark
    public GatherResult gathered(Blackhole out) {
        return gather(sources, limit, out::consume, any -> {});
    }

    @Benchmark
    public void naive(Blackhole out) {
        naive(sources, limit, out::consume, () -> {});
    }

    private static final class Feed implements GatherActions {
        final int[] credit = new int[PARTS];
        private final Consumer<byte[]> out;
        GatherResult verdict;

        Feed(Consumer<byte[]> out) {
            this.out = out;
        }

        @Override
        public void ask(GatherPart part) {}

        @Override
        public void recall(GatherPart part) {
            credit[part.number()] = 0;
        }

        @Override
        public void credit(GatherPart part, int rows) {
            credit[part.number()] += rows;
        }

        @Override
        public void columns(List<Column> columns) {}

        @Override
        public void emit(byte[] row) {
            out.accept(row);
        }

        @Override
        public void finish(GatherResult end) {
            verdict = end;
        }
    }
}
