package clayhook.rollout;

/**
 * The reason why a plan, a rule set or a request for a rollout is not accepted.
 *
 * @param key the invalid key of the operator's file, relative to the table of the rollout; empty if no key is the cause
 * @param message description of the problem for operators
 */
public record RolloutProblem(String key, String message) {
    @Override
    public String toString() {
        return key.isEmpty() ? message : key + ": " + message;
    }
}
