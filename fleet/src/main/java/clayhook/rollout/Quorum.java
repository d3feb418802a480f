package clayhook.rollout;

/** Computes the size of a majority. Not final, so that tests can replace it by a defective one. */
class Quorum {
    /**
     * The number of voters that form a majority of {@code voters}, so that any two majorities have a voter in common.
     */
    int majorityOf(int voters) {
        return voters / 2 + 1;
    }
}
