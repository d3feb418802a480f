package clayhook.rollout;

/** Which of the two rule sets under comparison served a request. */
enum Variant {
    /** The rules that were in use when the rollout was proposed. */
    BASELINE(0),
    /** The proposed rules. */
    CANDIDATE(1);

    private final int position;

    Variant(int position) {
        this.position = position;
    }

    /** The position in replicated counters; part of the wire format. */
    int position() {
        return position;
    }
}
