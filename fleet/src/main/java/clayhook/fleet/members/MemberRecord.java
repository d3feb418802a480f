package clayhook.fleet.members;

import clayhook.fleet.Member;
import clayhook.fleet.Peer;
import com.dynatrace.hash4j.hashing.Hashing;

/**
 * This router's record of one member name: the merged claim, and measurements of the incarnation in that claim. Not
 * thread-safe.
 */
final class MemberRecord {
    /** The merge of all claims on this name. */
    MemberClaim claim;
    /** Hash of the name, which determines the position on the ring of members and the bucket of the table digest. */
    final long ringPosition;
    /** When this router first received a claim on the incarnation, in seconds since 1970. */
    double knownSince;
    /** When the current status began as far as known, in seconds since 1970. */
    double statusSince;
    /**
     * When a message from exactly this incarnation was last received, in seconds since 1970; negative infinity if none
     * was.
     */
    double lastContactAt;

    ClockSkew clockSkew;
    /** Whether the last report on the clock was that it exceeds the bound. */
    boolean clockSkewed;
    /**
     * When an additional ping was last sent to measure the clock, in seconds since 1970; negative infinity if none was.
     */
    double clockPingedAt;
    /**
     * The older incarnation that last sent a message after this one had become known and was reported as a duplicate;
     * null if none was.
     */
    Peer reportedDuplicate;
    /** The contribution of this record to the digest of the table. */
    long digestContribution;
    /** Index in the table's list of live members or in that of dead members. */
    int listIndex;

    MemberRecord(MemberClaim claim, double statusSince, double now) {
        this.claim = claim;
        ringPosition = ringPosition(claim.name());
        startIncarnation(statusSince, now);
    }

    /** Returns the position of a name on the ring, which is the same at every router. */
    static long ringPosition(String name) {
        return Hashing.komihash5_0().hashCharsToLong(name);
    }

    /** Resets this record for another incarnation, since the measurements of the previous one do not apply to it. */
    void startIncarnation(double since, double now) {
        statusSince = since;
        knownSince = now;
        lastContactAt = Double.NEGATIVE_INFINITY;
        clockSkew = new ClockSkew();
        clockSkewed = false;
        clockPingedAt = Double.NEGATIVE_INFINITY;
        reportedDuplicate = null;
    }

    Peer peer() {
        return claim.peer();
    }

    /** Returns whether this record's claim is on the given incarnation. */
    boolean isIncarnation(Member member) {
        return claim.peer().member().equals(member);
    }

    boolean isLive() {
        return claim.isLive();
    }
}
