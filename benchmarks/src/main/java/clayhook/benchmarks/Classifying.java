package clayhook.benchmarks;

import static java.nio.charset.StandardCharsets.UTF_8;

import clayhook.statements.Classed;
import clayhook.statements.Classifier;
import clayhook.statements.Client;
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
@Fork(value = 1, jvmArgsAppend = {"-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"})
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class Classifying {
    private static final String[] FORMS = {
        "SELECT val FROM state WHERE uid = 'k%d'",
        "INSERT INTO posts (id, account, amount) VALUES (%d, 'acct-kd6b5sum7ecwe', 12.50) ON CONFLICT (id) DO NOTHING",
        "select t.id, t.name, count(*) from tags t join accounts a on a.id = t.account where a.region in (1, 2, 3)"
            + " and t.seen > now() - interval '1 day' group by t.id, t.name order by 3 desc limit 20 -- %d",
        "with recent as (select * from passes where plate = 'A%d' order by at desc limit 5) select max(at) from recent"};
    private static final int MANY = 20_000;

    private final Classifier classifier = new Classifier(StatementRules.DEFAULT, 1);
    private final byte[][] known = new byte[1024][];
    private byte[][] once;
    private int next;
    private int nextOnce;
    private long hits;
    private long asked;

    @Setup
    public void make() {
        for (int i = 0; i < known.length; i++) {
            known[i] = FORMS[i % FORMS.length].replace("%d", Integer.toString(i)).getBytes(UTF_8);
            classifier.turn();
            classifier.took(classifier.classify(known[i], Client.UNKNOWN), 0.001);
        }
        once = new byte[MANY][];
        freshShapes();
    }

    /** New shapes for the next iteration, so that none was ever read. */
    @Setup(Level.Iteration)
    public void freshShapes() {
        long seed = System.nanoTime();
        for (int i = 0; i < MANY; i++) {
            once[i] = FORMS[i % FORMS.length].replace("%d", "1").replace("id", "c" + Long.toHexString(seed + i)).replace("val", "v" + i)
                    .replace("plate", "p" + Long.toHexString(seed - i)).getBytes(UTF_8);
        }
        nextOnce = 0;
        classifier.counts();
        asked = 0;
        hits = 0;
    }

    @TearDown(Level.Iteration)
    public void tell() {
        if (asked > 0) {
            System.out.printf("%nhot shapes found: %.4f; held %d shapes in %d KiB%n", (double) hits / asked, classifier.size(),
                    classifier.weight() / 1024);
        }
    }

    private Classed ask(byte[] text) {
        classifier.turn();
        return classifier.classify(text, Client.UNKNOWN);
    }

    @Benchmark
    @BenchmarkMode(Mode.AverageTime)
    public Classed known() {
        return ask(known[next++ & 1023]);
    }

    @Benchmark
    @BenchmarkMode(Mode.SampleTime)
    public Classed read() {
        return ask(once[nextOnce++ % MANY]);
    }

    /** One known statement and, before it, 19 that come once. */
    @Benchmark
    @BenchmarkMode(Mode.SampleTime)
    public Classed inFlood() {
        for (int i = 0; i < 19; i++) {
            ask(once[nextOnce++ % MANY]);
        }
        classifier.counts();
        Classed classed = ask(known[next++ & 1023]);
        hits += classifier.counts().hits();
        asked++;
        return classed;
    }
}
