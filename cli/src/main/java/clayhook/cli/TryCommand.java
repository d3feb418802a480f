package clayhook.cli;

import clayhook.config.ConfigurationException;
import clayhook.lab.Experiment;
import clayhook.lab.model.LoopbackFleet;
import clayhook.lab.model.RunMetrics;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Locale;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

@Command(
        name = "try",
        mixinStandardHelpOptions = true,
        versionProvider = Commands.Version.class,
        description =
                "Shows the router at work: a small fleet, routers and load on loopback for 20 s, in which a primary dies.")
final class TryCommand implements Callable<Integer> {
    @Option(names = "--seed", description = "of chance", defaultValue = "1")
    private int seed;

    @Override
    public Integer call() throws IOException, ConfigurationException, InterruptedException {
        Path file = Files.createTempFile("clayhook-try", ".toml");
        Experiment experiment;
        try (InputStream own = TryCommand.class.getResourceAsStream("try.toml")) {
            Files.copy(own, file, StandardCopyOption.REPLACE_EXISTING);
            experiment = Experiment.read(file);
        } finally {
            Files.delete(file);
        }
        System.out.println(
                "Two groups of three nodes on loopback, two routers, 300 commands a second. After 8 s the primary of group 1"
                        + " dies; it is back, cold, after 5 s more.");
        System.out.printf("%6s %9s %9s %9s %9s %9s%n", "second", "asked", "answered", "throttled", "failed", "before");
        var before = new long[4];
        RunMetrics tally = new LoopbackFleet(experiment.variants().get(0).fleet(), seed)
                .run(experiment.failures(), experiment.seconds(), so -> show(so, before));
        if (tally == null) {
            System.err.println("clayhook: no verdict: this machine played late");
            return Main.EXIT_FAILURE;
        }
        System.out.printf(
                Locale.ROOT,
                "Service %.4f of 1; rules %s.%n",
                tally.service(),
                tally.firstBroken() == null ? "kept" : "broken: " + tally.firstBroken());
        return tally.broken().isEmpty() ? Main.EXIT_SUCCESS : Main.EXIT_FAILURE;
    }

    /** What came in the last second. */
    private static void show(RunMetrics so, long[] before) {
        long[] now = new long[4];
        for (RunMetrics.Totals of : so.totalsByClass().values()) {
            now[0] += of.requests;
            now[1] += of.answered;
            now[2] += of.rejected;
            now[3] += of.failed;
        }
        var seconds = new TreeMap<>(so.serviceBySecond());
        int second = seconds.isEmpty() ? 0 : seconds.lastKey();
        // Of the second before: what came in the last one may still get its answer.
        System.out.printf(
                Locale.ROOT,
                "%6d %9d %9d %9d %9d %9.3f%n",
                second + 1,
                now[0] - before[0],
                now[1] - before[1],
                now[2] - before[2],
                now[3] - before[3],
                seconds.getOrDefault(second - 1, 1.0));
        System.arraycopy(now, 0, before, 0, now.length);
    }
}
