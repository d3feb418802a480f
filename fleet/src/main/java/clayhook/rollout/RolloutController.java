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
 * Takes candidates through their stages, together with the other routers and without a leader: each router votes by
 * what it sees, and a stage is entered when a majority of the frozen roster has voted for it. The entry point of the
 * package for operators' requests, peers' messages and timers.
 *
 * <p>For one thread, except for {@link #split()} and {@link #status()}, which any thread may call.
 */
public final class RolloutController implements ProtocolHandler {
    /** Time between ticks while a rollout is under way. */
    private static final double ACTIVE_TICK_SECONDS = 0.25;
    /** Time between ticks while there is none. */
    private static final double IDLE_TICK_SECONDS = 1;
    /** Bytes of a router's name in UTF-8; the name is part of replicated keys, whose length is limited. */
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
    /** The rule set that this router's file had last; null if this incarnation was never given one. */
    private String requestedRulesHash;

    private volatile RolloutStatus status;

    /**
     * Starts without any rollout of its own. Throws IllegalArgumentException for a router's name that is too long.
     *
     * @param membership the members of the fleet
     * @param store the replicated values, with all {@link #replicatedTypes()}
     * @param validator decides whether this router can run a rule set
     * @param seed of the random selection of voters
     * @param now seconds since 1970
     * @param listener receives what operators are to see
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
                    "a router's name may have " + MAX_NAME_BYTES + " bytes where rollouts are on");
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

    /** The types of values that rollouts replicate. */
    public static List<ReplicatedType<?>> replicatedTypes() {
        return List.of(
                RolloutProgress.TYPE,
                TextChunk.TYPE,
                StageVote.TYPE,
                MemberCounters.OUTCOME_COUNTS,
                MemberCounters.BASELINE_LATENCIES,
                MemberCounters.CANDIDATE_LATENCIES);
    }

    /** Which sessions get which version now; one volatile read, for any thread. */
    public TrafficSplit split() {
        return splitUpdater.split();
    }

    /** The active rollout, or null; for any thread. */
    public RolloutStatus status() {
        return status;
    }

    /** For tests that compare states. */
    Collection<LocalRollout> rollouts() {
        return registry.all();
    }

    /**
     * Requests a rollout, at a start or a SIGHUP whose file has one. Requesting the one that is active changes nothing.
     * The rollout waits until enough members are visible and the replicated state is complete here.
     *
     * @param rules a canonical text, see {@link RuleSet}
     * @param now seconds since 1970
     * @return what is wrong; empty when the request was accepted
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
     * Takes back a rollout, where this router's file had a candidate and no longer has one. All routers return to the
     * baseline, also from a completed rollout that is not yet in this router's own file. A router that never requested
     * a rollout takes back whatever is active; one whose rule set has lost to another leaves the other alone.
     *
     * @return null, or why there is nothing to take back
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
     * Starts the latest rollout that has ended anew: another attempt, from the first stage, with the members of now.
     *
     * @return null, or why that is not possible
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
     * Takes in that the rules in this router's own file have changed. Halts the active rollout if they are not its base
     * rules, as a candidate is not compared with rules that change meanwhile.
     *
     * @param hash of the rules in the file
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

    /** Adds outcomes of requests. Another thread may have counted them, but must no longer use the batch. */
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
