package clayhook.lab.plan;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.lab.Experiment;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class PlannerTest {
    private static final String FLEET =
            """
            seeds = [1, 2]
            [fleet]
            zones = ["a", "b", "c"]
            [goal]
            service = 0.97
            """;
    private static final String READS =
            """
            [[command]]
            name = "read"
            work = 0.01
            """;

    @TempDir
    Path folder;

    private Planner planner(String text) throws Exception {
        return new Planner(Experiment.read(Files.writeString(folder.resolve("p.toml"), text)), step -> {});
    }

    /**
     * Three nodes with two cores each and 10 ms of work per request: the capacity is 600 requests per second, 400
     * without the primary.
     */
    @Test
    void loadGrowsUpToTheCapacityOfTheCores() throws Exception {
        Planner.GrowthLimit limit =
                planner(FLEET + READS + "[load]\nrate = 100.0\nseconds = 15\n").growthLimit();
        assertTrue(
                limit.lastGood() > 3 && limit.firstBad() < 6.3 && limit.lastGood() < limit.firstBad(),
                limit.toString());
        assertTrue(limit.causes().get(0).resource().matches("cores.*|replicas"), limit.toString());
        assertTrue(limit.at().busiestReplica() > 0.7);
    }

    @Test
    void slowLogIsNamedAsBottleneckWhenCoresAreIdle() throws Exception {
        String text = FLEET + "[machine]\napply = 0.015\n[load]\nrate = 100.0\nseconds = 15\n"
                + """
                [[command]]
                name = "bounded"
                level = "bounded"
                work = 0.01
                share = 8
                [[command]]
                name = "post"
                level = "write"
                work = 0.001
                share = 2
                """;
        Planner.GrowthLimit limit = planner(text).growthLimit();
        assertEquals("speed of applying the log", limit.causes().get(0).resource(), limit.toString());
        assertTrue(limit.estimate().log() > 0.8 && limit.estimate().replicas() < 0.9, limit.toString());
    }

    @Test
    void replicaNeedMatchesTheWork() throws Exception {
        // Twelve cores' worth of work: at least six nodes, one of which is the primary.
        Planner.Need need =
                planner(FLEET + READS + "[load]\nrate = 1200.0\nseconds = 10\n").need();
        assertTrue(need.least() >= 5 && need.enough() >= 6 && need.enough() <= 8, need.toString());
        assertEquals(2, need.now());
    }

    @Test
    void zoneLossReportsServiceBeforeDuringAndAfter() throws Exception {
        var losses =
                planner(FLEET + READS + "[load]\nrate = 450.0\nseconds = 30\n").zoneLosses();
        assertEquals(3, losses.size());
        for (Planner.ZoneLoss loss : losses) {
            assertTrue(
                    loss.before() > 0.95 && loss.during() < loss.before() && loss.worst() <= loss.during(),
                    loss.toString());
            assertTrue(loss.need().enough() >= 3, loss.toString());
        }
    }

    @Test
    void estimateIsTheUtilizationUnderTheLoad() throws Exception {
        Experiment experiment = Experiment.read(
                Files.writeString(
                        folder.resolve("e.toml"),
                        READS
                                + """
                share = 3
                [[command]]
                name = "post"
                level = "write"
                work = 0.02
                [machine]
                apply = 0.01
                [load]
                rate = 100.0
                """));
        Estimate estimate = Estimate.of(experiment.variants().get(0).fleet());
        assertEquals(new Estimate(75 * 0.01 / 4, 25 * 0.02 / 2, (75 * 0.01 + 25 * 0.02) / 6, 25 * 0.01), estimate);
    }
}
