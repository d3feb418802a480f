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
        try (InputStream resource = TryCommand.class.getResourceAsStream("try.toml")) {
            Files.copy(resource, file, StandardCopyOption.REPLACE_EXISTING);
            experiment = Experiment.read(file);
        } finally {
            Files.delete(file);
        }
        System.out.println(
                "Two groups of three nodes on loopback, two routers, 300 commands a second. After 8 s the primary of group 1"
                        + " dies; it is back, cold, after 5 s more.");
        System.out.printf("%6s %9s %9s %9s %9s %9s%n", "second", "asked", "answered", "throttled", "failed", "before");
        var previousCounts = new long[4];
        RunMetrics result = new LoopbackFleet(experiment.variants().get(0).fleet(), seed)
                .run(experiment.failures(), experiment.seconds(), metrics -> printSecond(metrics, previousCounts));
        if (result == null) {
            System.err.println("clayhook: no verdict: this machine played late");
            return Main.EXIT_FAILURE;
        }
        System.out.printf(
                Locale.ROOT,
                "Service %.4f of 1; rules %s.%n",
                result.service(),
                result.firstViolation() == null ? "kept" : "broken: " + result.firstViolation());
        return result.violations().isEmpty() ? Main.EXIT_SUCCESS : Main.EXIT_FAILURE;
    }

    /** Prints the requests of the last second by outcome, and the service of the second before. */
    private static void printSecond(RunMetrics metrics, long[] previousCounts) {
        long[] counts = new long[4];
        for (RunMetrics.Totals totals : metrics.totalsByClass().values()) {
            counts[0] += totals.requests;
            counts[1] += totals.answered;
            counts[2] += totals.rejected;
            counts[3] += totals.failed;
        }
        var seconds = new TreeMap<>(metrics.serviceBySecond());
        int second = seconds.isEmpty() ? 0 : seconds.lastKey();
        // The service is that of the second before, because requests of the last second may still be in flight.
        System.out.printf(
                Locale.ROOT,
                "%6d %9d %9d %9d %9d %9.3f%n",
                second + 1,
                counts[0] - previousCounts[0],
                counts[1] - previousCounts[1],
                counts[2] - previousCounts[2],
                counts[3] - previousCounts[3],
                seconds.getOrDefault(second - 1, 1.0));
        System.arraycopy(counts, 0, previousCounts, 0, counts.length);
    }
}
