package clayhook.rollout;

import clayhook.fleet.Member;
import clayhook.fleet.MembershipView;
import clayhook.fleet.Outbox;
import clayhook.fleet.Peer;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/**
 * Renews this router's lease to run the candidate by sending requests to voters, and responds to the lease requests of
 * other routers. Not thread-safe.
 */
final class LeaseManager {
    /** Number of requests sent within the duration of a lease, so that the lease survives the loss of a few. */
    private static final int REQUESTS_PER_LEASE = 4;
    /** Maximum time in seconds between requests while this router has no lease. */
    private static final double MAX_RETRY_SECONDS = 1;
    /** Minimum number of voters to which a request is sent in addition to a majority. */
    private static final int MIN_SPARE_VOTERS = 2;

    /** One spare voter for each group of this many voters of the majority, if that gives more than the minimum. */
    private static final int MAJORITY_PER_SPARE_VOTER = 4;

    private final RolloutRegistry registry;
    private final RolloutArbiter arbiter;
    private final MembershipView membership;
    private final Quorum quorum;
    private final Random random;
    private final LeaseGrants grants;
    private final Member self;

    /**
     * Creates the manager of the leases for a registry's rollouts.
     *
     * @param random selects the voters to which requests are sent
     */
    LeaseManager(
            RolloutRegistry registry,
            RolloutArbiter arbiter,
            MembershipView membership,
            Quorum quorum,
            Random random,
            LeaseGrants grants) {
        this.registry = registry;
        this.arbiter = arbiter;
        this.membership = membership;
        this.quorum = quorum;
        this.random = random;
        this.grants = grants;
        this.self = membership.self().member();
    }

    /** Responds to a lease request. */
    void onRequest(Peer from, LeaseRequest request, double now, Outbox out) {
        LocalRollout rollout = registry.get(request.rolloutId());
        boolean granted = rollout != null && grant(rollout, now);
        out.add(from.address(), new LeaseResponse(request.rolloutId(), request.requestedAt(), granted));
    }

    /**
     * Records the response to a lease request.
     *
     * @return whether the lease may have changed
     */
    boolean onResponse(Peer from, LeaseResponse response, double now) {
        LocalRollout rollout = registry.get(response.rolloutId());
        if (rollout == null || rollout.lease == null || !rollout.isVoter(from.member())) {
            return false;
        }
        if (response.granted()) {
            rollout.lease.onGranted(from.member(), response.requestedAt(), now);
        } else {
            rollout.lease.onDenied(from.member());
        }
        return true;
    }

    /**
     * Grants a lease for the active rollout or for a completed one, whose completion may not have been replicated to
     * the requester yet.
     */
    private boolean grant(LocalRollout rollout, double now) {
        return rollout.isVoter(self)
                && (rollout == arbiter.active(now) || rollout.isCompleted())
                && grants.tryGrant(rollout.id, now, rollout.proposal.leaseSeconds());
    }

    /** The time at which this router's lease ends, in seconds since 1970; negative infinity without a lease. */
    double expiresAt(LocalRollout rollout) {
        return rollout.lease.expiresAt(rollout.majoritySize(quorum), rollout.proposal.leaseSeconds());
    }

    /** Sends lease requests to voters if they are due and this router may run the candidate. */
    void renew(LocalRollout rollout, double now, Outbox out) {
        if (!arbiter.mayRunCandidate(rollout) || now < rollout.nextLeaseRequestAt) {
            return;
        }
        double interval = rollout.proposal.leaseSeconds() / REQUESTS_PER_LEASE;
        rollout.nextLeaseRequestAt = now + (rollout.running ? interval : Math.min(interval, MAX_RETRY_SECONDS));
        rollout.lease.onRequested(now);
        if (grant(rollout, now)) {
            rollout.lease.onGranted(self, now, now);
        }
        var request = new LeaseRequest(rollout.id, now);
        selectVoters(rollout).forEach(peer -> out.add(peer.address(), request));
    }

    /** Selects random live voters: a majority and some spare ones, because requests may be lost. */
    private List<Peer> selectVoters(LocalRollout rollout) {
        List<Peer> voters = new ArrayList<>();
        for (Peer peer : membership.livePeers()) {
            if (rollout.isVoter(peer.member())) {
                voters.add(peer);
            }
        }
        Collections.shuffle(voters, random);
        int majority = rollout.majoritySize(quorum);
        int count = majority + Math.max(MIN_SPARE_VOTERS, majority / MAJORITY_PER_SPARE_VOTER);
        return voters.subList(0, Math.min(count, voters.size()));
    }
}
