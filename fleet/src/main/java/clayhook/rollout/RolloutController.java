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
import clayhook.rollout.RolloutEnd.EndCause;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * Advances candidates through their stages, together with the other routers and without a leader: each router votes
 * according to its own evaluation, and the rollout enters a stage when a majority of the roster, which is fixed at the
 * proposal, has voted for it. The entry point of the package for operators' requests, peers' messages and timers.
 *
 * <p>Not thread-safe, except for {@link #split()} and {@link #status()}, which any thread may call.
 */
public final class RolloutController implements ProtocolHandler {
    /** Seconds between ticks while a rollout is active or waits to be proposed. */
    private static final double ACTIVE_TICK_SECONDS = 0.25;
    /** Seconds between ticks otherwise. */
    private static final double IDLE_TICK_SECONDS = 1;
    /**
     * Maximum length of a router's name in UTF-8 bytes. The name is part of replicated keys, whose length is limited.
     */
    private static final int MAX_NAME_BYTES = 150;

    private final RolloutSettings settings;
    private final RuleSetValidator validator;
    private final Member self;
    private final RolloutRegistry registry;
    private final CurrentRules currentRules;
    private final RolloutLoader loader;
    private final RolloutArbiter arbiter;
    private final RolloutStarter starter;
    private final LeaseManager leases;
    private final StageVoting voting;
    private final StageEvaluation evaluation;
    private final SplitUpdater splitUpdater;
    /** Hash of the rule set that was last passed to {@link #propose}; null if there was none in this incarnation. */
    private String requestedRulesHash;

    private volatile RolloutStatus status;

    /**
     * Creates a controller without a requested rollout. Throws IllegalArgumentException if this router's name is too
     * long.
     *
     * @param membership the members of the fleet
     * @param store the store of replicated values, in which all {@link #replicatedTypes()} are registered
     * @param validator decides whether this router can run a rule set
     * @param seed seed of the random selection of voters
     * @param now current time in seconds since 1970
     * @param listener receives the events of rollouts
     */
    public RolloutController(
            MembershipView membership,
            ReplicatedStore store,
            RolloutSettings settings,
            RuleSetValidator validator,
            long seed,
            double now,
            RolloutListener listener) {
        this(membership, store, settings, validator, seed, now, listener, new Quorum(), Lease::new);
    }

    /** For tests that replace the majority or the lease by a defective one. */
    RolloutController(
            MembershipView membership,
            ReplicatedStore store,
            RolloutSettings settings,
            RuleSetValidator validator,
            long seed,
            double now,
            RolloutListener listener,
            Quorum quorum,
            Supplier<Lease> leaseFactory) {
        this.settings = settings;
        this.validator = validator;
        this.self = membership.self().member();
        if (self.name().getBytes(StandardCharsets.UTF_8).length > MAX_NAME_BYTES) {
            throw new IllegalArgumentException(
                    "with rollouts, the router's name may have at most " + MAX_NAME_BYTES + " bytes");
        }
        registry = new RolloutRegistry(store, self, listener, this::updateSplit);
        currentRules = new CurrentRules(settings.configuredRulesHash(), registry.all());
        loader = new RolloutLoader(registry, currentRules, store, settings, validator, leaseFactory, self);
        arbiter = new RolloutArbiter(registry, currentRules, membership, store, settings, quorum);
        starter = new RolloutStarter(
                registry, loader, arbiter, currentRules, membership, store, settings, listener, quorum, now);
        var grants = new LeaseGrants(now + settings.leaseSeconds() * LeaseGrants.MAX_CLOCK_DRIFT);
        leases = new LeaseManager(registry, arbiter, membership, quorum, new Random(seed), grants);
        voting = new StageVoting(registry, currentRules, membership, store, settings, quorum);
        evaluation = new StageEvaluation(registry, membership, store, settings, quorum);
        splitUpdater = new SplitUpdater(registry, currentRules, arbiter, leases);
    }

    /** The replicated types of rollouts. */
    public static List<ReplicatedType<?>> replicatedTypes() {
        return List.of(
                RolloutProgress.TYPE,
                TextChunk.TYPE,
                StageVote.TYPE,
                MemberCounters.OUTCOME_COUNTS,
                MemberCounters.BASELINE_LATENCIES,
                MemberCounters.CANDIDATE_LATENCIES);
    }

    /** The current split of sessions between versions. One volatile read; for any thread. */
    public TrafficSplit split() {
        return splitUpdater.split();
    }

    /** The state of the active rollout as last evaluated, or null. For any thread. */
    public RolloutStatus status() {
        return status;
    }

    /** All known rollouts, for tests that compare states. */
    Collection<LocalRollout> rollouts() {
        return registry.all();
    }

    /**
     * Requests a rollout. Called at the start of this router and after a SIGHUP if the configuration file has a
     * rollout. Requesting a rollout that is already active has no effect. The rollout is proposed once enough members
     * are visible and this router has received the replicated state.
     *
     * @param rules the canonical text of the candidate, see {@link RuleSet}
     * @param now current time in seconds since 1970
     * @return the problems of the request; empty if it was accepted
     */
    public List<RolloutProblem> propose(RolloutPlan plan, String rules, double now) {
        loader.refresh(now);
        List<RolloutProblem> problems = plan.validate();
        int length = rules.getBytes(StandardCharsets.UTF_8).length;
        if (length == 0 || length > RuleSet.MAX_BYTES) {
            problems.add(new RolloutProblem("rules", "must have 1 to " + RuleSet.MAX_BYTES + " bytes"));
        }
        RuleSet ruleSet = RuleSet.of(rules);
        requestedRulesHash = ruleSet.hash();
        if (!problems.isEmpty() || starter.isPending(ruleSet, plan) || arbiter.isUnderway(ruleSet, plan, now)) {
            return problems;
        }
        RolloutProblem startProblem = arbiter.startProblem(ruleSet, plan, now);
        if (startProblem != null) {
            problems.add(startProblem);
            return problems;
        }
        String rulesProblem = validator.validate(ruleSet.hash(), rules);
        if (rulesProblem != null) {
            problems.add(new RolloutProblem("rules", rulesProblem));
        } else {
            starter.request(plan, ruleSet);
        }
        return problems;
    }

    /**
     * Withdraws a rollout. Called when this router's configuration file no longer has a candidate. All routers return
     * to the baseline, even from a completed rollout whose rules are not yet in this router's own file. A router that
     * has requested a rollout withdraws only a rollout of the rule set that it requested last, and not one that
     * superseded it; a router that has requested none withdraws any active rollout.
     *
     * @return null, or the reason why there is nothing to withdraw
     */
    public RolloutProblem withdraw(double now) {
        loader.refresh(now);
        boolean canceled = starter.cancel();
        LocalRollout withdrawn = registry.all().stream()
                .filter(rollout ->
                        !rollout.isEnded() && !rollout.isPastStartDeadline(now, settings.startTimeoutSeconds()))
                .filter(rollout -> !rollout.proposal.rulesHash().equals(currentRules.configuredHash()))
                .filter(rollout -> requestedRulesHash == null
                        || rollout.proposal.rulesHash().equals(requestedRulesHash))
                .min(Comparator.comparing(LocalRollout::isCompleted).thenComparing(rollout -> rollout.proposal))
                .orElse(null);
        if (withdrawn != null) {
            registry.end(withdrawn, EndCause.WITHDRAWN, "by its operator", now);
        }
        return canceled || withdrawn != null ? null : new RolloutProblem("", "no rollout is active");
    }

    /**
     * Requests another attempt of the latest rollout that has ended. It starts at the first stage, with the current
     * members as its roster.
     *
     * @return null, or the reason why that is not possible
     */
    public RolloutProblem resume(double now) {
        loader.refresh(now);
        LocalRollout last = registry.all().stream()
                .filter(rollout -> rollout.isEnded() && rollout.isLoaded())
                .max(Comparator.comparing(rollout -> rollout.proposal))
                .orElse(null);
        if (last == null) {
            return new RolloutProblem("", "no rollout that has ended is known here");
        }
        RolloutPlan plan = last.terms.plan().withAttempt(last.proposal.attempt() + 1);
        List<RolloutProblem> problems = propose(plan, last.rules.text(), now);
        return problems.isEmpty() ? null : problems.get(0);
    }

    /**
     * Notifies the controller of the rules in this router's own configuration file. Halts the active rollout if the
     * rules have changed and are not its base rules, because a candidate cannot be compared with a baseline that
     * changes during the rollout.
     *
     * @param hash hash of the rules in the file
     */
    public void onConfiguredRules(String hash, double now) {
        loader.refresh(now);
        LocalRollout active = arbiter.active(now);
        if (!hash.equals(currentRules.configuredHash())
                && active != null
                && active.isVoter(self)
                && !hash.equals(active.proposal.baseRulesHash())) {
            registry.end(active, EndCause.HALTED, self.name() + " was given other rules to stand on", now);
        }
        currentRules.setConfiguredHash(hash);
        updateSplit(now);
    }

    /** Adds the outcomes of finished requests. Another thread may have filled the batch, but must no longer use it. */
    public void addOutcomes(CounterBatch batch, double now) {
        batch.forEach((version, outcomes) -> {
            LocalRollout rollout = registry.get(version.rolloutId());
            if (rollout != null && rollout.counters != null && !rollout.isEnded()) {
                rollout.counters.add(version, outcomes);
            }
        });
    }

    @Override
    public Map<Integer, Function<FieldReader, ? extends Message>> messageReaders() {
        return Map.of(LeaseRequest.TYPE_NUMBER, LeaseRequest::read, LeaseResponse.TYPE_NUMBER, LeaseResponse::read);
    }

    @Override
    public void onMessage(Peer from, Message message, double now, Outbox out) {
        if (message instanceof LeaseRequest request) {
            leases.onRequest(from, request, now, out);
        } else if (message instanceof LeaseResponse response && leases.onResponse(from, response, now)) {
            updateSplit(now);
        }
    }

    @Override
    public double tick(double now, Outbox out) {
        loader.refresh(now);
        starter.tick(now);
        arbiter.resolveConflicts(now);
        LocalRollout active = arbiter.active(now);
        if (active != null && active.isLoaded()) {
            advance(active, now, out);
        }
        updateSplit(now);
        boolean underway = starter.hasPending() || active != null;
        double next = now + (underway ? ACTIVE_TICK_SECONDS : IDLE_TICK_SECONDS);
        double leaseExpiresAt = split().validUntil();
        return leaseExpiresAt > now ? Math.min(next, leaseExpiresAt) : next;
    }

    private void advance(LocalRollout rollout, double now, Outbox out) {
        if (rollout.isVoter(self)) {
            if (rollout.stage() == 0) {
                voting.voteToStart(rollout, now);
            }
            voting.advanceOnMajority(rollout, now);
        }
        if (rollout.stage() >= 1 && !rollout.isCompleted() && !rollout.isEnded()) {
            leases.renew(rollout, now, out);
            evaluate(rollout, now);
        }
    }

    private void evaluate(LocalRollout rollout, double now) {
        RolloutStatus evaluated = evaluation.evaluate(rollout, split().validUntil(), now);
        if (evaluated == null) {
            return;
        }
        status = evaluated;
        if (rollout.holdReason.isEmpty()) {
            voting.vote(rollout, rollout.stage() + 1, now);
        }
    }

    private void updateSplit(double now) {
        LocalRollout active = arbiter.active(now);
        splitUpdater.update(active, now);
        if (active == null) {
            status = null;
        }
    }
}
