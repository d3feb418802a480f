package clayhook.rollout;

/**
 * What is wrong with a plan, with rules, or with asking for them now.
 *
 * @param key of the operator's file, below the rollout's table; empty where no key is to blame
 */
public record RolloutProblem(String key, String message) {
    @Override
    public String toString() {
        return key.isEmpty() ? message : key + ": " + message;
    }
}
