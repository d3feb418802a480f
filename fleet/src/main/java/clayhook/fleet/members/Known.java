package clayhook.fleet.members;

import clayhook.fleet.Member;
import clayhook.fleet.Peer;

/** What this router knows of one name. */
final class Known {
    Claim claim;
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
        begin(since, now);
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
