package clayhook.rollout;

import java.util.Map;

/**
 * The rule set with which a request began, and its role in a rollout. The frontend stores the object with the request
 * and passes it back with the outcome. A router has one object for the baseline and one for the candidate of each
 * stage, which it replaces when a slow threshold becomes known. Immutable.
 */
public final class RuleSetVersion {
    private static final int DISPLAYED_HASH_DIGITS = 8;

    private final String rulesHash;
    private final String rolloutId;
    private final int stage;
    private final boolean candidate;
    private final Map<String, Double> slowThresholds;

    /**
     * Creates a version.
     *
     * @param rolloutId null outside of rollouts
     * @param stage number of the stage, from 1; 0 outside of rollouts
     * @param slowThresholds by guarded request class, the response time in seconds from which a request counts as slow;
     *     NaN while unknown
     */
    RuleSetVersion(
            String rulesHash, String rolloutId, int stage, boolean candidate, Map<String, Double> slowThresholds) {
        this.rulesHash = rulesHash;
        this.rolloutId = rolloutId;
        this.stage = stage;
        this.candidate = candidate;
        this.slowThresholds = Map.copyOf(slowThresholds);
    }

    /** Creates a version outside of rollouts, whose requests are not compared. */
    static RuleSetVersion outsideRollouts(String rulesHash) {
        return new RuleSetVersion(rulesHash, null, 0, false, Map.of());
    }

    /** Hash of the rules. */
    public String rulesHash() {
        return rulesHash;
    }

    /** Whether these are the rules of a rollout's candidate. */
    public boolean isCandidate() {
        return candidate;
    }

    /** The id of the rollout; null outside of rollouts, where requests are not compared. */
    String rolloutId() {
        return rolloutId;
    }

    /** Number of the stage, from 1; 0 outside of rollouts. */
    int stage() {
        return stage;
    }

    /** The variant that this version is in the comparison. */
    Variant variant() {
        return candidate ? Variant.CANDIDATE : Variant.BASELINE;
    }

    /** Whether a guard of the rollout watches a request class. */
    boolean isGuarded(String requestClass) {
        return slowThresholds.containsKey(requestClass);
    }

    /** The response time in seconds from which a request of a guarded class counts as slow; NaN while unknown. */
    double slowThreshold(String requestClass) {
        return slowThresholds.get(requestClass);
    }

    @Override
    public String toString() {
        return rulesHash.substring(0, Math.min(DISPLAYED_HASH_DIGITS, rulesHash.length()))
                + (candidate ? " (candidate)" : "");
    }
}
