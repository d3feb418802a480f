package clayhook.rollout;

/** The size of a majority. Not final, so that tests can break it. */
class Quorum {
    /** How many of {@code voters} are a majority: any two majorities have a voter in common. */
    int majorityOf(int voters) {
        return voters / 2 + 1;
    }
}
