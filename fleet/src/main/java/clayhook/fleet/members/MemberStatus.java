package clayhook.fleet.members;

/** How a life of a router stands; of two claims with the same counter the later one here counts. */
enum MemberStatus {
    ALIVE,
    SUSPECT,
    DEAD,
    LEFT;

    /** It is asked, told and counted. */
    boolean isLive() {
        return this == ALIVE || this == SUSPECT;
    }
}
