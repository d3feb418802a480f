package clayhook;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests until when the lease on the endpoint list is valid. Times are seconds; the lease starts at 100 s. */
class EndpointListLeaseTest {
    private static final double NOTIFIED_AFTER = 6;
    private final EndpointListLease lease = new EndpointListLease(100);

    @Test
    void expiresBeforeChangeSinceStartCountsAsNotified() {
        assertTrue(lease.isValid(105.8));
        assertFalse(lease.isValid(106));
    }

    @Test
    void confirmationRenewsLeaseAndOlderConfirmationDoesNotShortenIt() {
        lease.onConfirmed(110, 110);
        lease.onConfirmed(104, 104);
        assertTrue(lease.isValid(115.8));
        assertFalse(lease.isValid(116));
    }

    /**
     * Guards against a fault with an overloaded service: it answered polls without changes while the watch waited in
     * its queue.
     */
    @Test
    void rejectedWatchRevokesConfirmationsWhileItWasPending() {
        lease.onConfirmed(110, 110);
        lease.onConfirmed(113, 113);
        lease.onWatchRejected(111);
        assertTrue(lease.isValid(116.8));
        assertFalse(lease.isValid(117));
    }

    @Test
    void termRestartsWhenServiceWasUnreachable() {
        lease.onUnreachable(130);
        assertTrue(lease.isValid(135.8));
        assertFalse(lease.isValid(136));
    }

    @Test
    void expiresFourSecondsAfterReloadUnlessNewServiceConfirms() {
        lease.onConfirmed(110, 110);
        lease.onReload(111);
        assertTrue(lease.isValid(114.8));
        assertFalse(lease.isValid(115));
        lease.onConfirmed(114, 114);
        assertTrue(lease.isValid(119.8));
    }

    @Test
    void unlimitedLeaseNeverExpires() {
        assertTrue(EndpointListLease.unlimited().isValid(1e12));
    }

    @Test
    void rejectionNeverExtendsLeaseBeyondNewestConfirmation() {
        var random = new Random(1);
        for (int i = 0; i < 1000; i++) {
            var randomLease = new EndpointListLease(100);
            double confirmedAt = 100 + 100 * random.nextDouble();
            randomLease.onConfirmed(confirmedAt, confirmedAt);
            randomLease.onWatchRejected(confirmedAt + 20 * random.nextDouble());
            assertFalse(randomLease.isValid(confirmedAt + NOTIFIED_AFTER + 10 * random.nextDouble()));
        }
    }

    private static final double DRAIN_GRACE = 0.6;
    /** Two thirds of the grace period; the rest is left for a stall before the write. */
    private static final double REACTION = 0.4;

    private static EndpointListLease pushed(boolean healthChecksAllowed) {
        return EndpointListLease.of(new EndpointListDelivery(true, DRAIN_GRACE), healthChecksAllowed, 100);
    }

    /** Guards against requests at a node that began to drain before the process started, where lists are pushed. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void pushedListWithWhichTheProcessStartsIsNotReliedOn(boolean healthChecksAllowed) {
        EndpointListLease pushed = pushed(healthChecksAllowed);
        assertFalse(pushed.isValid(100));
        pushed.onConfirmed(100.9, 101);
        assertTrue(pushed.isValid(106.7));
        assertFalse(pushed.isValid(106.9));
    }

    /** Guards against requests at a draining node by a list that a slow service confirms after the drain began. */
    @Test
    void lateConfirmationOfPushedListCountsForThePartOfTheGracePeriodThatIsLeft() {
        EndpointListLease pushed = pushed(true);
        pushed.onConfirmed(100, 101.5);
        assertFalse(pushed.isValid(101.5));
    }

    /** Guards against changes that count as notified while no watch is open that would bring them. */
    @Test
    void pushedListIsReliedOnForAPartOfTheGracePeriodOnceTheWatchIsLost() {
        EndpointListLease pushed = pushed(true);
        pushed.onConfirmed(100, 100);
        pushed.onWatchLost(101);
        assertTrue(pushed.isValid(101 + REACTION - 0.01));
        assertFalse(pushed.isValid(101 + REACTION + 0.01));
        pushed.onConfirmed(102, 102);
        assertTrue(pushed.isValid(107));
    }

    /** Guards against a pushed list of a former service that is relied on after a reload has moved the service. */
    @Test
    void pushedListIsReliedOnForFourSecondsAfterAReload() {
        EndpointListLease pushed = pushed(true);
        pushed.onConfirmed(100, 100);
        pushed.onReload(101);
        assertTrue(pushed.isValid(104.8));
        assertFalse(pushed.isValid(105));
    }

    /** While the service is down it learns nothing; what it learns at its return counts at once. */
    @Test
    void refusedConnectionConfirmsPushedListForAPartOfTheGracePeriod() {
        EndpointListLease pushed = pushed(true);
        pushed.onUnreachable(101);
        assertTrue(pushed.isValid(101 + REACTION - 0.01));
        assertFalse(pushed.isValid(101 + REACTION + 0.01));
    }

    /** Guards against a router without health checks that rejects all requests while discovery is slow or down. */
    @Test
    void pushedListIsAllThereIsWithoutHealthChecks() {
        EndpointListLease pushed = pushed(false);
        pushed.onConfirmed(100, 101.5);
        pushed.onWatchLost(102);
        assertTrue(pushed.isValid(105.8));
        pushed.onUnreachable(105.8);
        assertTrue(pushed.isValid(111.6));
    }

    @Test
    void polledListIsReliedOnWhetherOrNotAWatchIsOpen() {
        lease.onConfirmed(110, 112);
        lease.onWatchLost(112);
        assertTrue(lease.isValid(115.8));
        assertFalse(lease.isValid(116));
    }
}
