package clayhook.fleet;

import java.util.List;

/** The members as this router sees them. */
public interface MembershipView {
    /** This router itself. */
    Peer self();

    /**
     * The others that are alive or only suspected, each name once, in order of their names. The list does not change.
     */
    List<Peer> livePeers();

    /**
     * The others that may still serve: those, and the ones that fell silent less than the time after which they count
     * as dead.
     */
    List<Member> possiblyServing(double now);

    /** Whether that life of a router is one of {@link #livePeers()}. */
    boolean isLive(Member member);

    /** When something came from that very member last, seconds since 1970; negative infinity for never. */
    double lastHeardAt(Member member);

    /** Seconds by which its clock is ahead of this one's, as last measured; NaN while nothing was measured. */
    double clockOffset(Member member);

    /** Its clock is within the bound, as far as is known; what others say that needs a clock is left unheard. */
    boolean clockWithinBound(Member member);

    /** Whether this router stood still itself lately, so that it doubts itself before others. */
    boolean recentlyStalled(double now);
}
