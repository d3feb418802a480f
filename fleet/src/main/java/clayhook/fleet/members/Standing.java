package clayhook.fleet.members;

/** How a life of a router stands; of two claims with the same counter the later one here counts. */
enum Standing {
    ALIVE,
    SUSPECTED,
    GONE,
    LEFT;

    /** It is asked, told and counted. */
    boolean lives() {
        return this == ALIVE || this == SUSPECTED;
    }
}
