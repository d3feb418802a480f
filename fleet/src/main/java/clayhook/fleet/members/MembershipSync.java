package clayhook.fleet.members;

import clayhook.fleet.Address;
import clayhook.fleet.Outbox;
import clayhook.fleet.Packet;
import java.util.ArrayList;
import java.util.List;

/**
 * Brings membership tables into agreement where gossip has not: after a member has joined or returned, after a
 * partition, and for members that missed broadcasts.
 *
 * <p>Pings and acks carry a digest of the sender's table. While it differs, this router requests the buckets that
 * differ. Lost messages need no repetition of their own, as the digests go on to differ. Not thread-safe.
 */
final class MembershipSync {
    /** About 400 members in one response; the next request asks for what is still missing. */
    private static final int MAX_PAGES_PER_RESPONSE = 16;
    /** Limits the responses to all members to 120 KB a second when a whole fleet starts. */
    private static final double PAGES_PER_SECOND = 100;

    private static final double MAX_BURST_PAGES = 200;
    /** For which digests may differ while broadcasts are on their way. */
    private static final double SETTLE_SECONDS = 1;

    private static final double MIN_REQUEST_INTERVAL_SECONDS = 0.25;
    private static final double MAX_REQUEST_INTERVAL_SECONDS = 4;
    private static final double REQUEST_BACKOFF_MULTIPLIER = 2;
    /** Bytes of a page beside its claims. */
    private static final int PAGE_OVERHEAD_BYTES = 16;
    /** Bytes of the age beside a claim. */
    private static final int MAX_AGE_BYTES = 9;
    /**
     * After the start: a fleet that starts at once agrees by these requests, instead of each member broadcasting each
     * other.
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
     * Whether this router's table has agreed with another since the startup: from then on, what a response brings is
     * new to this router's neighbours as well and is broadcast.
     */
    boolean isSettled() {
        return settled;
    }

    /** Compares another member's table digest with this router's, and requests the difference once it persists. */
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
     * Allows the next request soon: a response brought something unknown or a member came back, so there may be more.
     */
    void requestSoon(double now) {
        requestInterval = MIN_REQUEST_INTERVAL_SECONDS;
        nextRequestAt = Math.min(nextRequestAt, now + MIN_REQUEST_INTERVAL_SECONDS);
    }

    /** Answers a request with as many pages as the rate limit allows. */
    void respond(Address to, MembershipMessage.SyncRequest request, double now, Outbox out) {
        refill(now);
        List<MembershipMessage.SyncPage.AgedClaim> claims =
                table.claimsInDifferingBuckets(request.bucketDigests(), now);
        int sent = 0;
        for (int page = 0; page < MAX_PAGES_PER_RESPONSE && availablePages >= 1 && sent < claims.size(); page++) {
            List<MembershipMessage.SyncPage.AgedClaim> onPage = firstPage(claims.subList(sent, claims.size()));
            out.add(to, new MembershipMessage.SyncPage(onPage));
            sent += onPage.size();
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
        int bytesLeft = Packet.MAX_MESSAGE_BYTES - PAGE_OVERHEAD_BYTES;
        for (MembershipMessage.SyncPage.AgedClaim aged : claims) {
            bytesLeft -= aged.claim().maxEncodedBytes() + MAX_AGE_BYTES;
            if (bytesLeft < 0) {
                break;
            }
            page.add(aged);
        }
        return page;
    }
}
