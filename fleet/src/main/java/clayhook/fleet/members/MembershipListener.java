package clayhook.fleet.members;

import clayhook.fleet.Peer;

/**
 * Receives changes of the membership table, each after it was applied; the receiver may read the table. Called on the
 * membership thread. {@code now} is always in seconds since 1970 on this router's clock.
 */
public interface MembershipListener {
    /** An unknown member was added, or one that had been forgotten. */
    default void onJoined(Peer member, double now) {}

    /**
     * A member does not answer. Called again as further members confirm the suspicion.
     *
     * @param accusers the number of members that suspect it, counted up to four
     */
    default void onSuspected(Peer member, int accusers, double now) {}

    /** A member that was suspected or dead has contradicted that. */
    default void onAlive(Peer member, double now) {}

    /** A live member was declared dead. */
    default void onDead(Peer member, double now) {}

    /** A member has left the fleet by itself. */
    default void onLeft(Peer member, double now) {}

    /**
     * Two processes use the same name. Where the other process is this router itself, the rest of the fleet ignores
     * this router.
     *
     * @param winner the incarnation that stays in the membership table
     */
    default void onDuplicateName(Peer winner, Peer other, double now) {}

    /**
     * A member's clock differs from this router's by more than the bound.
     *
     * @param offset seconds by which the member's clock is ahead; negative when it is behind
     */
    default void onClockSkewed(Peer member, double offset, double now) {}

    /** A member's clock that had been out of bound is within it again. */
    default void onClockRecovered(Peer member, double offset, double now) {}
}
