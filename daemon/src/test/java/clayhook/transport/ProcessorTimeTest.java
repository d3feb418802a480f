package clayhook.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ProcessorTimeTest {
    @Test
    void addsUserAndSystemTimeForNameWithSpaceAndParenthesis() {
        String status = "42 (a b) c) S 1 42 42 0 -1 4194560 900 0 0 0 123 77 0 0 20 0 1 0 100 1 1";
        assertEquals(2.0, ProcessorTime.parse(status), 1e-9);
    }

    @Test
    void growsWhileTheProcessIsBusy() {
        double before = ProcessorTime.usedSeconds();
        long until = System.nanoTime() + 200_000_000L;
        double sum = 0;
        while (System.nanoTime() < until) {
            sum += Math.sqrt(sum + 1);
        }
        double used = ProcessorTime.usedSeconds() - before;
        assertTrue(used > 0.02 && sum > 0, used + " s");
    }
}
