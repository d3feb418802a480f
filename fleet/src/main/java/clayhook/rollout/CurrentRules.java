package clayhook.rollout;

import java.util.Collection;
import java.util.Comparator;

/**
 * The rules that this router uses for sessions without a candidate: those of its own configuration file, or the rules
 * that completed rollouts have put in their place. Not thread-safe.
 */
final class CurrentRules {
    /** All known rollouts; a view. */
    private final Collection<LocalRollout> rollouts;

    private String configuredHash;

    /**
     * Starts with the rules of this router's configuration file.
     *
     * @param configuredHash hash of those rules
     * @param rollouts a view of all known rollouts
     */
    CurrentRules(String configuredHash, Collection<LocalRollout> rollouts) {
        this.configuredHash = configuredHash;
        this.rollouts = rollouts;
    }

    /** Hash of the rules in this router's own configuration file. */
    String configuredHash() {
        return configuredHash;
    }

    /** Sets the hash of the rules in this router's own configuration file. */
    void setConfiguredHash(String hash) {
        configuredHash = hash;
    }

    /**
     * Hash of the current rules, found by following completed rollouts from the configured rules, each from its base
     * rules to its candidate. Takes at most as many steps as there are rollouts, so a cycle of rollouts ends.
     */
    String hash() {
        String hash = configuredHash;
        for (int i = 0; i < rollouts.size(); i++) {
            String next = nextRulesHash(hash);
            if (next.equals(hash)) {
                break;
            }
            hash = next;
        }
        return hash;
    }

    private String nextRulesHash(String hash) {
        return rollouts.stream()
                .filter(rollout -> rollout.isCompleted() && rollout.isLoaded() && rollout.problem == null)
                .filter(rollout -> rollout.proposal.baseRulesHash().equals(hash))
                .min(Comparator.comparing(rollout -> rollout.proposal))
                .map(rollout -> rollout.proposal.rulesHash())
                .orElse(hash);
    }

    /** Whether the current rules of this router are the base rules of the rollout. */
    boolean areBaseOf(LocalRollout rollout) {
        return hash().equals(rollout.proposal.baseRulesHash());
    }
}
