package clayhook.rollout;

import clayhook.fleet.FieldReader;
import clayhook.fleet.Member;
import clayhook.fleet.MembershipView;
import clayhook.fleet.Message;
import clayhook.fleet.Outbox;
import clayhook.fleet.Peer;
import clayhook.fleet.ProtocolHandler;
import clayhook.fleet.ReplicatedStore;
import clayhook.fleet.ReplicatedType;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Stream;

/**
 * Takes candidates through their stages, together with the other routers and without a leader: each votes by what it
 * sees, and a stage is whatever a majority of the frozen roster has voted for. For one thread; {@link #split()} alone
 * is for all.
 */
public final class RolloutController implements ProtocolHandler {
    /** Seconds between turns while a rollout is under way, and while there is none. */
    private static final double ACTIVE_TICK_SECONDS = 0.25;

    private static final double IDLE_TICK_SECONDS = 1;
    /** Asks in the time of a lease, so that a few may get lost. */
    private static final int REQUESTS_PER_LEASE = 4;
    /** Bytes of a router's name in UTF-8; it stands in keys beside a command group's. */
    private static final int MAX_NAME_BYTES = 150;

    /** What the operator asks for, until it can be begun. */
    private static final class PendingRollout {
        final RolloutPlan plan;
        final RuleSet rules;
        String announcedReason = "";

        PendingRollout(RolloutPlan plan, RuleSet rules) {
            this.plan = plan;
            this.rules = rules;
        }
    }

    private final MembershipView membership;
    private final ReplicatedStore store;
    private final RolloutSettings settings;
    private final RuleSetValidator validator;
    private final Random random;
    private final RolloutListener listener;
    private final Quorum quorum;
    private final LeaseGrants leaseGrants;
    private final double startedAt;
    private final Member self;
    private final RolloutRegistry registry;
    private final StageEvaluation evaluation;
    private PendingRollout pending;
    /** The set that this router's file had last; null for none in this life. */
    private String requestedRulesHash;

    private RuleSetVersion currentVersion;
    private volatile TrafficSplit split;
    private volatile RolloutStatus status;

    public RolloutController(
            MembershipView roster,
            ReplicatedStore shared,
            RolloutSettings settings,
            RuleSetValidator checker,
            long seed,
            double now,
            RolloutListener listener) {
        this(roster, shared, settings, checker, seed, now, listener, new Quorum(), Lease::new);
    }

    /** For tests that break the majority or the lease. */
    RolloutController(
            MembershipView roster,
            ReplicatedStore shared,
            RolloutSettings settings,
            RuleSetValidator checker,
            long seed,
            double now,
            RolloutListener listener,
            Quorum quorum,
            Supplier<Lease> leases) {
        this.membership = roster;
        this.store = shared;
        this.settings = settings;
        this.validator = checker;
        this.random = new Random(seed);
        this.listener = listener;
        this.quorum = quorum;
        this.leaseGrants = new LeaseGrants(now + settings.leaseSeconds() * LeaseGrants.MAX_CLOCK_DRIFT);
        this.startedAt = now;
        this.self = roster.self().member();
        if (self.name().getBytes(StandardCharsets.UTF_8).length > MAX_NAME_BYTES) {
            throw new IllegalArgumentException(
                    "a router's name may have " + MAX_NAME_BYTES + " bytes where rollouts are on");
        }
        currentVersion = new RuleSetVersion(settings.configuredRulesHash(), null, 0, false, Map.of());
        split = TrafficSplit.unsplit(currentVersion);
        registry = new RolloutRegistry(roster, shared, settings, checker, listener, quorum, leases, this::updateSplit);
        evaluation = new StageEvaluation(roster, registry, settings);
    }

    /** The kinds of values that it shares. */
    public static List<ReplicatedType<?>> replicatedTypes() {
        return List.of(
                RolloutProgress.TYPE,
                TextChunk.TYPE,
                StageVote.TYPE,
                MemberCounters.OUTCOME_COUNTS,
                MemberCounters.BASELINE_LATENCIES,
                MemberCounters.CANDIDATE_LATENCIES);
    }

    /** Which sessions get which version now; one volatile read. */
    public TrafficSplit split() {
        return split;
    }

    /** The rollout under way, or null; for any thread. */
    public RolloutStatus status() {
        return status;
    }

    /** For tests that tell one state from another. */
    Collection<LocalRollout> rollouts() {
        return registry.all();
    }

    // What the operator says.

