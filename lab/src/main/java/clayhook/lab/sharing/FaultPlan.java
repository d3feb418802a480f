package clayhook.lab.sharing;

import clayhook.lab.sharing.SharingFault.Kind;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Faults in order of time. The printed form can be copied into an experiment file and replayed. */
public record FaultPlan(List<SharingFault> faults) {
    public static final FaultPlan NONE = new FaultPlan(List.of());

    /**
     * Relative weight with which each kind is drawn; the kinds that make membership lists and replicated copies diverge
     * weigh more.
     */
    private static final Map<Kind, Integer> WEIGHTS = Map.ofEntries(
            Map.entry(Kind.LOSS, 3),
            Map.entry(Kind.DELAY, 2),
            Map.entry(Kind.DOUBLE, 1),
            Map.entry(Kind.REORDER, 1),
            Map.entry(Kind.CUT, 3),
            Map.entry(Kind.SPLIT, 4),
            Map.entry(Kind.SLOW, 1),
            Map.entry(Kind.GARBLE, 1),
            Map.entry(Kind.FREEZE, 3),
            Map.entry(Kind.KILL, 3),
            Map.entry(Kind.CLOCK_OFF, 1),
            Map.entry(Kind.CLOCK_DRIFT, 1));
    /** Range of the duration in seconds: from a brief interruption to a freeze or network partition of minutes. */
    private static final double MIN_SECONDS = 0.2, MAX_SECONDS = 90;
    /** Duration in seconds at or below which a fault is not shortened further, so that shrinking terminates. */
    private static final double SHRUNK_SECONDS = 0.05;

    public FaultPlan {
        faults = faults.stream()
                .sorted(Comparator.comparingDouble(SharingFault::at))
                .toList();
    }

    /** Draws {@code count} faults among {@code routers} routers, all of which end by {@code until}. */
    public static FaultPlan draw(long seed, int count, int routers, double until) {
        var random = new SplittableRandom(seed);
        List<Kind> kinds = WEIGHTS.entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .flatMap(entry -> Collections.nCopies(entry.getValue(), entry.getKey()).stream())
                .toList();
        var faults = new ArrayList<SharingFault>();
        for (int i = 0; i < count; i++) {
            Kind kind = kinds.get(random.nextInt(kinds.size()));
            double at = random.nextDouble() * until;
            // The duration is uniform in its logarithm: most faults are short, a few last for minutes.
            double lasts = MIN_SECONDS * Math.pow(MAX_SECONDS / MIN_SECONDS, random.nextDouble());
            faults.add(new SharingFault(
                    at,
                    kind,
                    drawRouters(kind, routers, random),
                    Math.min(lasts, until - at),
                    drawAmount(kind, random)));
        }
        return new FaultPlan(faults);
    }

    private static List<Integer> drawRouters(Kind kind, int routers, SplittableRandom random) {
        int count =
                switch (kind) {
                    case CUT -> 2;
                    case SPLIT -> 1 + random.nextInt(Math.max(1, routers / 2));
                    case LOSS, DELAY, DOUBLE, REORDER, GARBLE ->
                        random.nextInt(3) == 0 ? 0 : 1 + random.nextInt(routers);
                    // Sometimes all routers are killed at once, so that no copy of the state survives.
                    case KILL -> random.nextInt(8) == 0 ? routers : 1 + random.nextInt(Math.max(1, routers / 4));
                    default -> 1 + random.nextInt(Math.max(1, routers / 4));
                };
        List<Integer> all = IntStream.range(0, routers).boxed().collect(Collectors.toCollection(ArrayList::new));
        for (int i = 0; i < count; i++) {
            Collections.swap(all, i, i + random.nextInt(routers - i));
        }
        return all.subList(0, Math.min(count, routers));
    }

    private static double drawAmount(Kind kind, SplittableRandom random) {
        double part = random.nextDouble();
        return switch (kind) {
            case LOSS, DOUBLE, REORDER, GARBLE -> 0.05 + 0.55 * part;
            case DELAY -> 0.005 * Math.pow(100, part);
            case SLOW -> 2_000 * Math.pow(20, part);
            // From well within the clock offset allowed to far beyond it, ahead or behind.
            case CLOCK_OFF -> (random.nextBoolean() ? 1 : -1) * 0.05 * Math.pow(1000, part);
            // The clock of a router is slewed towards the wall clock by at most this rate.
            case CLOCK_DRIFT -> (2 * part - 1) / 200;
            default -> 0;
        };
    }

    /** End of the last fault in seconds from the start; 0 without faults. */
    public double end() {
        return faults.stream().mapToDouble(SharingFault::end).max().orElse(0);
    }

    /**
     * Shrinks the plan to the fewest and shortest faults that still fail: leaves out each fault in turn while the
     * failure persists, then halves the durations.
     */
    public FaultPlan shrink(Predicate<FaultPlan> fails) {
        FaultPlan plan = this;
        boolean fewer = true;
        while (fewer) {
            fewer = false;
            for (int i = plan.faults.size() - 1; i >= 0; i--) {
                FaultPlan without = plan.withFault(i, null);
                if (fails.test(without)) {
                    plan = without;
                    fewer = true;
                }
            }
        }
        for (int i = 0; i < plan.faults.size(); i++) {
            FaultPlan shortened = plan;
            do {
                plan = shortened;
                SharingFault fault = plan.faults.get(i);
                shortened = plan.withFault(i, fault.withDuration(fault.lasts() / 2));
            } while (shortened.faults.get(i).lasts() > SHRUNK_SECONDS && fails.test(shortened));
        }
        return plan;
    }

    private FaultPlan withFault(int index, SharingFault fault) {
        var other = new ArrayList<>(faults);
        if (fault == null) {
            other.remove(index);
        } else {
            other.set(index, fault);
        }
        return new FaultPlan(other);
    }

    /** Returns the plan in the form of an experiment file. */
    @Override
    public String toString() {
        return faults.stream()
                .map(SharingFault::toString)
                .collect(Collectors.joining(",\n    ", "fault = [\n    ", ",\n]"));
    }
}
