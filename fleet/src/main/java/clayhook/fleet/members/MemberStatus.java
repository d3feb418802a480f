package clayhook.fleet.members;

/**
 * The status of one incarnation of a router. Messages carry the ordinal. Of two claims with equal refutation counts,
 * the one whose status is declared later wins; the order of the constants must not change.
 */
enum MemberStatus {
    ALIVE,
    SUSPECT,
    DEAD,
    LEFT;

    /** Whether the member is probed, gossiped to and counted. */
    boolean isLive() {
        return this == ALIVE || this == SUSPECT;
    }
}
