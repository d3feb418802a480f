package clayhook.rollout;

import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * The plan by which the share of sessions that get a candidate grows from none to all.
 *
 * @param stages the stages in order
 * @param alpha maximum probability that a rollout whose variants do not differ is halted, over all guards and stages
 *     together
 * @param attempt number of the attempt, from 1; a higher number requests another rollout of a rule set after an earlier
 *     one has ended
 */
public record RolloutPlan(List<RolloutStage> stages, double alpha, int attempt) {
    /** Maximum number of stages of a plan. */
    static final int MAX_STAGES = 16;
    /** Half of the documented 1%, because routers evaluate copies of the counters that differ briefly. */
    public static final double DEFAULT_ALPHA = 0.005;
    /** Upper bound of a plan's alpha. */
    static final double MAX_ALPHA = 0.01;

    /** Creates a plan with a copy of the list of stages. */
    public RolloutPlan {
        stages = List.copyOf(stages);
    }

    /** Validates the plan. Returns a modifiable list of all problems, each with its key; empty for a valid plan. */
    public List<RolloutProblem> validate() {
        var problems = new ArrayList<RolloutProblem>();
        if (stages.isEmpty() || stages.size() > MAX_STAGES) {
            problems.add(new RolloutProblem("stage", "needs 1 to " + MAX_STAGES + " stages"));
        }
        double previousShare = 0;
        for (int i = 0; i < stages.size(); i++) {
            stages.get(i).validate("stage[" + i + "]", previousShare, problems);
            previousShare = stages.get(i).share();
        }
        if (!(alpha > 0) || alpha > MAX_ALPHA) {
            problems.add(new RolloutProblem("alpha", "must be above 0 and at most " + MAX_ALPHA));
        }
        if (attempt < 1) {
            problems.add(new RolloutProblem("attempt", "must be 1 or more"));
        }
        return problems;
    }

    /** The share of alpha for each guard of a stage, by the union bound over stages and guards. */
    double alphaPerGuard(RolloutStage stage) {
        return alpha / stages.size() / stage.guards().size();
    }

    /** The request classes of all guards, including {@link Guard#ALL_CLASSES} if a guard names it. */
    Set<String> requestClasses() {
        var classes = new TreeSet<String>();
        stages.forEach(stage -> stage.guards().forEach(guard -> classes.add(guard.requestClass())));
        return classes;
    }

    /** The same plan with another attempt number. */
    RolloutPlan withAttempt(int newAttempt) {
        return new RolloutPlan(stages, alpha, newAttempt);
    }

    /** Encodes the plan as one list. */
    void write(FieldWriter out) {
        out.beginList().writeDouble(alpha).writeLong(attempt).beginList();
        stages.forEach(stage -> stage.write(out));
        out.endList().endList();
    }

    /** Decodes the list that {@link #write} encodes; throws IllegalArgumentException for malformed fields. */
    static RolloutPlan read(FieldReader in) {
        in.beginList();
        double alpha = in.readDouble();
        int attempt = in.readIntBelow(Integer.MAX_VALUE);
        var plan = new RolloutPlan(in.readLists(MAX_STAGES, RolloutStage::read), alpha, attempt);
        in.endList();
        return plan;
    }
}
