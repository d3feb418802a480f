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
public record Stage(double share, double seconds, long samples, List<Guard> guards) {
    /**
     * With all sessions on the candidate no old version is left to compare with, and whatever befalls all would halt
     * it; so the last hundredth stays behind until the last stage has held.
     */
    static final double HIGHEST_SHARE = 0.99;
    /** Of one stage; each is shared for each command group by each router. */
    static final int MOST_GUARDS = 64;

    public Stage {
        guards = List.copyOf(guards);
    }

    void check(String key, double before, List<Fault> faults) {
        if (!(share > before) || share > HIGHEST_SHARE) {
            faults.add(new Fault(
                    key + ".share",
                    "must be above that of the stage before and at most " + HIGHEST_SHARE
                            + ", all sessions follow when the last stage has held"));
        }
        if (!(seconds >= 0) || seconds == Double.POSITIVE_INFINITY) {
            faults.add(new Fault(key + ".seconds", "must be 0 or more"));
        }
        if (samples < 1) {
            faults.add(new Fault(key + ".samples", "must be 1 or more"));
        }
        if (guards.isEmpty() || guards.size() > MOST_GUARDS) {
            faults.add(new Fault(key + ".guard", "needs 1 to " + MOST_GUARDS + " guards"));
        }
        Set<List<Object>> seen = new HashSet<>();
        for (int i = 0; i < guards.size(); i++) {
            guards.get(i).check(key + ".guard[" + i + "]", faults);
            if (!seen.add(List.of(guards.get(i).group(), guards.get(i).measure()))) {
                faults.add(new Fault(key + ".guard[" + i + "]", "watches what another guard of the stage watches"));
            }
        }
    }

    void write(FieldWriter out) {
        out.beginList().writeDouble(share).writeDouble(seconds).writeLong(samples).beginList();
        guards.forEach(guard -> guard.write(out));
        out.endList().endList();
    }

    static Stage read(FieldReader in) {
        return new Stage(in.readDouble(), in.readDouble(), in.readLong(), in.readLists(MOST_GUARDS, Guard::read));
    }
}
