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
import clayhook.lab.sharing.GeneratedValues.GeneratedValue;
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
    private static final double MIN_ROAM_SECONDS = 0.5, ROAM_RANGE_SECONDS = 5;
    /**
     * Maximum clock offset in seconds for guarantees that hold only if clocks agree; network delays make the offset
     * measurement that inaccurate.
     */
    private static final double MAX_CLOCK_OFFSET = 0.1;
    /** Seconds before the end of its retention from which an entry may be missing in copies. */
    private static final double EXPIRY_MARGIN = 8;
    /** Seconds between two checks whether all routers agree. */
    private static final double CHECK_INTERVAL = 0.25;

    /** The replicated types that routers share, ordered by type number. */
    public static final List<ReplicatedType<?>> TYPES =
            List.of(NodeObservation.TYPE, ListedEndpoint.TYPE, SessionWrite.TYPE, WriteOutcome.TYPE, QuotaUsage.TYPE);

    /**
     * Parameters of a trial.
     *
     * @param seconds seconds in which updates and faults occur
     * @param settle seconds after that within which all routers must agree
     * @param rate updates per second over all routers
     */
    public record Spec(SimulatedPeerGroup.Spec peerGroup, double seconds, double settle, double rate) {}

    /**
     * The result of a trial.
     *
     * @param violation the first condition that was violated, and when; null if none
     * @param agreementSeconds seconds from the end of faults and updates until all routers agreed
     */
    public record Verdict(String violation, double agreementSeconds) {}

    private final VirtualScheduler scheduler = new VirtualScheduler(START);
    private final Spec spec;
    private final List<ReplicatedType<?>> types;
    private final SimulatedPeerGroup peerGroup;
    private final GeneratedValues generator;
    private final SplittableRandom random;
    /** All values that were put in. */
    private final List<GeneratedValue<?>> putValues = new ArrayList<>();

    private final Map<ReplicatedStore, SessionConsistency> consistencyByStore = new HashMap<>();
    private final double end;
    private String violation;

    /** @param types {@link #TYPES}, possibly with deliberately broken types */
    private SharingTrial(Spec spec, List<ReplicatedType<?>> types, FaultPlan plan, long seed) {
        this.spec = spec;
        this.types = types;
        random = new SplittableRandom(seed);
        generator = new GeneratedValues(types, random.nextLong());
        peerGroup = new SimulatedPeerGroup(
                scheduler, spec.peerGroup(), plan, number -> RouterIncarnation.sharing(types), random.nextLong());
        end = START + Math.max(spec.seconds(), plan.end());
        scheduleNextUpdate();
    }

    /** Runs a trial; the same seed and plan give the same verdict. */
    public static Verdict play(Spec spec, List<ReplicatedType<?>> types, FaultPlan plan, long seed) {
        return new SharingTrial(spec, types, plan, seed).play();
    }

    private Verdict play() {
        scheduler.runUntil(end);
        String disagreement = peerGroup.disagreement(types);
        while (disagreement != null && violation == null && scheduler.now() < end + spec.settle()) {
            scheduler.runUntil(scheduler.now() + CHECK_INTERVAL);
            disagreement = peerGroup.disagreement(types);
        }
        recordViolation(disagreement == null ? null : "no agreement: " + disagreement);
        types.forEach(this::checkCopies);
        return new Verdict(violation, scheduler.now() - end);
    }

    private void recordViolation(String what) {
        if (violation == null && what != null) {
            violation = String.format(Locale.ROOT, "%.3f s: %s", scheduler.now() - START, what);
        }
    }

    // ---- updates ----

    private void scheduleNextUpdate() {
        scheduler.scheduleAfter(random.nextExponential() / spec.rate(), () -> {
            if (scheduler.now() < end) {
                putNextValue(peerGroup
                        .routers()
                        .get(random.nextInt(peerGroup.routers().size())));
                scheduleNextUpdate();
            }
        });
    }

    private void putNextValue(PeeredRouter router) {
        GeneratedValue<?> next = router.awake() ? generator.next(router, scheduler.now()) : null;
        if (next != null && put(next) && next.type() == SessionWrite.TYPE) {
            roam(next);
        }
    }

    private <V> boolean put(GeneratedValue<V> next) {
        boolean merged = next.router().put(next.type(), next.key(), next.value()) != null;
        if (merged) {
            putValues.add(next);
        }
        return merged;
    }

    // ---- sessions that read their writes at another router ----

    private void roam(GeneratedValue<?> write) {
        PeeredRouter to =
                peerGroup.routers().get(random.nextInt(peerGroup.routers().size()));
        scheduler.scheduleAfter(MIN_ROAM_SECONDS + ROAM_RANGE_SECONDS * random.nextDouble(), () -> {
            if (to.awake()) {
                read(write, to);
            }
        });
    }

    private void read(GeneratedValue<?> write, PeeredRouter at) {
        SessionConsistency consistency = consistencyByStore.computeIfAbsent(
                at.store(), shared -> new SessionConsistency(shared, MIN_ROAM_SECONDS));
        consistency.publish(at.now());
        double need = consistency.requiredPosition(SessionWrite.key(write.key()), at.now());
        if (need < write.at() && guaranteed(write, at)) {
            recordViolation(String.format(
                    Locale.ROOT,
                    "session %s wrote at %s and came to %s %.3f s later, which asks for %.3f s less",
                    write.key(),
                    write.router(),
                    at,
                    scheduler.now() - write.at(),
                    write.at() - need));
        }
    }

    /**
     * Returns whether the session must read its write here: not if the incarnation that took the write has ended or may
     * have ended, nor if a clock is off.
     */
    private boolean guaranteed(GeneratedValue<?> write, PeeredRouter at) {
        Member writer = write.router().membership() == null
                ? null
                : write.router().membership().self().member();
        boolean current = write.router().incarnations() == write.incarnation()
                && writer != null
                && (write.router() == at
                        || at.membership().possiblyServing(at.now()).contains(writer));
        return current
                && Math.abs(at.now() - scheduler.now()) < MAX_CLOCK_OFFSET
                && scheduler.now() - write.at() > MIN_ROAM_SECONDS + MAX_CLOCK_OFFSET
                && Math.abs(write.router().now() - scheduler.now()) < MAX_CLOCK_OFFSET;
    }

    // ---- contents of the copies at the end ----

    private <V> void checkCopies(ReplicatedType<V> type) {
        ReplicatedType<V> standard = standardType(type);
        var required = new HashMap<String, V>();
        var allowed = new HashMap<String, V>();
        for (GeneratedValue<?> value : putValues) {
            if (value.type() == type) {
                GeneratedValue<V> own = cast(value);
                allowed.merge(own.key(), own.value(), standard::merge);
                if (own.incarnation() == own.router().incarnations() && mustBePresent(type, own)) {
                    required.merge(own.key(), own.value(), standard::merge);
                }
            }
        }
        for (PeeredRouter router : peerGroup.routers()) {
            required.forEach((key, value) -> {
                V actual = router.store().get(type, key);
                recordViolation(
                        actual != null && standard.merge(actual, value).equals(actual)
                                ? null
                                : router + " lacks of " + type.name() + " " + key + ": " + value + ", has " + actual);
            });
            router.store()
                    .forEach(
                            type,
                            (key, actual) -> recordViolation(
                                    allowed.containsKey(key)
                                                    && standard.merge(allowed.get(key), actual)
                                                            .equals(allowed.get(key))
                                            ? null
                                            : router + " has of " + type.name() + " what nobody put in, under " + key
                                                    + ": " + actual));
        }
    }

    /**
     * Returns whether copies must still contain the value: its retention has not nearly ended, and no clock offset kept
     * it from being accepted.
     */
    private <V> boolean mustBePresent(ReplicatedType<V> type, GeneratedValue<V> own) {
        return type.timestamp(own.value()) + type.retentionSeconds() > scheduler.now() + EXPIRY_MARGIN
                && (!type.clockDependent() || Math.abs(own.router().now() - scheduler.now()) < MAX_CLOCK_OFFSET);
    }

    @SuppressWarnings("unchecked") // the same type number implies the same value type
    private static <V> ReplicatedType<V> standardType(ReplicatedType<V> type) {
        return (ReplicatedType<V>) TYPES.stream()
                .filter(candidate -> candidate.typeNumber() == type.typeNumber())
                .findFirst()
                .orElse(type);
    }

    @SuppressWarnings("unchecked") // the caller compared the type
    private static <V> GeneratedValue<V> cast(GeneratedValue<?> value) {
        return (GeneratedValue<V>) value;
    }
}
