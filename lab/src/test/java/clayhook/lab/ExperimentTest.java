package clayhook.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.config.ConfigurationException;
import clayhook.lab.sharing.FaultPlan;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ExperimentTest {
    private static final String COMMAND = "[[command]]\\nname = \"a\"\\n";

    @TempDir
    Path folder;

    private Experiment read(String text) throws Exception {
        return Experiment.read(Files.writeString(folder.resolve("e.toml"), text.replace("\\n", "\n")));
    }

    @Test
    void everyExampleIsRead() throws Exception {
        try (var examples = Files.list(Path.of("..", "examples"))) {
            for (Path example : examples.toList()) {
                assertTrue(Experiment.read(example).variants().size() > 0);
            }
        }
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "x = 1|: command: is missing",
                COMMAND + "x = 1|:3: command.x: is no key",
                COMMAND + "level = \"none\"|:3: command.level: 'none' is none of any,",
                "[[command]]\\nwork = 0.1|:1: command.name: is missing",
                COMMAND + "effect = \"keyed\"|:3: command.effect: a read is replayable",
                COMMAND + "[fleet]\\ngroups = 0|:4: fleet.groups: 0 is",
                COMMAND + "[[failure]]\\nkind = \"crash\"\\ntarget = \"2p\"|:5: failure.target: there is no node '2p'",
                COMMAND
                        + "[[failure]]\\nkind = \"zone_loss\"\\ntarget = \"z\"|:5: failure.target: there is no zone 'z'",
                COMMAND + "[[failure]]\\ntarget = \"1p\"|:3: failure.kind: is missing",
                COMMAND + "[[fault]]\\nkind = \"cut\"\\nwhom = [1]|:5: fault.whom: is no pair",
                "[peers]\\nplay = \"none\"|:2: peers.play: 'none' is none of catch_up,",
                COMMAND + "[peers]\\nsettle = 3|:4: peers.settle: is no key"
            })
    void errorNamesFileLineAndKey(String text, String expected) {
        ConfigurationException error = assertThrows(ConfigurationException.class, () -> read(text));
        assertTrue(error.getMessage().startsWith(folder.resolve("e.toml") + expected), error.getMessage());
    }

    @Test
    void printedFaultPlanIsReadBackUnchanged() throws Exception {
        for (int seed = 1; seed <= 50; seed++) {
            String printed = FaultPlan.draw(seed, 12, 12, 90).toString();
            assertEquals(
                    printed, read(printed + "\n" + COMMAND).peers().faults().toString());
        }
    }

    @Test
    void variantsArePairedOnTheSameSeeds() throws Exception {
        Experiment experiment = read(
                "seeds = [1, 2, 3]\\n" + COMMAND + "work = 0.02\\n[load]\\nrate = 450.0\\nseconds = 5\\n"
                        + "[[variant]]\\nname = \"one\"\\n[[variant]]\\nname = \"same\"\\n[[variant]]\\nname = \"more\"\\ncores = 8\\n");
        var played = Comparison.play(experiment, (name, seed) -> {});
        assertEquals(0, Comparison.gain(played.get(0), played.get(1)).mean());
        var more = Comparison.gain(played.get(0), played.get(2));
        assertTrue(more.mean() > more.reach() && more.reach() > 0, more.toString());
        System.setProperty("java.awt.headless", "true");
        String page = Report.html("a <title>", experiment, played);
        assertTrue(page.contains("a &lt;title>")
                && page.contains("<td>more<td>")
                && page.split("data:image/png;base64,iVBOR").length == 4);
    }

    @Test
    void intervalFollowsStudentsDistribution() {
        Comparison.Interval interval = Comparison.Interval.of(1, 2, 3);
        assertEquals(2, interval.mean());
        assertEquals(4.303 / Math.sqrt(3), interval.reach(), 0.001);
        assertEquals(Double.POSITIVE_INFINITY, Comparison.Interval.of(1).reach());
    }
}
