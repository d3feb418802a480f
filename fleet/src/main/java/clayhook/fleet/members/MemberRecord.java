package clayhook.fleet.members;

import clayhook.fleet.Member;
import clayhook.fleet.Peer;
import com.dynatrace.hash4j.hashing.Hashing;

/**
 * What this router knows about one member name: the merged claim and what was measured of its incarnation. Not
 * thread-safe.
 */
final class MemberRecord {
    /** The merge of all claims received on this name. */
    MemberClaim claim;
    /** Hash of the name: the position on the ring of members, and the bucket of the table digest. */
    final long ringPosition;
    /** When this router first learned of the incarnation. */
    double knownSince;
    /** When the current status began, as far as is known. */
    double statusSince;
    /** When a message of this very incarnation arrived last. */
    double lastHeardAt;

    ClockSkew clockSkew;
    /** Whether the clock was last reported to be out of bound. */
    boolean clockSkewed;
    /** When the clock was last measured out of turn. */
    double clockPingedAt;
    /** An older incarnation that was heard after this one had become known, and was reported as a duplicate. */
    Peer reportedDuplicate;
    /** What this record contributes to the digest of the table. */
    long digestContribution;
    /** Index in the table's list of live or of dead members. */
    int listIndex;

    MemberRecord(MemberClaim claim, double statusSince, double now) {
        this.claim = claim;
        ringPosition = ringPosition(claim.name());
        startIncarnation(statusSince, now);
    }

    /** Returns the position on the ring for a name, the same at every router. */
    static long ringPosition(String name) {
        return Hashing.komihash5_0().hashCharsToLong(name);
    }

    /** Starts over for another incarnation: nothing measured of the previous one applies. */
    void startIncarnation(double since, double now) {
        statusSince = since;
        knownSince = now;
        lastHeardAt = Double.NEGATIVE_INFINITY;
        clockSkew = new ClockSkew();
        clockSkewed = false;
        clockPingedAt = Double.NEGATIVE_INFINITY;
        reportedDuplicate = null;
    }

    Peer peer() {
        return claim.peer();
    }

    /** Whether that incarnation is the one in this record. */
    boolean isIncarnation(Member member) {
        return claim.peer().member().equals(member);
    }

    boolean isLive() {
        return claim.isLive();
    }
}
