package clayhook.rollout;

import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * How a candidate gets from no session to all.
 *
 * @param alpha chance that a rollout without any difference is halted wrongly, all its guards and stages together
 * @param attempt 1 for the first; whoever raises it asks for a rollout anew after one of that set has ended
 */
public record RolloutPlan(List<RolloutStage> stages, double alpha, int attempt) {
    /** Of a plan. */
    static final int MAX_STAGES = 16;
    /** Half of the one in a hundred that is promised: routers look at copies of the figures that differ for moments. */
    public static final double DEFAULT_ALPHA = 0.005;
    /** The most that may be asked for. */
    static final double MAX_ALPHA = 0.01;

    public RolloutPlan {
        stages = List.copyOf(stages);
    }

    /** All that is wrong with it, each with its key; empty for a plan that can be taken. */
    public List<RolloutProblem> validate() {
        var faults = new ArrayList<RolloutProblem>();
        if (stages.isEmpty() || stages.size() > MAX_STAGES) {
            faults.add(new RolloutProblem("stage", "needs 1 to " + MAX_STAGES + " stages"));
        }
        double before = 0;
        for (int i = 0; i < stages.size(); i++) {
            stages.get(i).validate("stage[" + i + "]", before, faults);
            before = stages.get(i).share();
        }
        if (!(alpha > 0) || alpha > MAX_ALPHA) {
            faults.add(new RolloutProblem("alpha", "must be above 0 and at most " + MAX_ALPHA));
        }
        if (attempt < 1) {
            faults.add(new RolloutProblem("attempt", "must be 1 or more"));
        }
        return faults;
    }

    /** Of the alpha, what each guard of a stage may spend: the union bound over stages and guards. */
    double alphaPerGuard(RolloutStage stage) {
        return alpha / stages.size() / stage.guards().size();
    }

    /** The command groups that guards name, {@link Guard#ALL_CLASSES} among them if one does. */
    Set<String> requestClasses() {
        var groups = new TreeSet<String>();
        stages.forEach(stage -> stage.guards().forEach(guard -> groups.add(guard.requestClass())));
        return groups;
    }

    RolloutPlan withAttempt(int attempt) {
        return new RolloutPlan(stages, alpha, attempt);
    }

    void write(FieldWriter out) {
        out.beginList().writeDouble(alpha).writeLong(attempt).beginList();
        stages.forEach(stage -> stage.write(out));
        out.endList().endList();
    }

    static RolloutPlan read(FieldReader in) {
        in.beginList();
        double alpha = in.readDouble();
        int attempt = in.readIntBelow(Integer.MAX_VALUE);
        var plan = new RolloutPlan(in.readLists(MAX_STAGES, RolloutStage::read), alpha, attempt);
        in.endList();
        return plan;
    }
}
