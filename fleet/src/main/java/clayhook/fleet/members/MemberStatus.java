package clayhook.fleet.members;

/**
 * The status of one incarnation of a router. Of two claims with equal refutation counts, the one whose status is
 * declared later here wins; the order of the constants must not change.
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

    /** Returns the code that represents this status in messages. */
    int code() {
        return code;
    }

    /** @throws IllegalArgumentException if no status has this code */
    static MemberStatus ofCode(long code) {
        for (MemberStatus status : values()) {
            if (status.code == code) {
                return status;
            }
        }
        throw new IllegalArgumentException("unknown code of a member status: " + code);
    }

    /** Returns whether members with this status are probed, receive gossip and count towards the fleet size. */
    boolean isLive() {
        return this == ALIVE || this == SUSPECT;
    }
}
