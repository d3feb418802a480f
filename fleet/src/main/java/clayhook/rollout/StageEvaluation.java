package clayhook.rollout;

import clayhook.fleet.Member;
import clayhook.fleet.MembershipView;
import java.util.List;
import java.util.Locale;

/** What the merged figures of a stage show to this router: who is heard, whether to halt, whether to go on. */
final class StageEvaluation {
    /** Bytes that a command group's figures take, about, and bytes a second that those of all routers may. */
    private static final double CLASS_COUNTERS_BYTES = 1300;

    private static final double MAX_COUNTERS_BYTES_PER_SECOND = 20_000;
    /** Figures older than so many times the time between them, and the time that news takes, count as not heard. */
    private static final double STALE_INTERVALS = 3;

    private static final double PROPAGATION_SECONDS = 2;

    private final MembershipView membership;
    private final RolloutRegistry registry;
    private final RolloutSettings settings;
    private final Member self;

    StageEvaluation(MembershipView roster, RolloutRegistry known, RolloutSettings settings) {
        this.membership = roster;
        this.registry = known;
        this.settings = settings;
        this.self = roster.self().member();
    }

    /** Seconds between figures, so that those of all routers together stay within a bound. */
    double shareIntervalSeconds(LocalRollout live) {
        double bytes = CLASS_COUNTERS_BYTES
                * live.terms.roster().size()
                * live.terms.plan().requestClasses().size();
        return Math.max(settings.shareIntervalSeconds(), bytes / MAX_COUNTERS_BYTES_PER_SECOND);
    }

    /** Counts whose figures are fresh, and tells whose have ended. */
    void updateVisibility(LocalRollout live, MergedCounters figures, double now) {
        double stale = STALE_INTERVALS * shareIntervalSeconds(live) + PROPAGATION_SECONDS;
        live.freshMembers = 0;
        live.departedMembers = 0;
        figures.lastRecordedAt().forEach((member, at) -> {
            boolean lives = member.equals(self) || membership.isLive(member);
            double ahead = member.equals(self) ? 0 : membership.clockOffset(member);
            live.freshMembers +=
                    lives && live.votes(member) && at - (Double.isNaN(ahead) ? 0 : ahead) >= now - stale ? 1 : 0;
            live.departedMembers += lives ? 0 : 1;
            if (!lives && live.announced.add("dead " + member)) {
                registry.emit(
                        RolloutEvent.EventType.MEMBER_DEPARTED,
                        live,
                        member.name() + " is gone; what it shared until " + String.format(Locale.ROOT, "%.1f", at)
                                + " counts, what it counted after that is lost");
            }
        });
        boolean blind = live.freshMembers < registry.majoritySize(live);
        // A stage that has just begun has no figures yet.
        if (blind != live.lacksCounters && (!blind || now - live.stageStartedAt > stale)) {
            live.lacksCounters = blind;
            registry.emit(
                    blind ? RolloutEvent.EventType.COUNTERS_MISSING : RolloutEvent.EventType.COUNTERS_RESTORED,
                    live,
                    "fresh figures of " + live.freshMembers + " routers, " + registry.majoritySize(live) + " needed");
        }
    }

    /** Why this router does not vote to go on; empty when it does. */
    String holdReason(LocalRollout live, GuardEvaluator judge, MergedCounters figures, double now) {
        double left = live.terms.plan().stages().get(live.stage() - 1).minSeconds() - (now - live.stageStartedAt);
        if (!live.votes(self)) {
            return "this router is not in the roster";
        }
        if (!live.running) {
            return "this router does not run the candidate";
        }
        if (live.freshMembers < registry.majoritySize(live)) {
            return "fresh figures of " + live.freshMembers + " routers only";
        }
        if (membership.recentlyStalled(now)) {
            return "this router stood still";
        }
        if (left > 0) {
            return (long) Math.ceil(left) + " s of the stage are left";
        }
        String waits = judge.holdReason(live.stage(), figures);
        return waits == null ? "" : waits;
    }

    /** For metrics. */
    RolloutStatus status(LocalRollout live, MergedCounters figures, double until) {
        RolloutStage stage = live.terms.plan().stages().get(live.stage() - 1);
        List<RolloutStatus.MetricComparison> rates = stage.guards().stream()
                .map(guard -> {
                    MergedCounters.ClassTotals group = figures.forRequestClass(guard.requestClass());
                    return new RolloutStatus.MetricComparison(
                            guard.requestClass(),
                            guard.metric(),
                            group.requests(1),
                            group.metricValue(guard.metric(), 1),
                            group.metricValue(guard.metric(), 0),
                            group.logEvidence(guard.metric()));
                })
                .toList();
        return new RolloutStatus(
                live.proposal.rulesHash(),
                live.stage(),
                stage.share(),
                until,
                live.freshMembers,
                live.terms.voterCount(),
                live.departedMembers,
                live.holdReason,
                rates);
    }
}
