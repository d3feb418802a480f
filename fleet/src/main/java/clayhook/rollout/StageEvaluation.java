package clayhook.rollout;

import clayhook.fleet.Member;
import clayhook.fleet.MembershipView;
import clayhook.fleet.ReplicatedStore;
import clayhook.rollout.RolloutEnd.EndCause;
import clayhook.rollout.RolloutEvent.EventType;
import java.util.List;
import java.util.Locale;

/**
 * Evaluates the merged counters of the current stage: which voters have fresh counters, whether the rollout must be
 * halted, and whether this router votes for the next stage. Not thread-safe.
 */
final class StageEvaluation {
    /** Approximate size in bytes of one router's replicated counters of one request class. */
    private static final double CLASS_COUNTERS_BYTES = 1300;
    /** Maximum rate in bytes per second at which the counters of all routers together are replicated. */
    private static final double MAX_COUNTERS_BYTES_PER_SECOND = 20_000;
    /** Number of share intervals after which counters are stale, in addition to the propagation time. */
    private static final double STALE_INTERVALS = 3;

    /** Time in seconds allowed for replicated counters to reach this router. */
    private static final double PROPAGATION_SECONDS = 2;

    private final RolloutRegistry registry;
    private final MembershipView membership;
    private final ReplicatedStore store;
    private final RolloutSettings settings;
    private final Quorum quorum;
    private final Member self;

    /** Creates the evaluation of a registry's rollouts. */
    StageEvaluation(
            RolloutRegistry registry,
            MembershipView membership,
            ReplicatedStore store,
            RolloutSettings settings,
            Quorum quorum) {
        this.registry = registry;
        this.membership = membership;
        this.store = store;
        this.settings = settings;
        this.quorum = quorum;
        this.self = membership.self().member();
    }

    /**
     * Replicates this router's counters and evaluates those of all routers if that is due. Halts the rollout if a guard
     * demands it, otherwise updates {@link LocalRollout#holdReason}.
     *
     * @param leaseExpiresAt time at which this router's lease ends, for the status; in seconds since 1970
     * @return the state of the rollout; null if the evaluation is not due or the rollout was halted
     */
    RolloutStatus evaluate(LocalRollout rollout, double leaseExpiresAt, double now) {
        rollout.counters.tick(now);
        if (now < rollout.nextEvaluationAt) {
            return null;
        }
        rollout.nextEvaluationAt = now + shareIntervalSeconds(rollout);
        rollout.counters.publish(store, rollout.stage(), now);
        MergedCounters counters = MergedCounters.collect(store, rollout.id, rollout.stage());
        var evaluator = new GuardEvaluator(rollout.terms.plan());
        String haltReason = haltReason(rollout, evaluator, counters);
        if (haltReason != null) {
            registry.end(rollout, EndCause.HALTED, haltReason, now);
            return null;
        }
        updateFreshMembers(rollout, counters, now);
        rollout.holdReason = holdReason(rollout, evaluator, counters, now);
        return status(rollout, counters, leaseExpiresAt);
    }

    /**
     * The reason to halt the rollout, or null. Also evaluates the previous stage, because its last requests are still
     * finishing.
     */
    private String haltReason(LocalRollout rollout, GuardEvaluator evaluator, MergedCounters counters) {
        int stage = rollout.stage();
        String reason = evaluator.haltReason(stage, counters);
        if (reason != null || stage == 1) {
            return reason;
        }
        return evaluator.haltReason(stage - 1, MergedCounters.collect(store, rollout.id, stage - 1));
    }

    /**
     * Time in seconds between two writes of this router's counters, long enough for the counters of all routers to stay
     * within {@link #MAX_COUNTERS_BYTES_PER_SECOND}.
     */
    private double shareIntervalSeconds(LocalRollout rollout) {
        double bytes = CLASS_COUNTERS_BYTES
                * rollout.terms.roster().size()
                * rollout.terms.plan().requestClasses().size();
        return Math.max(settings.shareIntervalSeconds(), bytes / MAX_COUNTERS_BYTES_PER_SECOND);
    }

