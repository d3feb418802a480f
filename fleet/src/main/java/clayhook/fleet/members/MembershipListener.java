package clayhook.fleet.members;

import clayhook.fleet.Peer;

/**
 * Receives changes of the membership table. A method is called after the change was applied, so that the listener may
 * read the membership. All methods are called on the membership thread. {@code now} is in seconds since 1970 on this
 * router's clock.
 */
public interface MembershipListener {
    /** Called when an incarnation was added that was unknown, or whose record had been removed. */
    default void onJoined(Peer member, double now) {}

    /**
     * Called when a member does not answer, and again whenever further members confirm the suspicion.
     *
     * @param accusers the number of members that suspect it, at most four
     */
    default void onSuspected(Peer member, int accusers, double now) {}

    /** Called when a member has refuted the claim that it is suspect or dead. */
    default void onAlive(Peer member, double now) {}

    /** Called when a live member was declared dead. */
    default void onDead(Peer member, double now) {}

    /** Called when a member has announced that it leaves the fleet. */
    default void onLeft(Peer member, double now) {}

    /**
     * Called when two processes use the same name. If {@code other} is this router, the rest of the fleet ignores this
     * router.
     *
     * @param winner the incarnation that remains in the membership table
     * @param other the incarnation that the winner replaces
     */
    default void onDuplicateName(Peer winner, Peer other, double now) {}

    /**
     * Called when a member's clock differs from this router's by more than the clock skew bound.
     *
     * @param offset the offset of the member's clock in seconds; negative if it is behind this router's clock
     */
    default void onClockSkewed(Peer member, double offset, double now) {}

    /** Called when a member's clock that had exceeded the bound is within it again. */
    default void onClockRecovered(Peer member, double offset, double now) {}
}