    /**
     * Asks for a rollout, at a start or a SIGHUP whose file has one. Asking for the one that is in force changes
     * nothing. It begins when enough members are in sight and this router's copy is whole; until then it waits.
     *
     * @param rules a canonical text, see {@link RuleSet}
     * @return what is wrong; empty when it was taken
     */
    public List<RolloutProblem> propose(RolloutPlan plan, String rules, double now) {
        registry.refresh(now);
        List<RolloutProblem> faults = plan.validate();
        int bytes = rules.getBytes(StandardCharsets.UTF_8).length;
        if (bytes == 0 || bytes > RuleSet.MAX_BYTES) {
            faults.add(new RolloutProblem("rules", "must have 1 to " + RuleSet.MAX_BYTES + " bytes"));
        }
        RuleSet set = RuleSet.of(rules);
        requestedRulesHash = set.hash();
        if (faults.isEmpty() && !isPending(set, plan) && !registry.isUnderway(set, plan, now)) {
            RolloutProblem refusal = registry.startProblem(set, plan, now);
            String unread = refusal == null ? validator.validate(set.hash(), rules) : null;
            if (refusal != null) {
                faults.add(refusal);
            } else if (unread != null) {
                faults.add(new RolloutProblem("rules", unread));
            } else {
                pending = new PendingRollout(plan, set);
            }
        }
        return faults;
    }

    private boolean isPending(RuleSet set, RolloutPlan plan) {
        return pending != null && pending.rules.equals(set) && pending.plan.equals(plan);
    }

    /**
     * Takes back what was asked for, where this router's file had a candidate and has none any more. It goes back to
     * the old version everywhere, also where all is done but not yet in this router's own file. A router that never
     * asked for one takes back whatever is in force; one whose set has lost to another leaves that other alone.
     *
     * @return null, or why there is nothing to take back
     */
    public RolloutProblem withdraw(double now) {
        registry.refresh(now);
        boolean waited = pending != null;
        pending = null;
        LocalRollout last = registry.all().stream()
                .filter(live -> !live.isEnded() && !live.isPastStartDeadline(now, settings.startTimeoutSeconds()))
                .filter(live -> !live.proposal.rulesHash().equals(registry.configuredRulesHash()))
                .filter(live ->
                        requestedRulesHash == null || live.proposal.rulesHash().equals(requestedRulesHash))
                .min(Comparator.comparing((LocalRollout live) -> live.isCompleted())
                        .thenComparing(live -> live.proposal))
                .orElse(null);
        if (last != null) {
            registry.end(last, RolloutEnd.EndCause.WITHDRAWN, "by its operator", now);
        }
        return waited || last != null ? null : new RolloutProblem("", "no rollout is in force");
    }

    /**
     * Begins the newest rollout that has ended anew: another attempt, from the first stage, with the roster of now.
     *
     * @return null, or why there is none
     */
    public RolloutProblem resume(double now) {
        registry.refresh(now);
        LocalRollout last = registry.all().stream()
                .filter(live -> live.isEnded() && live.isLoaded())
                .max(Comparator.comparing(live -> live.proposal))
                .orElse(null);
        if (last == null) {
            return new RolloutProblem("", "no rollout that has ended is known here");
        }
        List<RolloutProblem> faults =
                propose(last.terms.plan().withAttempt(last.proposal.attempt() + 1), last.rules.text(), now);
        return faults.isEmpty() ? null : faults.get(0);
    }

    /**
     * The rules of this router's own file have that hash now. No candidate is compared with rules that changed
     * meanwhile.
     */
    public void onConfiguredRules(String hash, double now) {
        registry.refresh(now);
        LocalRollout live = registry.activeRollout(now);
        if (!hash.equals(registry.configuredRulesHash())
                && live != null
                && live.votes(self)
                && !hash.equals(live.proposal.baseRulesHash())) {
            registry.end(live, RolloutEnd.EndCause.HALTED, self.name() + " was given other rules to stand on", now);
        }
        registry.configuredRulesHash(hash);
        updateSplit(now);
    }

    /** Outcomes of commands, counted by another thread and not touched by it any more. */
    public void addOutcomes(CounterBatch batch, double now) {
        batch.forEach((version, cells) -> {
            LocalRollout live = registry.get(version.rolloutId());
            if (live != null && live.counters != null && !live.isEnded()) {
                live.counters.add(version, cells);
            }
        });
    }

    // What comes from the others.

    @Override
    public Map<Integer, Function<FieldReader, ? extends Message>> messageReaders() {
        return Map.of(LeaseRequest.TYPE_NUMBER, LeaseRequest::read, LeaseResponse.TYPE_NUMBER, LeaseResponse::read);
    }