    /**
     * Counts the voters with fresh counters and the departed routers. Emits events for departed routers and when the
     * majority of voters with fresh counters is lost or regained.
     */
    private void updateFreshMembers(LocalRollout rollout, MergedCounters counters, double now) {
        double staleAfter = STALE_INTERVALS * shareIntervalSeconds(rollout) + PROPAGATION_SECONDS;
        rollout.freshMembers = 0;
        rollout.departedMembers = 0;
        counters.lastRecordedAt().forEach((member, recordedAt) -> {
            boolean live = member.equals(self) || membership.isLive(member);
            if (!live) {
                rollout.departedMembers++;
                emitDeparture(rollout, member, recordedAt);
            } else if (rollout.isVoter(member) && recordedAt - clockOffset(member) >= now - staleAfter) {
                rollout.freshMembers++;
            }
        });
        int majority = rollout.majoritySize(quorum);
        boolean lacksCounters = rollout.freshMembers < majority;
        // At the start of a stage no router has replicated counters yet.
        boolean countersExpected = now - rollout.stageStartedAt > staleAfter;
        if (lacksCounters != rollout.lacksCounters && (!lacksCounters || countersExpected)) {
            rollout.lacksCounters = lacksCounters;
            registry.emit(
                    lacksCounters ? EventType.COUNTERS_MISSING : EventType.COUNTERS_RESTORED,
                    rollout,
                    "fresh counters of " + rollout.freshMembers + " routers, " + majority + " needed");
        }
    }

    /** The amount by which the member's clock is ahead of this router's, in seconds; 0 while unknown. */
    private double clockOffset(Member member) {
        double offset = member.equals(self) ? 0 : membership.clockOffset(member);
        return Double.isNaN(offset) ? 0 : offset;
    }

    private void emitDeparture(LocalRollout rollout, Member member, double recordedAt) {
        if (rollout.emittedEvents.add("departed " + member)) {
            registry.emit(
                    EventType.MEMBER_DEPARTED,
                    rollout,
                    String.format(
                            Locale.ROOT,
                            "%s has departed; its counters replicated until %.1f are included, later ones are lost",
                            member.name(),
                            recordedAt));
        }
    }

    /** The reason why this router does not vote for the next stage; empty if it does. */
    private String holdReason(LocalRollout rollout, GuardEvaluator evaluator, MergedCounters counters, double now) {
        double secondsLeft = rollout.currentStage().minSeconds() - (now - rollout.stageStartedAt);
        if (!rollout.isVoter(self)) {
            return "this router is not in the roster";
        }
        if (!rollout.running) {
            return "this router does not run the candidate";
        }
        if (rollout.freshMembers < rollout.majoritySize(quorum)) {
            return "fresh counters of " + rollout.freshMembers + " routers only";
        }
        if (membership.recentlyStalled(now)) {
            return "this router stalled";
        }
        if (secondsLeft > 0) {
            return (long) Math.ceil(secondsLeft) + " s of the stage are left";
        }
        String guardReason = evaluator.holdReason(rollout.stage(), counters);
        return guardReason == null ? "" : guardReason;
    }

    private static RolloutStatus status(LocalRollout rollout, MergedCounters counters, double leaseExpiresAt) {
        RolloutStage stage = rollout.currentStage();
        List<RolloutStatus.MetricComparison> metrics =
                stage.guards().stream().map(guard -> compare(guard, counters)).toList();
        return new RolloutStatus(
                rollout.proposal.rulesHash(),
                rollout.stage(),
                stage.share(),
                leaseExpiresAt,
                rollout.freshMembers,
                rollout.terms.voterCount(),
                rollout.departedMembers,
                rollout.holdReason,
                metrics);
    }

    private static RolloutStatus.MetricComparison compare(Guard guard, MergedCounters counters) {
        ClassTotals totals = counters.forRequestClass(guard.requestClass());
        GuardMetric metric = guard.metric();
        return new RolloutStatus.MetricComparison(
                guard.requestClass(),
                metric,
                totals.requests(Variant.CANDIDATE),
                totals.metricValue(metric, Variant.CANDIDATE),
                totals.metricValue(metric, Variant.BASELINE),
                totals.logEvidence(metric));
    }
}
