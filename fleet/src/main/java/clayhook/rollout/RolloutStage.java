package clayhook.rollout;

import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * One step of a rollout.
 *
 * @param share of all sessions that get the candidate, above 0 and at most 0.99
 * @param minSeconds how long the stage lasts at least
 * @param minSamples requests of the candidate that each guarded request class must have had at least
 * @param guards limits that are evaluated during the stage
 */
public record RolloutStage(double share, double minSeconds, long minSamples, List<Guard> guards) {
    /**
     * With all sessions on the candidate there would be no baseline to compare with, so that every incident would halt
     * the rollout. The last hundredth therefore follows only when the last stage is over.
     */
    static final double MAX_SHARE = 0.99;
    /** Guards of a stage at most; every router replicates counters for each guarded request class. */
    static final int MAX_GUARDS = 64;

    /** Copies the list of guards. */
    public RolloutStage {
        guards = List.copyOf(guards);
    }

    /** Adds to {@code problems} what is wrong with this stage, whose table in the operator's file is {@code key}. */
    void validate(String key, double previousShare, List<RolloutProblem> problems) {
        // Negated comparisons, so that NaN is a problem too.
        if (!(share > previousShare) || share > MAX_SHARE) {
            problems.add(new RolloutProblem(
                    key + ".share",
                    "must be above that of the stage before and at most " + MAX_SHARE
                            + ", all sessions follow when the last stage is over"));
        }
        if (!(minSeconds >= 0) || minSeconds == Double.POSITIVE_INFINITY) {
            problems.add(new RolloutProblem(key + ".seconds", "must be 0 or more"));
        }
        if (minSamples < 1) {
            problems.add(new RolloutProblem(key + ".samples", "must be 1 or more"));
        }
        if (guards.isEmpty() || guards.size() > MAX_GUARDS) {
            problems.add(new RolloutProblem(key + ".guard", "needs 1 to " + MAX_GUARDS + " guards"));
        }
        Set<List<Object>> watched = new HashSet<>();
        for (int i = 0; i < guards.size(); i++) {
            Guard guard = guards.get(i);
            String guardKey = key + ".guard[" + i + "]";
            guard.validate(guardKey, problems);
            if (!watched.add(List.of(guard.requestClass(), guard.metric()))) {
                problems.add(new RolloutProblem(guardKey, "watches what another guard of the stage watches"));
            }
        }
    }

    /** Encodes the stage as a list of its own. */
    void write(FieldWriter out) {
        out.beginList()
                .writeDouble(share)
                .writeDouble(minSeconds)
                .writeLong(minSamples)
                .beginList();
        guards.forEach(guard -> guard.write(out));
        out.endList().endList();
    }

    /** Decodes the fields within the list; throws IllegalArgumentException for malformed ones. */
    static RolloutStage read(FieldReader in) {
        return new RolloutStage(in.readDouble(), in.readDouble(), in.readLong(), in.readLists(MAX_GUARDS, Guard::read));
    }
}
