package clayhook.rollout;

import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * How a candidate gets from no session to all sessions.
 *
 * @param stages in the order in which they follow each other
 * @param alpha probability that a rollout without any difference is halted, over all its guards and stages together
 * @param attempt 1 for the first; a higher one asks for a new rollout of a rule set after one has ended
 */
public record RolloutPlan(List<RolloutStage> stages, double alpha, int attempt) {
    /** Stages of a plan at most. */
    static final int MAX_STAGES = 16;
    /** Half of the documented one in a hundred, as routers evaluate copies of the counters that differ for moments. */
    public static final double DEFAULT_ALPHA = 0.005;
    /** The highest alpha that a plan may have. */
    static final double MAX_ALPHA = 0.01;

    /** Copies the list of stages. */
    public RolloutPlan {
        stages = List.copyOf(stages);
    }

    /** All that is wrong with the plan, each with its key; empty for a valid plan. The list may be changed. */
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

    /** The part of alpha that each guard of a stage may use: the union bound over stages and guards. */
    double alphaPerGuard(RolloutStage stage) {
        return alpha / stages.size() / stage.guards().size();
    }

    /** The request classes of all guards, including {@link Guard#ALL_CLASSES} if a guard names it. */
    Set<String> requestClasses() {
        var classes = new TreeSet<String>();
        stages.forEach(stage -> stage.guards().forEach(guard -> classes.add(guard.requestClass())));
        return classes;
    }

    /** The same plan for another attempt. */
    RolloutPlan withAttempt(int newAttempt) {
        return new RolloutPlan(stages, alpha, newAttempt);
    }

    /** Encodes the plan as a list of its own. */
    void write(FieldWriter out) {
        out.beginList().writeDouble(alpha).writeLong(attempt).beginList();
        stages.forEach(stage -> stage.write(out));
        out.endList().endList();
    }

    /** Decodes what {@link #write} encoded; throws IllegalArgumentException for malformed fields. */
    static RolloutPlan read(FieldReader in) {
        in.beginList();
        double alpha = in.readDouble();
        int attempt = in.readIntBelow(Integer.MAX_VALUE);
        var plan = new RolloutPlan(in.readLists(MAX_STAGES, RolloutStage::read), alpha, attempt);
        in.endList();
        return plan;
    }
}
