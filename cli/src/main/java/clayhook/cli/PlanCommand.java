package clayhook.cli;

import clayhook.config.ConfigurationException;
import clayhook.lab.Experiment;
import clayhook.lab.plan.Planner;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.PrintStream;
import java.io.StringWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

@Command(
        name = "plan",
        mixinStandardHelpOptions = true,
        versionProvider = Commands.Version.class,
        description =
                "Tells what breaks first as load grows, how many replicas a goal needs, and what losing each site does.")
final class PlanCommand implements Callable<Integer> {
    @Option(names = "--json", description = "one object")
    private boolean json;

    @Parameters(paramLabel = "FILE", description = "fleet, load and goal; examples/ has some")
    private Path file;

    @Override
    public Integer call() throws IOException {
        Experiment experiment;
        try {
            experiment = Experiment.read(file);
        } catch (ConfigurationException e) {
            return Main.reportInvalidConfiguration(e);
        }
        boolean terminal = System.console() != null;
        var planner = new Planner(experiment, step -> {
            if (terminal) {
                System.err.println(step);
            }
        });
        Planner.GrowthLimit breaks = planner.growthLimit();
        Planner.Need need = planner.need();
        List<Planner.ZoneLoss> losses = planner.zoneLosses();
        if (json) {
            System.out.println(toJson(breaks, need, losses));
        } else {
            printText(experiment, breaks, need, losses, System.out);
        }
        return Main.EXIT_SUCCESS;
    }

    private static String formatReplicas(Planner.Need need) {
        return need.enough() == 0
                ? "more than were tried"
                : need.least() == need.enough() ? "" + need.enough() : need.least() + " to " + need.enough();
    }

    private static void printText(
            Experiment experiment,
            Planner.GrowthLimit breaks,
            Planner.Need need,
            List<Planner.ZoneLoss> losses,
            PrintStream out) {
        out.printf(
                Locale.ROOT,
                "Goal: service %.3f, each command group in time %.3f, rules kept; %d seeds.%n%n",
                experiment.goal().service(),
                experiment.goal().inTime(),
                experiment.seeds().size());
        out.printf(
                Locale.ROOT,
                "1. The load may grow to %.2f times; at %.2f times the goal is missed: service %.4f, in time %.4f.%n",
                breaks.lastGood(),
                breaks.firstBad(),
                breaks.at().service(),
                breaks.at().inTime());
        out.printf(
                Locale.ROOT,
                "   What is asked there, of what there is: replicas' cores %.2f, primaries' cores %.2f, all cores %.2f,"
                        + " log %.2f.%n   Busiest primary %.2f, busiest replica %.2f.%n",
                breaks.estimate().replicas(),
                breaks.estimate().primary(),
                breaks.estimate().all(),
                breaks.estimate().log(),
                breaks.at().busiestPrimary(),
                breaks.at().busiestReplica());
        breaks.causes()
                .forEach(cause ->
                        out.printf(Locale.ROOT, "   With twice the %s: %+.4f%n", cause.resource(), cause.gain()));
        out.printf(
                "%n2. Replicas a group that the goal needs: %s (now %d).%n%n3. Losing a site:%n",
                formatReplicas(need), need.now());
        losses.forEach(loss -> out.printf(
                Locale.ROOT,
                "   %s: service %.4f before, %.4f while it is gone, %.4f after, %.4f in the worst"
                        + " second; replicas that bear it: %s%s%n",
                loss.zone(),
                loss.before(),
                loss.during(),
                loss.after(),
                loss.worst(),
                formatReplicas(loss.need()),
                loss.firstViolation() == null ? "" : "; a rule was broken: " + loss.firstViolation()));
    }

    private static void writeNeed(JsonGenerator out, String name, Planner.Need need) throws IOException {
        out.writeObjectFieldStart(name);
        out.writeNumberField("now", need.now());
        out.writeNumberField("least", need.least());
        out.writeNumberField("enough", need.enough());
        out.writeEndObject();
    }

    private static String toJson(Planner.GrowthLimit breaks, Planner.Need need, List<Planner.ZoneLoss> losses)
            throws IOException {
        var text = new StringWriter();
        try (JsonGenerator out = new JsonFactory().createGenerator(text)) {
            out.writeStartObject();
            out.writeObjectFieldStart("breaks");
            out.writeNumberField("last_good", breaks.lastGood());
            if (breaks.firstBad() < Double.POSITIVE_INFINITY) {
                out.writeNumberField("first_bad", breaks.firstBad());
            }
            out.writeNumberField("service", breaks.at().service());
            out.writeNumberField("in_time", breaks.at().inTime());
            out.writeObjectFieldStart("gains");
            for (Planner.Cause cause : breaks.causes()) {
                out.writeNumberField(cause.resource(), cause.gain());
            }
            out.writeEndObject();
            out.writeEndObject();
            writeNeed(out, "replicas", need);
            out.writeArrayFieldStart("losses");
            for (Planner.ZoneLoss loss : losses) {
                out.writeStartObject();
                out.writeStringField("site", loss.zone());
                out.writeNumberField("before", loss.before());
                out.writeNumberField("during", loss.during());
                out.writeNumberField("after", loss.after());
                out.writeNumberField("worst", loss.worst());
                writeNeed(out, "replicas", loss.need());
                out.writeEndObject();
            }
            out.writeEndArray();
            out.writeEndObject();
        }
        return text.toString();
    }
}
