package clayhook.rollout;

import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * One stage of a rollout plan.
 *
 * @param share share of all sessions that get the candidate, above 0 and at most 0.99
 * @param minSeconds minimum duration of the stage in seconds
 * @param minSamples minimum number of requests of the candidate in each guarded request class
 * @param guards the guards that are evaluated during the stage
 */
public record RolloutStage(double share, double minSeconds, long minSamples, List<Guard> guards) {
    /**
     * Upper bound of a stage's share. If all sessions had the candidate, there would be no baseline to compare it with,
     * and every incident would halt the rollout. The remaining 1% of sessions therefore gets the candidate only after
     * the last stage.
     */
    static final double MAX_SHARE = 0.99;
    /** Maximum number of guards of a stage, because every router replicates counters for each guarded request class. */
    static final int MAX_GUARDS = 64;

    /** Creates a stage with a copy of the list of guards. */
    public RolloutStage {
        guards = List.copyOf(guards);
    }

    /**
     * Validates this stage and its guards.
     *
     * @param key the stage's table in the operator's file
     * @param previousShare share of the previous stage; 0 for the first stage
     * @param problems receives a problem for each invalid value
     */
    void validate(String key, double previousShare, List<RolloutProblem> problems) {
        // The comparisons are negated so that NaN is a problem too.
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
        Set<List<Object>> guardedMetrics = new HashSet<>();
        for (int i = 0; i < guards.size(); i++) {
            Guard guard = guards.get(i);
            String guardKey = key + ".guard[" + i + "]";
            guard.validate(guardKey, problems);
            if (!guardedMetrics.add(List.of(guard.requestClass(), guard.metric()))) {
                problems.add(new RolloutProblem(guardKey, "watches what another guard of the stage watches"));
            }
        }
    }

    /** Encodes the stage as one list. */
    void write(FieldWriter out) {
        out.beginList()
                .writeDouble(share)
                .writeDouble(minSeconds)
                .writeLong(minSamples)
                .beginList();
        guards.forEach(guard -> guard.write(out));
        out.endList().endList();
    }

    /** Decodes the fields within the list; throws IllegalArgumentException if they are malformed. */
    static RolloutStage read(FieldReader in) {
        return new RolloutStage(in.readDouble(), in.readDouble(), in.readLong(), in.readLists(MAX_GUARDS, Guard::read));
    }
}
