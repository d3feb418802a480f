package clayhook.fleet.members;

import clayhook.fleet.Member;
import clayhook.fleet.Peer;
import com.dynatrace.hash4j.hashing.Hashing;

/** What this router knows of one name. */
final class Known {
    Claim claim;
    /** Hash of the name: where it stands in the ring, and its part of the digest. */
    final long spot;
    /** When the life began to be known. */
    double metAt;
    /** When its standing began, as far as is known. */
    double since;
    /** When that very life was heard last. */
    double heardAt;

    Skew skew;
    boolean clockOff;
    /** When its clock was last asked for beside the probes. */
    double clockAskedAt;
    /** An older life that was heard although this one is known. */
    Peer twin;
    /** What it adds to the digest. */
    long hash;
    /** Where it stands in the list of those alive or of those gone. */
    int place;

    Known(Claim claim, double since, double now) {
        this.claim = claim;
        spot = spot(claim.name());
        begin(since, now);
    }

    static long spot(String name) {
        return Hashing.komihash5_0().hashCharsToLong(name);
    }

    /** Another life: what was measured of the last one is over. */
    void begin(double since, double now) {
        this.since = since;
        metAt = now;
        heardAt = Double.NEGATIVE_INFINITY;
        skew = new Skew();
        clockOff = false;
        clockAskedAt = Double.NEGATIVE_INFINITY;
        twin = null;
    }

    Peer peer() {
        return claim.peer();
    }

    boolean is(Member member) {
        return claim.peer().member().equals(member);
    }

    boolean lives() {
        return claim.lives();
    }
}
