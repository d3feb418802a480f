package clayhook.rollout;

import clayhook.fleet.Member;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Checks the invariants of a {@link RolloutCluster} against the votes and grants that were actually given. */
final class RolloutInvariants {
    private final RolloutCluster cluster;
    /** The highest stage ever voted for, by key of the vote. Includes votes of routers that have departed since. */
    final Map<String, Integer> highestVotes = new HashMap<>();
    /** Terms by hash. They are kept because their chunks may later be missing from all stores. */
    private final Map<String, RolloutTerms> terms = new HashMap<>();

    RolloutInvariants(RolloutCluster cluster) {
        this.cluster = cluster;
    }

    /** Records the votes that the nodes' stores contain now. */
    void recordVotes() {
        for (RolloutNode node : cluster.nodes) {
            if (node != null) {
                node.store.forEach(StageVote.TYPE, (key, vote) -> highestVotes.merge(key, vote.stage(), Math::max));
            }
        }
    }

    /** Description of a violated invariant; null if all hold. */
    String findViolation() {
        Set<String> running = new HashSet<>();
        for (RolloutNode node : cluster.nodes) {
            if (node == null) {
                continue;
            }
            String violation = findProgressViolation(node);
            if (violation == null && node.isRunning()) {
                running.add(node.candidateVersion().rolloutId());
                violation = findLeaseViolation(node);
            }
            if (violation != null) {
                return violation;
            }
        }
        return running.size() > 1 ? "two rollouts run at the same time: " + running : null;
    }

    /** Checks that each stage has the votes of a majority, and that no candidate runs whose rollout has ended. */
    private String findProgressViolation(RolloutNode node) {
        String[] violation = {null};
        node.store.forEach(RolloutProgress.TYPE, (id, progress) -> {
            RolloutTerms terms = terms(progress);
            if (terms != null && progress.stage() > 0) {
                long votes = terms.roster().stream()
                        .filter(voter -> highestVote(id, voter) >= progress.stage())
                        .count();
                if (2 * votes <= terms.voterCount()) {
                    violation[0] = node.member + " advanced with " + votes + " votes";
                }
            }
            if (progress.end() != null && runsCandidateOf(node, progress.proposal())) {
                violation[0] = node.member + " runs the candidate of a rollout that has ended";
            }
        });
        return violation[0];
    }

    private int highestVote(String rolloutId, Member voter) {
        return highestVotes.getOrDefault(StageVote.key(rolloutId, voter), -1);
    }

    private static boolean runsCandidateOf(RolloutNode node, Proposal proposal) {
        return node.isRunning()
                && node.controller.split().candidateRulesHash().equals(proposal.rulesHash())
                && node.candidateVersion().rolloutId().equals(proposal.id());
    }

    /** Checks that a majority has granted the lease of a running candidate within the duration of a lease. */
    private String findLeaseViolation(RolloutNode node) {
        String rolloutId = node.candidateVersion().rolloutId();
        RolloutTerms terms = terms(node.store.get(RolloutProgress.TYPE, rolloutId));
        long grants = terms.roster().stream()
                .filter(voter -> voter.equals(node.member) || hasRecentGrant(node, voter))
                .count();
        return 2 * grants <= terms.voterCount()
                ? node.member + " runs the candidate with " + grants + " grants within a lease"
                : null;
    }

    private boolean hasRecentGrant(RolloutNode node, Member voter) {
        double grantedAt = node.grantedRequestAt.getOrDefault(voter, Double.NEGATIVE_INFINITY);
        return cluster.now - grantedAt < cluster.settings.leaseSeconds();
    }

    private RolloutTerms terms(RolloutProgress progress) {
        String hash = progress.proposal().termsHash();
        for (RolloutNode node : cluster.nodes) {
            if (node != null && !terms.containsKey(hash)) {
                byte[] bytes =
                        TextChunk.assemble(node.store, hash, progress.proposal().termsLength());
                if (bytes != null) {
                    terms.put(hash, RolloutTerms.decode(bytes));
                }
            }
        }
        return terms.get(hash);
    }
}
