package clayhook.rollout;

import java.util.Collection;
import java.util.Comparator;

/**
 * The rules that this router uses without any candidate: those of its own file, or what was rolled out from there. Not
 * thread-safe.
 */
final class CurrentRules {
    /** All known rollouts; a view. */
    private final Collection<LocalRollout> rollouts;

    private String configuredHash;

    /**
     * Starts from the rules of this router's file.
     *
     * @param rollouts a view of all known rollouts
     */
    CurrentRules(String configuredHash, Collection<LocalRollout> rollouts) {
        this.configuredHash = configuredHash;
        this.rollouts = rollouts;
    }

    /** Hash of the rules in this router's own file. */
    String configuredHash() {
        return configuredHash;
    }

    /** Sets the hash of the rules in this router's own file. */
    void setConfiguredHash(String hash) {
        configuredHash = hash;
    }

    /** Follows the completed rollouts from the configured rules on, one for each step. */
    String hash() {
        String hash = configuredHash;
        for (int i = 0; i < rollouts.size(); i++) {
            String next = rolledOutFrom(hash);
            if (next.equals(hash)) {
                break;
            }
            hash = next;
        }
        return hash;
    }

    private String rolledOutFrom(String hash) {
        return rollouts.stream()
                .filter(rollout -> rollout.isCompleted() && rollout.isLoaded() && rollout.problem == null)
                .filter(rollout -> rollout.proposal.baseRulesHash().equals(hash))
                .min(Comparator.comparing(rollout -> rollout.proposal))
                .map(rollout -> rollout.proposal.rulesHash())
                .orElse(hash);
    }

    /** Whether the rollout was proposed on the rules that this router uses. */
    boolean areBaseOf(LocalRollout rollout) {
        return hash().equals(rollout.proposal.baseRulesHash());
    }
}
