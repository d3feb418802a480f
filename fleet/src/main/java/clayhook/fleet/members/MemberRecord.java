package clayhook.fleet.members;

import clayhook.fleet.Member;
import clayhook.fleet.Peer;
import com.dynatrace.hash4j.hashing.Hashing;

/** What this router knows of one name. */
final class MemberRecord {
    MemberClaim claim;
    /** Hash of the name: where it stands in the ring, and its part of the digest. */
    final long ringPosition;
    /** When the life began to be known. */
    double knownSince;
    /** When its standing began, as far as is known. */
    double statusSince;
    /** When that very life was heard last. */
    double lastHeardAt;

    ClockSkew clockSkew;
    boolean clockSkewed;
    /** When its clock was last asked for beside the probes. */
    double clockPingedAt;
    /** An older life that was heard although this one is known. */
    Peer reportedDuplicate;
    /** What it adds to the digest. */
    long digestContribution;
    /** Where it stands in the list of those alive or of those gone. */
    int listIndex;

    MemberRecord(MemberClaim claim, double since, double now) {
        this.claim = claim;
        ringPosition = ringPosition(claim.name());
        startIncarnation(since, now);
    }

    static long ringPosition(String name) {
        return Hashing.komihash5_0().hashCharsToLong(name);
    }

    /** Another life: what was measured of the last one is over. */
    void startIncarnation(double since, double now) {
        this.statusSince = since;
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

    boolean isIncarnation(Member member) {
        return claim.peer().member().equals(member);
    }

    boolean isLive() {
        return claim.isLive();
    }
}
