package clayhook.benchmarks;

import static java.nio.charset.StandardCharsets.UTF_8;

import clayhook.statements.Classification;
import clayhook.statements.Classifier;
import clayhook.statements.ClientIdentity;
import clayhook.statements.StatementRules;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.TearDown;
import org.openjdk.jmh.annotations.Warmup;

/**
 * Measures the time to classify a statement from its bytes. {@code known}: its shape is cached. {@code read}: its shape
 * is new each time. {@code inFlood}: the statements of {@code known}, while 19 of 20 statements have shapes that never
 * repeat.
 */
@State(Scope.Thread)
@Fork(
        value = 1,
        jvmArgsAppend = {"-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"})
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class ClassifierBenchmark {
    private static final String[] TEMPLATES = {
        "SELECT val FROM state%t WHERE uid = 'k%d'",
        "INSERT INTO posts%t (id, account, amount) VALUES (%d, 'acct-kd6b5sum7ecwe', 12.50) ON CONFLICT (id) DO NOTHING",
        "select t.id, t.name, count(*) from tags%t t join accounts a on a.id = t.account where a.region in (1, 2, 3)"
                + " and t.seen > now() - interval '1 day' group by t.id, t.name order by 3 desc limit 20 -- %d",
        "with recent as (select * from passes%t where plate = 'A%d' order by at desc limit 5) select max(at) from recent"
    };
    private static final int FRESH_STATEMENTS = 20_000;
    /** The number of shapes that repeat. */
    private static final int HOT_SHAPES = 200;

    private final Classifier classifier = new Classifier(StatementRules.DEFAULT, 1);
    private final byte[][] known = new byte[1024][];
    private byte[][] freshStatements;
    private int nextKnown;
    private int nextFresh;
    private long hitCount;
    private long classifiedCount;

    private static byte[] statement(int template, String table, int literal) {
        return TEMPLATES[template]
                .replace("%t", table)
                .replace("%d", Integer.toString(literal))
                .getBytes(UTF_8);
    }

    @Setup
    public void prepareKnownStatements() {
        for (int i = 0; i < known.length; i++) {
            known[i] = statement(i % HOT_SHAPES % TEMPLATES.length, Integer.toString(i % HOT_SHAPES), i);
            classifier.recordServiceTime(classify(known[i]), 0.001);
        }
    }

    /** Generates new shapes for the next iteration, so that none has been classified before. */
    @Setup(Level.Iteration)
    public void prepareFreshStatements() {
        long seed = System.nanoTime();
        freshStatements = new byte[FRESH_STATEMENTS][];
        for (int i = 0; i < FRESH_STATEMENTS; i++) {
            freshStatements[i] = statement(i % TEMPLATES.length, "_" + Long.toHexString(seed + i), 1);
        }
        nextFresh = 0;
        classifier.counts();
        classifiedCount = 0;
        hitCount = 0;
    }

    private Classification classify(byte[] text) {
        classifier.beginTick();
        return classifier.classify(text, ClientIdentity.UNKNOWN);
    }

    private Classification classifyFresh() {
        return classify(freshStatements[nextFresh++ % FRESH_STATEMENTS]);
    }

    @Benchmark
    @BenchmarkMode(Mode.AverageTime)
    public Classification known() {
        return classify(known[nextKnown++ & 1023]);
    }

    @Benchmark
    @BenchmarkMode(Mode.SampleTime)
    public Classification read() {
        return classifyFresh();
    }

    /**
     * A separate classifier under a flood of new shapes: before each statement with a repeated shape, it classifies 19
     * statements with new shapes, which are not timed.
     */
    @State(Scope.Thread)
    public static class Flood {
        private final ClassifierBenchmark benchmark = new ClassifierBenchmark();

        @Setup
        public void prepareKnownStatements() {
            benchmark.prepareKnownStatements();
        }

        @Setup(Level.Iteration)
        public void prepareFreshStatements() {
            benchmark.prepareFreshStatements();
        }

        @Setup(Level.Invocation)
        public void flood() {
            for (int i = 0; i < 19; i++) {
                benchmark.classifyFresh();
            }
            benchmark.classifier.counts();
        }

        @TearDown(Level.Invocation)
        public void recordHit() {
            benchmark.hitCount += benchmark.classifier.counts().hits();
            benchmark.classifiedCount++;
        }

        @TearDown(Level.Iteration)
        public void printHitRate() {
            System.out.printf(
                    "%nhot shapes found: %.4f; held %d shapes in %d KiB%n",
                    (double) benchmark.hitCount / benchmark.classifiedCount,
                    benchmark.classifier.size(),
                    benchmark.classifier.weight() / 1024);
        }
    }

    @Benchmark
    @BenchmarkMode(Mode.SampleTime)
    public Classification inFlood(Flood flood) {
        return flood.benchmark.known();
    }
}
