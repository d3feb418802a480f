package clayhook.rollout;

import java.util.Map;

/**
 * The rules with which a request began. The frontend stores the object with the request and hands it back with the
 * outcome. For each stage at a router there is one object for the baseline and one for the candidate. Immutable.
 */
public final class RuleSetVersion {
    private static final int DISPLAYED_HASH_DIGITS = 8;

    private final String rulesHash;
    private final String rolloutId;
    private final int stage;
    private final boolean candidate;
    private final Map<String, Double> slowThresholds;

    /**
     * Describes a version.
     *
     * @param rolloutId null outside of rollouts
     * @param stage number of the stage, from 1; 0 outside of rollouts
     * @param slowThresholds by guarded request class, seconds from which a request counts as slow; NaN while unknown
     */
    RuleSetVersion(
            String rulesHash, String rolloutId, int stage, boolean candidate, Map<String, Double> slowThresholds) {
        this.rulesHash = rulesHash;
        this.rolloutId = rolloutId;
        this.stage = stage;
        this.candidate = candidate;
        this.slowThresholds = Map.copyOf(slowThresholds);
    }

    /** A version whose requests are not compared with others. */
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

    /** Null outside of rollouts: such requests are not compared. */
    String rolloutId() {
        return rolloutId;
    }

    /** Number of the stage, from 1; 0 outside of rollouts. */
    int stage() {
        return stage;
    }

    /** Which side of the comparison this is. */
    Variant variant() {
        return candidate ? Variant.CANDIDATE : Variant.BASELINE;
    }

    /** Whether a guard watches that request class. */
    boolean isGuarded(String requestClass) {
        return slowThresholds.containsKey(requestClass);
    }

    /** Seconds from which a request of a guarded class counts as slow; NaN while unknown. */
    double slowThreshold(String requestClass) {
        return slowThresholds.get(requestClass);
    }

    @Override
    public String toString() {
        return rulesHash.substring(0, Math.min(DISPLAYED_HASH_DIGITS, rulesHash.length()))
                + (candidate ? " (candidate)" : "");
    }
}
