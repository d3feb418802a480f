package clayhook;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;

class WatchPollPacingTest {
    private final WatchPollPacing pacing = new WatchPollPacing(new Random(1));

    @Test
    void pollsAtOnceAfterAQuietTime() {
        assertEquals(0, pacing.secondsUntilNextPoll(100));
        assertEquals(0, pacing.secondsUntilNextPoll(103));
    }

    @Test
    void spacesAnswersThatFollowEachOtherAndStaysWellUnderSixSeconds() {
        double now = 100;
        double previous = now;
        pacing.secondsUntilNextPoll(now);
        for (int i = 0; i < 100; i++) {
            double answeredAt = now + 0.01; // each poll is answered at once, as there is always a change
            now = answeredAt + pacing.secondsUntilNextPoll(answeredAt);
            if (i > 0) {
                assertTrue(answeredAt - previous < 3.2, (answeredAt - previous) + " s");
            }
            previous = answeredAt;
        }
        assertTrue(now > 100 + 100 * 1.2, "100 answers in " + (now - 100) + " s");
    }
}
