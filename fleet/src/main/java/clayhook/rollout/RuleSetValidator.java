package clayhook.rollout;

/**
 * Whether this router could run a set of rules. Whoever implements it keeps what it read, so that both versions stand
 * ready.
 */
public interface RuleSetValidator {
    /**
     * Reads the whole text, outside of the way of requests. May be called again for the same set.
     *
     * @param hash by which {@link TrafficSplit} names the set later
     * @return null, or what is wrong with it, for people
     */
    String validate(String hash, String rules);
}
