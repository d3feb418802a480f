package clayhook.rollout;

/**
 * Decides whether this router can run a rule set. Implementations keep the parsed rules, so that both versions are
 * ready when sessions are split between them.
 */
public interface RuleSetValidator {
    /**
     * Parses the whole text, outside of the path of requests. May be called again for the same rule set.
     *
     * @param hash by which a {@link TrafficSplit} names the rule set later
     * @param rules the canonical text, see {@link RuleSet}
     * @return null if this router can run the rules, else what is wrong with them, for operators
     */
    String validate(String hash, String rules);
}