    @Override
    public void onMessage(Peer from, Message part, double now, Outbox out) {
        if (part instanceof LeaseRequest ask) {
            LocalRollout live = registry.get(ask.rolloutId());
            boolean granted = live != null && grantLease(live, now);
            out.add(from.address(), new LeaseResponse(ask.rolloutId(), ask.requestedAt(), granted));
        } else if (part instanceof LeaseResponse answer) {
            LocalRollout live = registry.get(answer.rolloutId());
            if (live != null && live.lease != null && live.votes(from.member())) {
                if (answer.granted()) {
                    live.lease.granted(from.member(), answer.requestedAt(), now);
                } else {
                    live.lease.onDenied(from.member());
                }
                updateSplit(now);
            }
        }
    }

    /** Also where all is done, which the asker may not have heard yet. */
    private boolean grantLease(LocalRollout live, double now) {
        return live.votes(self)
                && (live == registry.activeRollout(now) || live.isCompleted())
                && leaseGrants.tryGrant(live.id, now, live.proposal.leaseSeconds());
    }

    // What is due.

    @Override
    public double tick(double now, Outbox out) {
        registry.refresh(now);
        if (pending != null) {
            startPending(now);
        }
        registry.resolveConflicts(now);
        LocalRollout live = registry.activeRollout(now);
        if (live != null && live.isLoaded()) {
            advance(live, now, out);
        }
        updateSplit(now);
        double next = now + (pending != null || live != null ? ACTIVE_TICK_SECONDS : IDLE_TICK_SECONDS);
        return split.validUntil() > now ? Math.min(next, split.validUntil()) : next;
    }

    private void advance(LocalRollout live, double now, Outbox out) {
        if (live.votes(self)) {
            if (live.stage() == 0) {
                voteToStart(live, now);
            }
            recordMajority(live, now);
        }
        if (live.stage() >= 1 && !live.isCompleted() && !live.isEnded()) {
            renewLease(live, now, out);
            evaluate(live, now);
        }
    }

    // Beginning.

    private void startPending(double now) {
        String hold = startHoldReason(now);
        if (hold != null) {
            if (!hold.equals(pending.announcedReason)) {
                pending.announcedReason = hold;
                listener.onEvent(new RolloutEvent(RolloutEvent.EventType.WAITING, pending.rules.hash(), hold));
            }
            return;
        }
        PendingRollout asked = pending;
        pending = null;
        if (registry.isUnderway(asked.rules, asked.plan, now)) {
            return;
        }
        RolloutProblem refusal = registry.startProblem(asked.rules, asked.plan, now);
        if (refusal != null) {
            listener.onEvent(new RolloutEvent(RolloutEvent.EventType.REJECTED, asked.rules.hash(), refusal.toString()));
        } else {
            publishProposal(asked, now);
        }
    }

    /** Why nothing may begin now, or null. */
    private String startHoldReason(double now) {
        int members = membership.livePeers().size() + 1;
        return now < startedAt + settings.settleSeconds()
                ? "this router has only begun"
                : store.completeUpTo(now) == Double.NEGATIVE_INFINITY
                        ? "this router is being brought up"
                        : membership.recentlyStalled(now)
                                ? "this router stood still"
                                : members < quorum.majorityOf(settings.fleetSize())
                                        ? members + " routers are in sight, of " + settings.fleetSize()
                                        : null;
    }

    private void publishProposal(PendingRollout asked, double now) {
        List<Member> frozen = Stream.concat(
                        Stream.of(self), membership.livePeers().stream().map(Peer::member))
                .sorted()
                .toList();
        byte[] terms = new RolloutTerms(asked.plan, settings.fleetSize(), frozen).encode();
        byte[] rules = asked.rules.text().getBytes(StandardCharsets.UTF_8);
        var proposal = new Proposal(
                self,
                now,
                registry.currentRulesHash(),
                asked.rules.hash(),
                rules.length,
                TextChunk.contentHash(terms),
                terms.length,
                settings.leaseSeconds(),
                asked.plan.attempt());
        TextChunk.publish(store, terms, now, now);
        TextChunk.publish(store, rules, now, now);
        registry.start(new RolloutProgress(proposal, 0, null, now), now);
    }

    // Going on.

    private void vote(LocalRollout live, int stage, double now) {
        String key = StageVote.key(live.id, self);
        StageVote before = store.get(StageVote.TYPE, key);
        if (before == null || before.stage() < stage) {
            store.merge(StageVote.TYPE, key, new StageVote(stage, live.progress.retainedFrom()), now);
        }
    }

    private void voteToStart(LocalRollout live, double now) {
        if (live.problem != null || !registry.isOnBaseRules(live)) {
            return;
        }
        vote(live, 0, now);
        if (now - live.firstSeenAt >= settings.settleSeconds()
                && !membership.recentlyStalled(now)
                && live.firstUnreadyMember(store, membership) == null) {
            vote(live, 1, now);
        }
    }

