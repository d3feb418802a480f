package clayhook.fleet;

import java.util.List;

/**
 * A read-only view of the fleet members known to this router. Must be used only on the thread that runs the protocol
 * handlers.
 */
public interface MembershipView {
    /** Returns this router. */
    Peer self();

    /**
     * Returns the other routers that are alive or suspected, ordered by name and without duplicate names. The list is
     * immutable.
     */
    List<Peer> livePeers();

    /**
     * Returns the live peers, followed by the members that were declared dead so recently that they may still serve
     * requests.
     */
    List<Member> possiblyServing(double now);

    /** Returns whether this incarnation of a router is one of {@link #livePeers()}. */
    boolean isLive(Member member);

    /**
     * Returns when this router last received a message from this incarnation of a member, in seconds since 1970;
     * negative infinity if it never did.
     */
    double lastContactAt(Member member);

    /**
     * Returns the last measured offset of the member's clock from this router's clock in seconds, positive if the
     * member's clock is ahead; NaN before the first measurement.
     */
    double clockOffset(Member member);

    /**
     * Returns whether the member's clock is within the clock skew bound; true if it was not measured. Clock-dependent
     * values are not accepted from a member whose clock exceeds the bound.
     */
    boolean clockWithinBound(Member member);

    /** Returns whether this router stalled so recently that its view of the other members is unreliable. */
    boolean recentlyStalled(double now);
}
