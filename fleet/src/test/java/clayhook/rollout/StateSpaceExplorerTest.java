package clayhook.rollout;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class StateSpaceExplorerTest {
    /** Things that happen after a start; one more takes ten times as long, and is done by hand. */
    private static final int DEPTH = Integer.getInteger("clayhook.depth", 4);

    @Test
    void noInterleavingViolatesAnInvariant() {
        var explorer = new StateSpaceExplorer(new Quorum(), Lease::new);
        assertNull(explorer.findViolation(false, DEPTH));
        assertNull(explorer.findViolation(true, DEPTH));
        assertTrue(explorer.exploredStates > 2000, "explored " + explorer.exploredStates);
    }

    @Test
    void findsAQuorumThatIsNoMajority() {
        var defect = new StateSpaceExplorer(
                new Quorum() {
                    @Override
                    int majorityOf(int voters) {
                        return voters / 2;
                    }
                },
                Lease::new);
        assertNotNull(defect.findViolation(false, DEPTH));
    }

    @Test
    void findsALeaseCountedFromTheResponse() {
        var defect = new StateSpaceExplorer(new Quorum(), () -> new Lease() {
            @Override
            double countedFrom(double asked, double now) {
                return now;
            }
        });
        assertNotNull(defect.findViolation(true, DEPTH));
    }
}
