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
 * Merges ten sorted parts of 10,000 rows into one answer of 100 or of all rows: by a gather, and by the naive
 * algorithm, which collects and sorts all rows.
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

    /** Returns a row of a part. Rows are sorted by amount, which several rows share, then by plate. */
    static byte[] row(int part, int number) {
        return RowSet.message(List.of(Integer.toString(number / 3 * 10), "KS" + (1_000_000 + number * 7 + part), REST));
    }

    @Setup
    public void generateRows() {
        sources = new ArrayList<>();
        for (int part = 0; part < PARTS; part++) {
            byte[][] rows = new byte[ROWS][];
            for (int i = 0; i < ROWS; i++) {
                rows[i] = row(part, i);
            }
            sources.add(i -> rows[i]);
        }
    }

    /** Feeds the parts in turn, each up to its credit, like connections that all have input available. */
    static GatherResult gather(
            List<IntFunction<byte[]>> sources, int limit, Consumer<byte[]> out, Consumer<Gather> onProgress) {
        var feeder = new PartFeeder(out);
        List<GatherPart> parts = new ArrayList<>();
        for (int i = 0; i < PARTS; i++) {
            parts.add(new GatherPart("p" + i, i));
        }
        GatherPlan plan = GatherPlan.of(MergeSpec.by(SortKey.ascending("amount"), SortKey.ascending("plate"))
                .limit(Limit.rows(limit)));
        var gather = new Gather(plan, parts, MemoryPool.of(64 << 20), feeder);
        gather.begin(0, 1);
        gather.request(Integer.MAX_VALUE);
        parts.forEach(part -> gather.described(part, COLUMNS));
        int[] rowsFed = new int[PARTS];
        while (feeder.result == null) {
            for (int i = 0; i < PARTS; i++) {
                while (feeder.credit[i] > 0 && rowsFed[i] < ROWS) {
                    feeder.credit[i]--;
                    gather.row(parts.get(i), sources.get(i).apply(rowsFed[i]++));
                }
                if (rowsFed[i] == ROWS) {
                    rowsFed[i]++;
                    gather.ended(parts.get(i), 1);
                }
                onProgress.accept(gather);
            }
        }
        return feeder.result;
    }

    /** A row with the sort keys that the naive algorithm reads from it. */
    private record ParsedRow(long amount, String plate, byte[] message) {
        private static final Comparator<ParsedRow> ORDER =
                Comparator.comparingLong(ParsedRow::amount).thenComparing(ParsedRow::plate);

        static ParsedRow of(byte[] message) {
            ByteBuffer in = ByteBuffer.wrap(message);
            int first = in.getInt(7);
            int second = in.getInt(11 + first);
            return new ParsedRow(
                    Long.parseLong(new String(message, 11, first, ISO_8859_1)),
                    new String(message, 15 + first, second, ISO_8859_1),
                    message);
        }
    }

    /** Collects all rows, sorts them and emits the first {@code limit} of them. */
    static void mergeNaively(List<IntFunction<byte[]>> sources, int limit, Consumer<byte[]> out, Runnable onProgress) {
        var all = new ArrayList<ParsedRow>();
        for (IntFunction<byte[]> source : sources) {
            for (int i = 0; i < ROWS; i++) {
                all.add(ParsedRow.of(source.apply(i)));
            }
        }
        onProgress.run();
        all.sort(ParsedRow.ORDER);
        for (ParsedRow parsedRow : all.subList(0, limit)) {
            out.accept(parsedRow.message);
        }
    }

    @Benchmark
    public GatherResult gathered(Blackhole out) {
        return gather(sources, limit, out::consume, any -> {});
    }

    @Benchmark
    public void naive(Blackhole out) {
        mergeNaively(sources, limit, out::consume, () -> {});
    }

    private static final class PartFeeder implements GatherActions {
        final int[] credit = new int[PARTS];
        private final Consumer<byte[]> out;
        GatherResult result;

        PartFeeder(Consumer<byte[]> out) {
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
            result = end;
        }
    }
}
