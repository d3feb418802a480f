package clayhook.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.management.ManagementFactory;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledOnOs;
import org.junit.jupiter.api.condition.OS;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ProcessAgeTest {
    private static final String FIELDS_BEFORE_START_TIME = " S 1 2 3 0 -1 4194304 100 0 0 0 0 0 0 0 20 0 1 0 ";
    private static final double MILLIS_PER_SECOND = 1000;
    /** The sum of the resolutions of the two {@code /proc} files, 0.01 s each. */
    private static final double RESOLUTION_SECONDS = 0.02;

    @ParameterizedTest
    @CsvSource({"(java)", "(a b)", "(x) S 1 (y)"})
    void ageIsWhatTheSystemRanSinceTheStartOfTheProcess(String name) {
        String stat = "8744 " + name + FIELDS_BEFORE_START_TIME + "131453 3133440 417\n";
        assertEquals(0.11, ProcessAge.seconds(stat, "1314.64 4980.52\n").orElseThrow(), 1e-9);
    }

    @ParameterizedTest
    @CsvSource({
        "'8744 (java) S 1 2', 1314.64", // too few fields
        "'', 1314.64",
        "'8744 (java) S 1 2 3 0 -1 4194304 100 0 0 0 0 0 0 0 20 0 1 0 soon 0', 1314.64",
        "'8744 (java) S 1 2 3 0 -1 4194304 100 0 0 0 0 0 0 0 20 0 1 0 131453 0', since",
        "'8744 (java) S 1 2 3 0 -1 4194304 100 0 0 0 0 0 0 0 20 0 1 0 131453 0', 12.5" // from another system
    })
    void thatOfOtherTextsIsNotKnown(String stat, String uptime) {
        assertEquals(OptionalDouble.empty(), ProcessAge.seconds(stat, uptime));
    }

    @Test
    @EnabledOnOs(OS.LINUX)
    void thisProcessIsOlderThanItsVirtualMachine() {
        double virtualMachineSeconds = ManagementFactory.getRuntimeMXBean().getUptime() / MILLIS_PER_SECOND;
        double processSeconds = ProcessAge.seconds().orElseThrow();
        assertTrue(
                processSeconds > virtualMachineSeconds - RESOLUTION_SECONDS,
                processSeconds + " s, " + virtualMachineSeconds + " s");
    }
}
