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
 * Renews this router's lease on the candidate by asking voters, and answers the lease requests of others. Not
 * thread-safe.
 */
final class LeaseManager {
    /** Requests within the duration of a lease, so that a few may be lost. */
    private static final int REQUESTS_PER_LEASE = 4;
    /** Longest time between requests while there is no lease. */
    private static final double MAX_RETRY_SECONDS = 1;
    /** Voters that are asked in addition to a majority: at least this many, or one for each so many of the majority. */
    private static final int MIN_SPARE_VOTERS = 2;

    private static final int MAJORITY_PER_SPARE_VOTER = 4;

    private final RolloutRegistry registry;
    private final RolloutArbiter arbiter;
    private final MembershipView membership;
    private final Quorum quorum;
    private final Random random;
    private final LeaseGrants grants;
    private final Member self;

    /**
     * Manages the leases of a registry's rollouts.
     *
     * @param random selects the voters that are asked
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

    /** Answers a lease request. */
    void onRequest(Peer from, LeaseRequest request, double now, Outbox out) {
        LocalRollout rollout = registry.get(request.rolloutId());
        boolean granted = rollout != null && grant(rollout, now);
        out.add(from.address(), new LeaseResponse(request.rolloutId(), request.requestedAt(), granted));
    }

    /**
     * Takes in the response to a lease request.
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
     * Grants a lease of the active rollout, or of a completed one, as the requester may not know that it is completed.
     */
    private boolean grant(LocalRollout rollout, double now) {
        return rollout.isVoter(self)
                && (rollout == arbiter.active(now) || rollout.isCompleted())
                && grants.tryGrant(rollout.id, now, rollout.proposal.leaseSeconds());
    }

    /** When the lease of this router ends, in seconds since 1970; negative infinity while there is none. */
    double expiresAt(LocalRollout rollout) {
        return rollout.lease.expiresAt(rollout.majoritySize(quorum), rollout.proposal.leaseSeconds());
    }

    /** Sends lease requests when they are due. */
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

    /** Random voters, somewhat more than a majority as some requests are lost. */
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
