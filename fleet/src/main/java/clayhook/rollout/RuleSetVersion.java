package clayhook.rollout;

import java.util.Map;

/**
 * The rules that a command began with. The edge stores it with the command and hands it back with the outcome; of one
 * stage at one router there is one object for the old version and one for the candidate, and both stand ready.
 */
public final class RuleSetVersion {
    private final String rulesHash;
    private final String rolloutId;
    private final int stage;
    private final boolean candidate;
    private final Map<String, Double> slowThresholds;

    RuleSetVersion(String rules, String round, int stage, boolean candidate, Map<String, Double> slowFrom) {
        this.rulesHash = rules;
        this.rolloutId = round;
        this.stage = stage;
        this.candidate = candidate;
        this.slowThresholds = Map.copyOf(slowFrom);
    }

    /** Hash of the rules. */
    public String rulesHash() {
        return rulesHash;
    }

    public boolean isCandidate() {
        return candidate;
    }

    /** Null where no rollout runs here: such commands are not compared. */
    String rolloutId() {
        return rolloutId;
    }

    int stage() {
        return stage;
    }

    /** Whether commands of that group are watched. */
    boolean isGuarded(String group) {
        return slowThresholds.containsKey(group);
    }

    /** Seconds from which a command counts as slow; NaN while that is not known. */
    double slowThreshold(String group) {
        return slowThresholds.get(group);
    }

    @Override
    public String toString() {
        return rulesHash.substring(0, Math.min(8, rulesHash.length())) + (candidate ? " (candidate)" : "");
    }
}
