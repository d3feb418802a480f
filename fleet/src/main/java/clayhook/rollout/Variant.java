package clayhook.rollout;

/** Which of the two rule sets under comparison served a request. The ordinals are positions in replicated counters. */
enum Variant {
    /** The rules that were in use when the rollout was proposed. */
    BASELINE,
    /** The proposed rules. */
    CANDIDATE
}
