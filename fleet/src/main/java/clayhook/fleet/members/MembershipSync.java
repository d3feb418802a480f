package clayhook.fleet.members;

import clayhook.fleet.Address;
import clayhook.fleet.Outbox;
import clayhook.fleet.Packet;
import java.util.ArrayList;
import java.util.List;

/**
 * Brings rosters level that gossip has not: of one who joins or returns, of the sides of a cut, of whoever missed news.
 * Probes carry a digest; where it goes on to differ, the parts that differ are asked for. What is lost on the way still
 * differs.
 */
final class MembershipSync {
    /** Pages in one answer, 400 members or so; the next question asks for what is still missing. */
    private static final int MAX_PAGES_PER_RESPONSE = 16;
    /**
     * Pages a second to all that ask, and how many of them may come at once: 120 KB a second when a whole fleet starts.
     */
    private static final double PAGES_PER_SECOND = 100;

    private static final double MAX_BURST_PAGES = 200;
    /** Seconds for which digests may differ while news is on its way. */
    private static final double SETTLE_SECONDS = 1;
    /** Seconds between two questions, while answers bring something and when they do not. */
    private static final double MIN_REQUEST_INTERVAL_SECONDS = 0.25;

    private static final double MAX_REQUEST_INTERVAL_SECONDS = 4;
    /** Bytes of a page beside its claims. */
    private static final int PAGE_OVERHEAD_BYTES = 16;

    /** Seconds after the start; a fleet that starts at once is brought level by asking, not by telling each of each. */
    private static final double STARTUP_SECONDS = 5;

    private final MembershipTable table;
    private final double startedAt;
    /** Once its roster was like another's, what an answer brings is news to this router's neighbours as well. */
    private boolean settled;

    private double nextRequestAt = Double.NEGATIVE_INFINITY;
    private double requestInterval = MIN_REQUEST_INTERVAL_SECONDS;
    private double availablePages = MAX_BURST_PAGES;
    private double refilledAt = Double.NEGATIVE_INFINITY;

    MembershipSync(MembershipTable register, double now) {
        this.table = register;
        startedAt = now;
    }

    boolean isSettled() {
        return settled;
    }

    /** A router told the digest of its roster; asks it for the difference when that stays. */
    void onDigest(Address with, long digest, double now, Outbox out) {
        if (digest == table.digest()) {
            nextRequestAt = Math.max(nextRequestAt, now + SETTLE_SECONDS);
            requestInterval = MIN_REQUEST_INTERVAL_SECONDS;
            settled |= now - startedAt > STARTUP_SECONDS;
        } else if (now >= nextRequestAt) {
            out.add(with, new MembershipMessage.SyncRequest(table.bucketDigests()));
            nextRequestAt = now + requestInterval;
            requestInterval = Math.min(MAX_REQUEST_INTERVAL_SECONDS, 2 * requestInterval);
        }
    }

    /** Something came that was not known, or somebody came back: there may be more of it. */
    void requestSoon(double now) {
        requestInterval = MIN_REQUEST_INTERVAL_SECONDS;
        nextRequestAt = Math.min(nextRequestAt, now + MIN_REQUEST_INTERVAL_SECONDS);
    }

    /** Answers with as many pages as it may. */
    void respond(Address to, MembershipMessage.SyncRequest ask, double now, Outbox out) {
        availablePages = Math.min(MAX_BURST_PAGES, availablePages + PAGES_PER_SECOND * Math.max(0, now - refilledAt));
        refilledAt = now;
        List<MembershipMessage.SyncPage.AgedClaim> differing = table.claimsInDifferingBuckets(ask.bucketDigests(), now);
        int from = 0;
        for (int left = MAX_PAGES_PER_RESPONSE;
                left > 0 && availablePages >= 1 && from < differing.size();
                left--, availablePages--) {
            var claims = new ArrayList<MembershipMessage.SyncPage.AgedClaim>();
            int room = Packet.MAX_MESSAGE_BYTES - PAGE_OVERHEAD_BYTES;
            for (;
                    from < differing.size()
                            && (room -= differing.get(from).claim().maxEncodedBytes() + 9) >= 0;
                    from++) {
                claims.add(differing.get(from));
            }
            out.add(to, new MembershipMessage.SyncPage(claims));
        }
    }
}
