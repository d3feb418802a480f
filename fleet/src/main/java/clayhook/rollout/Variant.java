package clayhook.rollout;

/** One of the two compared rule sets of a rollout. */
enum Variant {
    /** The rules that the fleet used when the rollout was proposed. */
    BASELINE(0),
    /** The proposed rules. */
    CANDIDATE(1);

    private final int position;

    Variant(int position) {
        this.position = position;
    }

    /** The position of this variant in replicated counters; part of the wire format. */
    int position() {
        return position;
    }
}
