package clayhook.rollout;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class StateSpaceExplorerTest {
    /**
     * Number of steps after the initial state. One more step takes ten times as long; set {@code -Dclayhook.depth} to
     * run it manually.
     */
    private static final int DEPTH = Integer.getInteger("clayhook.depth", 4);

    @Test
    void noInterleavingViolatesAnInvariant() {
        var explorer = new StateSpaceExplorer(new Quorum(), Lease::new);
        assertNull(explorer.findViolation(false, DEPTH));
        assertNull(explorer.findViolation(true, DEPTH));
        assertTrue(explorer.exploredStates > 2000, "explored " + explorer.exploredStates);
    }

    @Test
    void detectsQuorumBelowMajority() {
        Quorum half = new Quorum() {
            @Override
            int majorityOf(int voters) {
                return voters / 2;
            }
        };
        assertNotNull(new StateSpaceExplorer(half, Lease::new).findViolation(false, DEPTH));
    }

    @Test
    void detectsLeaseCountedFromResponse() {
        class LateLease extends Lease {
            @Override
            double grantStart(double requestedAt, double now) {
                return now;
            }
        }
        assertNotNull(new StateSpaceExplorer(new Quorum(), LateLease::new).findViolation(true, DEPTH));
    }
}
