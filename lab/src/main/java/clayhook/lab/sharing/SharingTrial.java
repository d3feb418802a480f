package clayhook.lab.sharing;

import clayhook.fleet.Member;
import clayhook.fleet.ReplicatedStore;
import clayhook.fleet.ReplicatedType;
import clayhook.fleet.types.ListedEndpoint;
import clayhook.fleet.types.NodeObservation;
import clayhook.fleet.types.QuotaUsage;
import clayhook.fleet.types.SessionConsistency;
import clayhook.fleet.types.SessionWrite;
import clayhook.fleet.types.WriteOutcome;
import clayhook.lab.model.VirtualScheduler;
import clayhook.lab.sharing.GeneratedValues.Said;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * One run of routers that share state, under faults, with updates throughout. The conditions checked are: after the
 * last fault all membership lists and copies become equal; copies contain nothing that no router put in, and everything
 * put in by incarnations that continue; and a session that moves to another router no sooner than allowed reads its own
 * write there.
 */
public final class SharingTrial {
    /** Start of virtual time in seconds; far from zero, because zero stands for "never". */
    private static final double START = 1_000_000;
    /**
     * Minimum seconds between the answer to a write and the session's read at another router, and the maximum by which
     * the read comes later.
     */
    private static final double ROAM = 0.5, ROAMING = 5;
    /**
     * Maximum clock offset in seconds for guarantees that hold only if clocks agree; network delays make the offset
     * measurement that inaccurate.
     */
    private static final double CLOCKS = 0.1;
    /** Seconds before the end of its retention from which an entry may be missing in copies. */
    private static final double FADING = 8;
    /** Seconds between two checks whether all routers agree. */
    private static final double LOOK = 0.25;

    /** The replicated types that routers share, ordered by type number. */
    public static final List<ReplicatedType<?>> KINDS =
            List.of(NodeObservation.TYPE, ListedEndpoint.TYPE, SessionWrite.TYPE, WriteOutcome.TYPE, QuotaUsage.TYPE);

    /**
     * Parameters of a trial.
     *
     * @param seconds seconds in which updates and faults occur
     * @param settle seconds after that within which all routers must agree
     * @param rate updates per second over all routers
     */
    public record Spec(SimulatedPeerGroup.Spec company, double seconds, double settle, double rate) {}

    /**
     * The result of a trial.
     *
     * @param broken the first condition that was violated, and when; null if none
     * @param healed seconds from the end of faults and updates until all routers agreed
     */
    public record Verdict(String broken, double healed) {}

    private final VirtualScheduler scheduler = new VirtualScheduler(START);
    private final Spec spec;
    private final List<ReplicatedType<?>> kinds;
    private final SimulatedPeerGroup company;
    private final GeneratedValues learning;
    private final SplittableRandom random;
    /** All values that were put in. */
    private final List<Said<?>> said = new ArrayList<>();

    private final Map<ReplicatedStore, SessionConsistency> needs = new HashMap<>();
    private final double end;
    private String broken;

    /** @param kinds {@link #KINDS}, possibly with deliberately broken types */
    private SharingTrial(Spec spec, List<ReplicatedType<?>> kinds, FaultPlan plan, long seed) {
        this.spec = spec;
        this.kinds = kinds;
        random = new SplittableRandom(seed);
        learning = new GeneratedValues(kinds, random.nextLong());
        company = new SimulatedPeerGroup(
                scheduler, spec.company(), plan, number -> RouterIncarnation.sharing(kinds), random.nextLong());
        end = START + Math.max(spec.seconds(), plan.over());
        news();
    }

    /** Runs a trial; the same seed and plan give the same verdict. */
    public static Verdict play(Spec spec, List<ReplicatedType<?>> kinds, FaultPlan plan, long seed) {
        return new SharingTrial(spec, kinds, plan, seed).play();
    }

    private Verdict play() {
        scheduler.runUntil(end);
        String apart = company.disagreement(kinds);
        while (apart != null && broken == null && scheduler.now() < end + spec.settle()) {
            scheduler.runUntil(scheduler.now() + LOOK);
            apart = company.disagreement(kinds);
        }
        broke(apart == null ? null : "no agreement: " + apart);
        kinds.forEach(this::compare);
        return new Verdict(broken, scheduler.now() - end);
    }

    private void broke(String what) {
        if (broken == null && what != null) {
            broken = String.format(Locale.ROOT, "%.3f s: %s", scheduler.now() - START, what);
        }
    }

    // ---- updates ----

