package clayhook.rollout;

import clayhook.fleet.Member;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Checks the rules that must hold in a {@link RolloutCluster} whatever happens, against what has really happened. */
final class RolloutInvariants {
    private final RolloutCluster cluster;
    /**
     * Ground truth: the highest stage that was ever voted for, by vote's key, also by routers that have departed since.
     */
    final Map<String, Integer> highestVotes = new HashMap<>();
    /** By hash; kept, as chunks may be gone from all stores later. */
    private final Map<String, RolloutTerms> terms = new HashMap<>();

    RolloutInvariants(RolloutCluster cluster) {
        this.cluster = cluster;
    }

    /** Records the votes that are in the nodes' stores now. */
    void recordVotes() {
        for (RolloutNode node : cluster.nodes) {
            if (node != null) {
                node.store.forEach(StageVote.TYPE, (key, vote) -> highestVotes.merge(key, vote.stage(), Math::max));
            }
        }
    }

    /** The invariant that does not hold; null while all hold. */
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
        return running.size() > 1 ? "two rollouts in force: " + running : null;
    }

    /** Each stage has the votes of a majority, and no candidate runs whose rollout has ended. */
    private String findProgressViolation(RolloutNode node) {
        String[] violation = {null};
        node.store.forEach(RolloutProgress.TYPE, (id, progress) -> {
            RolloutTerms terms = terms(progress);
            if (terms != null && progress.stage() > 0) {
                long votes = terms.roster().stream()
                        .filter(voter -> highestVote(id, voter) >= progress.stage())
                        .count();
                if (2 * votes <= terms.voterCount()) {
                    violation[0] = node.member + " went on with " + votes + " votes";
                }
            }
            if (progress.end() != null && runs(node, progress.proposal())) {
                violation[0] = node.member + " runs what was ended";
            }
        });
        return violation[0];
    }

    private int highestVote(String rolloutId, Member voter) {
        return highestVotes.getOrDefault(StageVote.key(rolloutId, voter), -1);
    }

    private static boolean runs(RolloutNode node, Proposal proposal) {
        return node.isRunning()
                && node.controller.split().candidateRulesHash().equals(proposal.rulesHash())
                && node.candidateVersion().rolloutId().equals(proposal.id());
    }

    /** A running candidate has had contact with a majority within the duration of a lease. */
    private String findLeaseViolation(RolloutNode node) {
        String rolloutId = node.candidateVersion().rolloutId();
        RolloutTerms terms = terms(node.store.get(RolloutProgress.TYPE, rolloutId));
        long contacts = terms.roster().stream()
                .filter(voter -> voter.equals(node.member) || hasRecentGrant(node, voter))
                .count();
        return 2 * contacts <= terms.voterCount()
                ? node.member + " runs the candidate with " + contacts + " contacts within a lease"
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
