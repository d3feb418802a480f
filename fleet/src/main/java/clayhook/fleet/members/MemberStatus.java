package clayhook.fleet.members;

/**
 * The status of one incarnation of a router. Of two claims with equal refutation counts, the one whose status is
 * declared later wins; the order of the constants must not change.
 */
enum MemberStatus {
    ALIVE(0),
    SUSPECT(1),
    DEAD(2),
    LEFT(3);

    private final int code;

    MemberStatus(int code) {
        this.code = code;
    }

    /** Returns the number that stands for this status in messages. */
    int code() {
        return code;
    }

    /** @throws IllegalArgumentException for a number that stands for no status */
    static MemberStatus ofCode(long code) {
        for (MemberStatus status : values()) {
            if (status.code == code) {
                return status;
            }
        }
        throw new IllegalArgumentException("a member status of " + code);
    }

    /** Whether the member is probed, gossiped to and counted. */
    boolean isLive() {
        return this == ALIVE || this == SUSPECT;
    }
}