    private void news() {
        scheduler.scheduleAfter(random.nextExponential() / spec.rate(), () -> {
            if (scheduler.now() < end) {
                learn(company.routers().get(random.nextInt(company.routers().size())));
                news();
            }
        });
    }

    private void learn(PeeredRouter by) {
        Said<?> next = by.awake() ? learning.next(by, scheduler.now()) : null;
        if (next != null && put(next) && next.kind() == SessionWrite.TYPE) {
            roam(next);
        }
    }

    private <V> boolean put(Said<V> next) {
        boolean taken = next.by().put(next.kind(), next.key(), next.value()) != null;
        if (taken) {
            said.add(next);
        }
        return taken;
    }

    // ---- sessions that read their writes at another router ----

    private void roam(Said<?> mark) {
        PeeredRouter to = company.routers().get(random.nextInt(company.routers().size()));
        scheduler.scheduleAfter(ROAM + ROAMING * random.nextDouble(), () -> {
            if (to.awake()) {
                read(mark, to);
            }
        });
    }

    private void read(Said<?> mark, PeeredRouter at) {
        SessionConsistency marks = needs.computeIfAbsent(at.shared(), shared -> new SessionConsistency(shared, ROAM));
        marks.publish(at.now());
        double need = marks.requiredPosition(SessionWrite.key(mark.key()), at.now());
        if (need < mark.at() && promised(mark, at)) {
            broke(String.format(
                    Locale.ROOT,
                    "session %s wrote at %s and came to %s %.3f s later, which asks for %.3f s less",
                    mark.key(),
                    mark.by(),
                    at,
                    scheduler.now() - mark.at(),
                    mark.at() - need));
        }
    }

    /**
     * Returns whether the session must read its write here: not if the incarnation that took the write has ended or may
     * have ended, nor if a clock is off.
     */
    private boolean promised(Said<?> mark, PeeredRouter at) {
        Member writer =
                mark.by().roster() == null ? null : mark.by().roster().self().member();
        boolean lives = mark.by().lives() == mark.life()
                && writer != null
                && (mark.by() == at || at.roster().possiblyServing(at.now()).contains(writer));
        return lives
                && Math.abs(at.now() - scheduler.now()) < CLOCKS
                && scheduler.now() - mark.at() > ROAM + CLOCKS
                && Math.abs(mark.by().now() - scheduler.now()) < CLOCKS;
    }

    // ---- contents of the copies at the end ----

    private <V> void compare(ReplicatedType<V> kind) {
        ReplicatedType<V> right = right(kind);
        var must = new HashMap<String, V>();
        var may = new HashMap<String, V>();
        for (Said<?> each : said) {
            if (each.kind() == kind) {
                Said<V> mine = own(each);
                may.merge(mine.key(), mine.value(), right::merge);
                if (mine.life() == mine.by().lives() && lasts(kind, mine)) {
                    must.merge(mine.key(), mine.value(), right::merge);
                }
            }
        }
        for (PeeredRouter router : company.routers()) {
            must.forEach((key, value) -> {
                V has = router.shared().get(kind, key);
                broke(
                        has != null && right.merge(has, value).equals(has)
                                ? null
                                : router + " lacks of " + kind.name() + " " + key + ": " + value + ", has " + has);
            });
            router.shared()
                    .forEach(
                            kind,
                            (key, has) -> broke(
                                    may.containsKey(key)
                                                    && right.merge(may.get(key), has)
                                                            .equals(may.get(key))
                                            ? null
                                            : router + " has of " + kind.name() + " what nobody put in, under " + key
                                                    + ": " + has));
        }
    }

    /**
     * Returns whether copies must still contain the value: its retention has not nearly ended, and no clock offset kept
     * it from being accepted.
     */
    private <V> boolean lasts(ReplicatedType<V> kind, Said<V> mine) {
        return kind.timestamp(mine.value()) + kind.retentionSeconds() > scheduler.now() + FADING
                && (!kind.clockDependent() || Math.abs(mine.by().now() - scheduler.now()) < CLOCKS);
    }

    @SuppressWarnings("unchecked") // the same type number implies the same value type
    private static <V> ReplicatedType<V> right(ReplicatedType<V> kind) {
        return (ReplicatedType<V>) KINDS.stream()
                .filter(one -> one.typeNumber() == kind.typeNumber())
                .findFirst()
                .orElse(kind);
    }

    @SuppressWarnings("unchecked") // the caller compared the type
    private static <V> Said<V> own(Said<?> each) {
        return (Said<V>) each;
    }
}
