package clayhook.rollout;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ExplorerTest {
    /** Things that happen after a start; one more takes ten times as long, and is done by hand. */
    private static final int DEPTH = Integer.getInteger("clayhook.depth", 4);

    @Test
    void noOrderBreaksARule() {
        var explorer = new Explorer(new Quorum(), Lease::new);
        assertNull(explorer.broken(false, DEPTH));
        assertNull(explorer.broken(true, DEPTH));
        assertTrue(explorer.states > 2000, "explored " + explorer.states);
    }

    @Test
    void aMajorityThatIsNoneIsFound() {
        var defect = new Explorer(
                new Quorum() {
                    @Override
                    int of(int voters) {
                        return voters / 2;
                    }
                },
                Lease::new);
        assertNotNull(defect.broken(false, DEPTH));
    }

    @Test
    void aLeaseCountedFromTheAnswerIsFound() {
        var defect = new Explorer(new Quorum(), () -> new Lease() {
            @Override
            double from(double asked, double now) {
                return now;
            }
        });
        assertNotNull(defect.broken(true, DEPTH));
    }
}
