package clayhook.fleet.members;

import clayhook.fleet.Address;
import clayhook.fleet.Outbox;
import clayhook.fleet.Packet;
import java.util.ArrayList;
import java.util.List;

/**
 * Anti-entropy of membership tables: synchronizes what gossip has not spread, after a member has joined or returned,
 * after a partition, and for members that missed broadcasts.
 *
 * <p>Pings and acks carry a digest of the sender's table. While it differs from the digest of this router's table, this
 * router requests the buckets that differ. Lost requests and pages need no retry, since the digests continue to differ.
 * Not thread-safe.
 */
final class MembershipSync {
    /**
     * Maximum number of pages in one response, which hold about 400 members. The next request covers the members that
     * are still missing.
     */
    private static final int MAX_PAGES_PER_RESPONSE = 16;
    /**
     * Maximum rate of pages to all members together; limits responses to 120 KB per second when a whole fleet starts.
     */
    private static final double PAGES_PER_SECOND = 100;

    private static final double MAX_BURST_PAGES = 200;
    /**
     * Time for which digests may differ after they were equal without causing a request, since broadcasts may still be
     * in transit.
     */
    private static final double SETTLE_SECONDS = 1;

    private static final double MIN_REQUEST_INTERVAL_SECONDS = 0.25;
    private static final double MAX_REQUEST_INTERVAL_SECONDS = 4;
    private static final double REQUEST_BACKOFF_MULTIPLIER = 2;
    /** Maximum size of a page without its claims, in bytes. */
    private static final int PAGE_OVERHEAD_BYTES = 16;
    /** Maximum size of the encoded age of a claim, in bytes. */
    private static final int MAX_AGE_BYTES = 9;
    /**
     * Startup period after the start of this router. A fleet whose members start at the same time converges by sync
     * requests during this period, instead of every member broadcasting claims on every other.
     */
    private static final double STARTUP_SECONDS = 5;

    private final MembershipTable table;
    private final double startedAt;
    private boolean settled;
    private double nextRequestAt = Double.NEGATIVE_INFINITY;
    private double requestInterval = MIN_REQUEST_INTERVAL_SECONDS;
    private double availablePages = MAX_BURST_PAGES;
    private double refilledAt = Double.NEGATIVE_INFINITY;

    MembershipSync(MembershipTable table, double now) {
        this.table = table;
        startedAt = now;
    }

    /**
     * Returns whether this router's table has agreed with that of another member after the startup period. From then
     * on, new claims in sync pages are probably new to other members as well and are broadcast.
     */
    boolean isSettled() {
        return settled;
    }

    /**
     * Compares the table digest of another member with that of this router, and requests the differing buckets if the
     * difference persists.
     */
    void onDigest(Address from, long digest, double now, Outbox out) {
        if (digest == table.digest()) {
            nextRequestAt = Math.max(nextRequestAt, now + SETTLE_SECONDS);
            requestInterval = MIN_REQUEST_INTERVAL_SECONDS;
            settled |= now - startedAt > STARTUP_SECONDS;
        } else if (now >= nextRequestAt) {
            out.add(from, new MembershipMessage.SyncRequest(table.bucketDigests()));
            nextRequestAt = now + requestInterval;
            requestInterval = Math.min(MAX_REQUEST_INTERVAL_SECONDS, REQUEST_BACKOFF_MULTIPLIER * requestInterval);
        }
    }

    /**
     * Allows the next request soon, because a sync page contained a new claim or a dead member is alive again and
     * further claims may be missing.
     */
    void requestSoon(double now) {
        requestInterval = MIN_REQUEST_INTERVAL_SECONDS;
        nextRequestAt = Math.min(nextRequestAt, now + MIN_REQUEST_INTERVAL_SECONDS);
    }

    /** Responds to a request with as many pages as the limits allow. */
    void respond(Address to, MembershipMessage.SyncRequest request, double now, Outbox out) {
        refill(now);
        List<MembershipMessage.SyncPage.AgedClaim> claims =
                table.claimsInDifferingBuckets(request.bucketDigests(), now);
        int sent = 0;
        for (int page = 0; page < MAX_PAGES_PER_RESPONSE && availablePages >= 1 && sent < claims.size(); page++) {
            List<MembershipMessage.SyncPage.AgedClaim> pageClaims = firstPage(claims.subList(sent, claims.size()));
            out.add(to, new MembershipMessage.SyncPage(pageClaims));
            sent += pageClaims.size();
            availablePages--;
        }
    }

    private void refill(double now) {
        double refilled = availablePages + PAGES_PER_SECOND * Math.max(0, now - refilledAt);
        availablePages = Math.min(MAX_BURST_PAGES, refilled);
        refilledAt = now;
    }

    private static List<MembershipMessage.SyncPage.AgedClaim> firstPage(
            List<MembershipMessage.SyncPage.AgedClaim> claims) {
        var page = new ArrayList<MembershipMessage.SyncPage.AgedClaim>();
        int remainingBytes = Packet.MAX_MESSAGE_BYTES - PAGE_OVERHEAD_BYTES;
        for (MembershipMessage.SyncPage.AgedClaim aged : claims) {
            remainingBytes -= aged.claim().maxEncodedBytes() + MAX_AGE_BYTES;
            if (remainingBytes < 0) {
                break;
            }
            page.add(aged);
        }
        return page;
    }
}
