package clayhook.rollout;

import java.util.Map;

/**
 * The rules that a command began with. The edge stores it with the command and hands it back with the outcome; of one
 * stage at one router there is one object for the old version and one for the candidate, and both stand ready.
 */
public final class Version {
    private final String rules;
    private final String round;
    private final int stage;
    private final boolean candidate;
    private final Map<String, Double> slowFrom;

    Version(String rules, String round, int stage, boolean candidate, Map<String, Double> slowFrom) {
        this.rules = rules;
        this.round = round;
        this.stage = stage;
        this.candidate = candidate;
        this.slowFrom = Map.copyOf(slowFrom);
    }

    /** Hash of the rules. */
    public String rules() {
        return rules;
    }

    public boolean candidate() {
        return candidate;
    }

    /** Null where no rollout runs here: such commands are not compared. */
    String round() {
        return round;
    }

    int stage() {
        return stage;
    }

    /** Whether commands of that group are watched. */
    boolean watches(String group) {
        return slowFrom.containsKey(group);
    }

    /** Seconds from which a command counts as slow; NaN while that is not known. */
    double slowFrom(String group) {
        return slowFrom.get(group);
    }

    @Override
    public String toString() {
        return rules.substring(0, Math.min(8, rules.length())) + (candidate ? " (candidate)" : "");
    }
}
