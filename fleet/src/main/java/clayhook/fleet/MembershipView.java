package clayhook.fleet;

import java.util.List;

/** The members of the fleet as this router sees them. Read-only; for the thread of the protocols. */
public interface MembershipView {
    /** This router itself. */
    Peer self();

    /** The other routers that are alive or suspected, ordered by name, each name once. The list is immutable. */
    List<Peer> livePeers();

    /** The live peers, and the dead ones that may still serve requests as they were declared dead only lately. */
    List<Member> possiblyServing(double now);

    /** Whether that incarnation of a router is one of {@link #livePeers()}. */
    boolean isLive(Member member);

    /** When this incarnation of a router was last heard, in seconds since 1970; negative infinity for never. */
    double lastHeardAt(Member member);

    /** Seconds by which the member's clock is ahead of this router's, as last measured; NaN before any measurement. */
    double clockOffset(Member member);

    /**
     * Whether the member's clock is within the bound, as far as it was measured. Values that depend on clocks are not
     * accepted from a member whose clock is not.
     */
    boolean clockWithinBound(Member member);

    /** Whether this router itself stalled lately, so that its view of the others is in doubt. */
    boolean recentlyStalled(double now);
}
