package clayhook.rollout;

/**
 * Decides whether this router can run a rule set. Implementations keep the parsed rules, so that they are ready when
 * sessions are split between two versions.
 */
public interface RuleSetValidator {
    /**
     * Parses and validates a rule set. Not called while a request is processed. May be called more than once for the
     * same rule set.
     *
     * @param hash the hash by which a {@link TrafficSplit} later refers to the rule set
     * @param rules the canonical text, see {@link RuleSet}
     * @return null if this router can run the rules, otherwise a description of the problem for operators
     */
    String validate(String hash, String rules);
}
