package clayhook.cli;

import clayhook.RequestClass;
import clayhook.config.ConfigurationException;
import clayhook.lab.Comparison;
import clayhook.lab.Comparison.Interval;
import clayhook.lab.Comparison.Played;
import clayhook.lab.Experiment;
import clayhook.lab.Report;
import clayhook.lab.SharingPlays;
import clayhook.lab.model.RunMetrics;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.PrintStream;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.function.BiConsumer;
import java.util.stream.IntStream;
import picocli.CommandLine.Command;
import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import picocli.CommandLine.TypeConversionException;

@Command(
        name = "lab",
        mixinStandardHelpOptions = true,
        versionProvider = Commands.Version.class,
        description = "A laboratory: fleets, load and failures in virtual time.",
        subcommands = LabCommand.Run.class)
final class LabCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        spec.commandLine().usage(System.err);
        return Main.EXIT_INVALID_USAGE;
    }

    @Command(
            name = "run",
            mixinStandardHelpOptions = true,
            versionProvider = Commands.Version.class,
            description = "Plays an experiment and compares its variants; ends with 1 if a rule was broken.")
    static final class Run implements Callable<Integer> {
        @Option(names = "--json", description = "one object a run")
        private boolean json;

        @Option(
                names = "--sockets",
                description = "play on loopback sockets with real routers, in real time, instead of the model's;"
                        + " ends with 1 if the machine was too slow for a verdict")
        private boolean sockets;

        @Option(names = "--report", paramLabel = "HTML", description = "also write a page with pictures to this file")
        private Path report;

        @Option(
                names = "--seed",
                paramLabel = "N[-M]",
                description = "play with this seed alone, or with those from N to M",
                converter = SeedRangeConverter.class)
        private SeedRangeConverter.Range seeds;

        @Parameters(paramLabel = "FILE", description = "the experiment; examples/ has some")
        private Path file;

        @Override
        public Integer call() throws IOException, InterruptedException {
            Experiment experiment;
            try {
                experiment = Experiment.read(file);
            } catch (ConfigurationException e) {
                return Main.reportInvalidConfiguration(e);
            }
            if (seeds != null) {
                experiment = experiment.seeded(seeds.all());
            }
            if (experiment.peers().play() != null) {
                return SharingPlays.play(experiment, System.out) ? Main.EXIT_SUCCESS : Main.EXIT_FAILURE;
            }
            boolean terminal = System.console() != null;
            BiConsumer<String, Integer> progress = (name, number) -> {
                if (terminal) {
                    System.err.println("playing " + name + " with seed " + number);
                }
            };
            List<Played> played =
                    sockets ? Comparison.playOnSockets(experiment, progress) : Comparison.play(experiment, progress);
            if (played.stream().anyMatch(variantRuns -> variantRuns.runs().contains(null))) {
                System.err.println("clayhook: no verdict: this machine played late");
                return Main.EXIT_FAILURE;
            }
            for (Played variantRuns : played) {
                for (int i = 0; json && i < variantRuns.runs().size(); i++) {
                    System.out.println(toJson(
                            variantRuns.variant().name(),
                            experiment.seeds().get(i),
                            variantRuns.runs().get(i)));
                }
            }
            if (!json) {
                printTable(played, System.out);
            }
            if (report != null) {
                System.setProperty("java.awt.headless", "true");
                Files.writeString(report, Report.html(file.getFileName().toString(), experiment, played));
            }
            return played.stream()
                            .flatMap(variantRuns -> variantRuns.runs().stream())
                            .allMatch(run -> run.violations().isEmpty())
                    ? Main.EXIT_SUCCESS
                    : Main.EXIT_FAILURE;
        }

        /** Parses the value of {@code --seed}: one seed or an inclusive range of seeds. */
        static final class SeedRangeConverter implements ITypeConverter<SeedRangeConverter.Range> {
            /**
             * The maximum number of seeds in a range: a few hours of runs, and far more than any sweep of seeds needs.
             */
            private static final int MAX_SEEDS = 10_000_000;

            record Range(int from, int to) {
                List<Integer> all() {
                    return IntStream.rangeClosed(from, to).boxed().toList();
                }
            }

            @Override
            public Range convert(String text) {
                String[] bounds = text.split("-", 2);
                try {
                    int from = Integer.parseInt(bounds[0]);
                    int to = Integer.parseInt(bounds[bounds.length - 1]);
                    if (from >= 0 && from <= to && to - from < MAX_SEEDS) {
                        return new Range(from, to);
                    }
                } catch (NumberFormatException e) {
                    // reported by the exception below
                }
                throw new TypeConversionException("'" + text + "' is no seed, nor a range as 1-300");
            }
        }

        private static void printTable(List<Played> played, PrintStream out) {
            out.printf(
                    "%-24s %-18s %8s %8s %9s %8s %8s%n",
                    "variant", "command group", "in time", "p50 ms", "p99 ms", "thrott.", "failed");
            for (Played variantRuns : played) {
                for (RequestClass group :
                        variantRuns.runs().get(0).totalsByClass().keySet()) {
                    out.printf(
                            Locale.ROOT,
                            "%-24s %-18s %8.4f %8.1f %9.1f %8.4f %8.4f%n",
                            variantRuns.variant().name(),
                            group.name(),
                            meanOfRuns(variantRuns, group, totals -> (double) totals.inTime / totals.requests),
                            meanOfRuns(variantRuns, group, totals -> totals.times.getValueAtPercentile(50) / 1e3),
                            meanOfRuns(variantRuns, group, totals -> totals.times.getValueAtPercentile(99) / 1e3),
                            meanOfRuns(variantRuns, group, totals -> (double) totals.rejected / totals.requests),
                            meanOfRuns(variantRuns, group, totals -> (double) totals.failed / totals.requests));
                }
            }
            out.println();
            Played baseline = played.get(0);
            for (int i = 0; i < played.size(); i++) {
                Played variantRuns = played.get(i);
                Interval gain = Comparison.gain(baseline, variantRuns);
                out.printf(
                        Locale.ROOT,
                        "%-24s service %.4f%s, busiest node %.2f, rules %s%n",
                        variantRuns.variant().name(),
                        variantRuns.service(),
                        i == 0
                                ? ""
                                : String.format(
                                        Locale.ROOT, ", %+.4f to the first (95%%: +-%.4f)", gain.mean(), gain.reach()),
                        variantRuns.runs().stream()
                                .flatMap(run -> run.busy().values().stream())
                                .mapToDouble(d -> d)
                                .max()
                                .orElse(0),
                        variantRuns.runs().stream()
                                .filter(run -> run.firstViolation() != null)
                                .map(RunMetrics::firstViolation)
                                .findFirst()
                                .orElse("kept"));
            }
        }

        private interface Statistic {
            double of(RunMetrics.Totals counts);
        }

        private static double meanOfRuns(Played variantRuns, RequestClass group, Statistic statistic) {
            return variantRuns.runs().stream()
                    .map(run -> run.totalsByClass().get(group))
                    .filter(totals -> totals != null && totals.requests > 0)
                    .mapToDouble(statistic::of)
                    .average()
                    .orElse(0);
        }

        private static String toJson(String variant, int seed, RunMetrics run) throws IOException {
            var text = new StringWriter();
            try (JsonGenerator out = new JsonFactory().createGenerator(text)) {
                out.writeStartObject();
                out.writeStringField("variant", variant);
                out.writeNumberField("seed", seed);
                out.writeNumberField("service", run.service());
                out.writeNumberField("events", run.events());
                out.writeObjectFieldStart("groups");
                for (var entry : run.totalsByClass().entrySet()) {
                    RunMetrics.Totals totals = entry.getValue();
                    out.writeObjectFieldStart(entry.getKey().name());
                    out.writeNumberField("asked", totals.requests);
                    out.writeNumberField("in_time", totals.inTime);
                    out.writeNumberField("throttled", totals.rejected);
                    out.writeNumberField("failed", totals.failed);
                    out.writeNumberField("p50_ms", totals.times.getValueAtPercentile(50) / 1e3);
                    out.writeNumberField("p99_ms", totals.times.getValueAtPercentile(99) / 1e3);
                    out.writeEndObject();
                }
                out.writeEndObject();
                out.writeObjectFieldStart("busy");
                for (var entry : run.busy().entrySet()) {
                    out.writeNumberField(entry.getKey(), entry.getValue());
                }
                out.writeEndObject();
                out.writeObjectFieldStart("broken");
                for (var entry : run.violations().entrySet()) {
                    out.writeNumberField(entry.getKey().name().toLowerCase(Locale.ROOT), entry.getValue());
                }
                out.writeEndObject();
                out.writeEndObject();
            }
            return text.toString();
        }
    }
}
