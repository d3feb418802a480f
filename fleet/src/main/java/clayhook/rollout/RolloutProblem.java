package clayhook.rollout;

/**
 * Why a plan, a rule set or a request for a rollout is not accepted.
 *
 * @param key of the operator's file, below the table of the rollout; empty where no key is the cause
 * @param message what is wrong, for operators
 */
public record RolloutProblem(String key, String message) {
    @Override
    public String toString() {
        return key.isEmpty() ? message : key + ": " + message;
    }
}