    /** Whoever sees that a majority has voted says so to all. */
    private void recordMajority(LocalRollout live, double now) {
        int next = live.stage() + 1;
        if (next <= live.terms.plan().stages().size() + 1 && live.votes(store, next) >= registry.majoritySize(live)) {
            registry.publish(live, live.progress.withStage(next), now);
        }
    }

    private boolean mayRunCandidate(LocalRollout live) {
        return live.isLoaded()
                && live.problem == null
                && live.stage() >= 1
                && !live.isEnded()
                && !live.isCompleted()
                && registry.isOnBaseRules(live);
    }

    private void renewLease(LocalRollout live, double now, Outbox out) {
        if (!mayRunCandidate(live) || now < live.nextLeaseRequestAt) {
            return;
        }
        double between = live.proposal.leaseSeconds() / REQUESTS_PER_LEASE;
        live.nextLeaseRequestAt = now + (live.running ? between : Math.min(between, 1));
        live.lease.onRequested(now);
        if (grantLease(live, now)) {
            live.lease.granted(self, now, now);
        }
        List<Peer> voters = new ArrayList<>();
        for (Peer peer : membership.livePeers()) {
            if (live.votes(peer.member())) {
                voters.add(peer);
            }
        }
        Collections.shuffle(voters, random);
        // Some more than a majority, as some are lost; others the next time.
        int most = registry.majoritySize(live) + Math.max(2, registry.majoritySize(live) / 4);
        voters.subList(0, Math.min(most, voters.size()))
                .forEach(peer -> out.add(peer.address(), new LeaseRequest(live.id, now)));
    }

    /** Shares what was counted here, and judges what was counted anywhere. */
    private void evaluate(LocalRollout live, double now) {
        live.counters.tick(now);
        if (now < live.nextEvaluationAt) {
            return;
        }
        live.nextEvaluationAt = now + evaluation.shareIntervalSeconds(live);
        live.counters.publish(store, live.stage(), now);
        MergedCounters figures = MergedCounters.collect(store, live.id, live.stage());
        var judge = new GuardEvaluator(live.terms.plan());
        String halt = judge.haltReason(live.stage(), figures);
        if (halt == null && live.stage() > 1) {
            halt = judge.haltReason(live.stage() - 1, MergedCounters.collect(store, live.id, live.stage() - 1));
        }
        if (halt != null) {
            registry.end(live, RolloutEnd.EndCause.HALTED, halt, now);
            return;
        }
        evaluation.updateVisibility(live, figures, now);
        live.holdReason = evaluation.holdReason(live, judge, figures, now);
        status = evaluation.status(live, figures, split.validUntil());
        if (live.holdReason.isEmpty()) {
            vote(live, live.stage() + 1, now);
        }
    }

    // The switch.

    private void updateSplit(double now) {
        String stands = registry.currentRulesHash();
        if (!currentVersion.rulesHash().equals(stands)) {
            currentVersion = new RuleSetVersion(stands, null, 0, false, Map.of());
        }
        LocalRollout live = registry.activeRollout(now);
        double until = live != null && mayRunCandidate(live)
                ? live.lease.expiresAt(registry.majoritySize(live), live.proposal.leaseSeconds())
                : Double.NEGATIVE_INFINITY;
        for (LocalRollout other : registry.all()) {
            setRunning(other, other == live && until > now);
        }
        if (live == null) {
            status = null;
        }
        if (!(until > now)) {
            if (!split.matches(currentVersion, null, null, Double.NEGATIVE_INFINITY)) {
                split = TrafficSplit.unsplit(currentVersion);
            }
            return;
        }
        updateVersions(live);
        double share = live.terms.plan().stages().get(live.stage() - 1).share();
        if (!split.matches(currentVersion, live.baseline, live.candidate, until)) {
            split = TrafficSplit.between(currentVersion, live.baseline, live.candidate, share, until);
        }
    }

    private void setRunning(LocalRollout live, boolean runs) {
        if (live.running != runs) {
            live.running = runs;
            if (runs) {
                registry.emit(RolloutEvent.EventType.CANDIDATE_RUNNING, live, "stage " + live.stage());
            } else if (!live.isEnded() && !live.isCompleted()) {
                registry.emit(
                        RolloutEvent.EventType.LEASE_EXPIRED,
                        live,
                        "no contact with a majority; back to the old version");
            }
        }
    }

    /** The same objects as long as nothing changes that is counted by them. */
    private void updateVersions(LocalRollout live) {
        Map<String, Double> limits = live.counters.slowThresholds(live.stage());
        if (live.baseline == null || !limits.equals(live.slowThresholds)) {
            live.slowThresholds = limits;
            live.baseline = new RuleSetVersion(currentVersion.rulesHash(), live.id, live.stage(), false, limits);
            live.candidate = new RuleSetVersion(live.proposal.rulesHash(), live.id, live.stage(), true, limits);
        }
    }
}
