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
 * What it costs to class a statement, from its bytes. {@code known}: its shape is held. {@code read}: it is new each
 * time. {@code inFlood}: the same known ones while 19 of 20 statements have shapes that never come again.
 */
@State(Scope.Thread)
@Fork(
        value = 1,
        jvmArgsAppend = {"-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"})
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class ClassifierBenchmark {
    private static final String[] FORMS = {
        "SELECT val FROM state%t WHERE uid = 'k%d'",
        "INSERT INTO posts%t (id, account, amount) VALUES (%d, 'acct-kd6b5sum7ecwe', 12.50) ON CONFLICT (id) DO NOTHING",
        "select t.id, t.name, count(*) from tags%t t join accounts a on a.id = t.account where a.region in (1, 2, 3)"
                + " and t.seen > now() - interval '1 day' group by t.id, t.name order by 3 desc limit 20 -- %d",
        "with recent as (select * from passes%t where plate = 'A%d' order by at desc limit 5) select max(at) from recent"
    };
    private static final int MANY = 20_000;
    /** Shapes that repeat. */
    private static final int HOT = 200;

    private final Classifier classifier = new Classifier(StatementRules.DEFAULT, 1);
    private final byte[][] known = new byte[1024][];
    private byte[][] once;
    private int next;
    private int nextOnce;
    private long hits;
    private long asked;

    private static byte[] statement(int form, String table, int literal) {
        return FORMS[form]
                .replace("%t", table)
                .replace("%d", Integer.toString(literal))
                .getBytes(UTF_8);
    }

    @Setup
    public void make() {
        for (int i = 0; i < known.length; i++) {
            known[i] = statement(i % HOT % FORMS.length, Integer.toString(i % HOT), i);
            classifier.recordServiceTime(ask(known[i]), 0.001);
        }
    }

    /** New shapes for the next iteration, so that none was ever read. */
    @Setup(Level.Iteration)
    public void freshShapes() {
        long seed = System.nanoTime();
        once = new byte[MANY][];
        for (int i = 0; i < MANY; i++) {
            once[i] = statement(i % FORMS.length, "_" + Long.toHexString(seed + i), 1);
        }
        nextOnce = 0;
        classifier.counts();
        asked = 0;
        hits = 0;
    }

    private Classification ask(byte[] text) {
        classifier.beginTick();
        return classifier.classify(text, ClientIdentity.UNKNOWN);
    }

    private Classification askOnce() {
        return ask(once[nextOnce++ % MANY]);
    }

    @Benchmark
    @BenchmarkMode(Mode.AverageTime)
    public Classification known() {
        return ask(known[next++ & 1023]);
    }

    @Benchmark
    @BenchmarkMode(Mode.SampleTime)
    public Classification read() {
        return askOnce();
    }

    /** A classifier of its own under a flood: 19 statements that come once before each one that repeats, not timed. */
    @State(Scope.Thread)
    public static class Flood {
        private final ClassifierBenchmark all = new ClassifierBenchmark();

        @Setup
        public void make() {
            all.make();
        }

        @Setup(Level.Iteration)
        public void freshShapes() {
            all.freshShapes();
        }

        @Setup(Level.Invocation)
        public void flood() {
            for (int i = 0; i < 19; i++) {
                all.askOnce();
            }
            all.classifier.counts();
        }

        @TearDown(Level.Invocation)
        public void count() {
            all.hits += all.classifier.counts().hits();
            all.asked++;
        }

        @TearDown(Level.Iteration)
        public void tell() {
            System.out.printf(
                    "%nhot shapes found: %.4f; held %d shapes in %d KiB%n",
                    (double) all.hits / all.asked, all.classifier.size(), all.classifier.weight() / 1024);
        }
    }

    @Benchmark
    @BenchmarkMode(Mode.SampleTime)
    public Classification inFlood(Flood flood) {
        return flood.all.known();
    }
}
