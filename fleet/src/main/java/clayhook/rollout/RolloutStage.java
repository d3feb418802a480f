package clayhook.rollout;

import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * One step of a rollout.
 *
 * @param share of all sessions that get the candidate, above 0
 * @param seconds that it lasts at least
 * @param samples commands of the candidate that each guarded command group must have had at least
 */
public record RolloutStage(double share, double minSeconds, long minSamples, List<Guard> guards) {
    /**
     * With all sessions on the candidate no old version is left to compare with, and whatever befalls all would halt
     * it; so the last hundredth stays behind until the last stage has held.
     */
    static final double MAX_SHARE = 0.99;
    /** Of one stage; each is shared for each command group by each router. */
    static final int MAX_GUARDS = 64;

    public RolloutStage {
        guards = List.copyOf(guards);
    }

    void validate(String key, double before, List<RolloutProblem> faults) {
        if (!(share > before) || share > MAX_SHARE) {
            faults.add(new RolloutProblem(
                    key + ".share",
                    "must be above that of the stage before and at most " + MAX_SHARE
                            + ", all sessions follow when the last stage has held"));
        }
        if (!(minSeconds >= 0) || minSeconds == Double.POSITIVE_INFINITY) {
            faults.add(new RolloutProblem(key + ".seconds", "must be 0 or more"));
        }
        if (minSamples < 1) {
            faults.add(new RolloutProblem(key + ".samples", "must be 1 or more"));
        }
        if (guards.isEmpty() || guards.size() > MAX_GUARDS) {
            faults.add(new RolloutProblem(key + ".guard", "needs 1 to " + MAX_GUARDS + " guards"));
        }
        Set<List<Object>> seen = new HashSet<>();
        for (int i = 0; i < guards.size(); i++) {
            guards.get(i).validate(key + ".guard[" + i + "]", faults);
            if (!seen.add(List.of(guards.get(i).requestClass(), guards.get(i).metric()))) {
                faults.add(new RolloutProblem(
                        key + ".guard[" + i + "]", "watches what another guard of the stage watches"));
            }
        }
    }

    void write(FieldWriter out) {
        out.beginList()
                .writeDouble(share)
                .writeDouble(minSeconds)
                .writeLong(minSamples)
                .beginList();
        guards.forEach(guard -> guard.write(out));
        out.endList().endList();
    }

    static RolloutStage read(FieldReader in) {
        return new RolloutStage(in.readDouble(), in.readDouble(), in.readLong(), in.readLists(MAX_GUARDS, Guard::read));
    }
}
