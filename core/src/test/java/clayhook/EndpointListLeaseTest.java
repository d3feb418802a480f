package clayhook;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;

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
        lease.onConfirmed(110);
        lease.onConfirmed(104);
        assertTrue(lease.isValid(115.8));
        assertFalse(lease.isValid(116));
    }

    /**
     * Guards against a fault with an overloaded service: it answered polls without changes while the watch waited in
     * its queue.
     */
    @Test
    void rejectedWatchRevokesConfirmationsWhileItWasPending() {
        lease.onConfirmed(110);
        lease.onConfirmed(113);
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
        lease.onConfirmed(110);
        lease.onReload(111);
        assertTrue(lease.isValid(114.8));
        assertFalse(lease.isValid(115));
        lease.onConfirmed(114);
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
            randomLease.onConfirmed(confirmedAt);
            randomLease.onWatchRejected(confirmedAt + 20 * random.nextDouble());
            assertFalse(randomLease.isValid(confirmedAt + NOTIFIED_AFTER + 10 * random.nextDouble()));
        }
    }
}
