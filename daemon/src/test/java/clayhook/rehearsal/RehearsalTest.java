package clayhook.rehearsal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.CommandGroup;
import clayhook.Settings;
import clayhook.transport.Transport;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RehearsalTest {
    /** Where sockets carry nothing, waiting for each answer took minutes before serving. */
    @ParameterizedTest
    @CsvSource({"false, true", "true, true", "false, false"})
    void endsInTimeAndTellsWhetherAnythingWasCarried(boolean process, boolean carried) throws Exception {
        Transport transport = process ? Transport.withinProcess() : Transport.rehearsal();
        Transport outside = carried ? transport : Transport.rehearsal();
        var any = new CommandGroup("any", CommandGroup.Effect.REPLAYABLE, CommandGroup.ReadLevel.ANY, 1, 2, 1, 0, null, 0, 0);
        var settings = new Settings(1, "a", List.of(any), true, true, true, true, true, true, true, true, 1, 3, 1, 0, 1, 0, 1, 15);
        double from = System.nanoTime() / 1e9;
        assertEquals(carried, Rehearsal.run(settings, transport, outside, false));
        assertTrue(System.nanoTime() / 1e9 - from < 10, "it waited for answers that cannot come");
        if (!carried) {
            outside.close();
        }
    }
}
