package clayhook.lab.model;

import clayhook.Decision.RoutingAction;
import clayhook.RequestClass;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Results of a run: by request class, by second and by node. */
public final class RunMetrics {
    /** Upper bound of the response times in microseconds; no client waits longer. */
    private static final long LONGEST = 3_600_000_000L;

    /** Counts and response times of one request class. */
    public static final class Totals {
        public long requests;
        public long answered;
        public long inTime;
        public long rejected;
        public long failed;
        public double benefit;
        public double possible;
        /** Response times in microseconds, from arrival to final answer. */
        public final Histogram times = new Histogram(LONGEST, 3);
    }

    private final double start;
    private final Map<RequestClass, Totals> totalsByClass = new LinkedHashMap<>();
    /** Earned and possible benefit, by second of arrival from the start. */
    private final TreeMap<Integer, double[]> seconds = new TreeMap<>();

    private final Map<String, Double> busy = new LinkedHashMap<>();
    private Map<RuleAudit.RuleKept, Integer> violations = Map.of();
    private String firstViolation;
    private long events;

    RunMetrics(double start) {
        this.start = start;
    }

    private Totals of(RequestClass group) {
        return totalsByClass.computeIfAbsent(group, any -> new Totals());
    }

    private double[] second(double arrived) {
        return seconds.computeIfAbsent((int) (arrived - start), any -> new double[2]);
    }

    void asked(RequestClass group, double now) {
        Totals of = of(group);
        of.requests++;
        of.possible += group.priorityWeight();
        second(now)[1] += group.priorityWeight();
    }

    void answered(RequestClass group, RoutingAction verdict, double took, double arrived) {
        Totals of = of(group);
        if (verdict == RoutingAction.REJECT) {
            of.rejected++;
        } else if (verdict == RoutingAction.FAIL) {
            of.failed++;
        } else {
            of.answered++;
            boolean inTime = took <= group.latencyObjectiveSeconds();
            of.inTime += inTime ? 1 : 0;
            double earned = group.priorityWeight() * (inTime ? 1 : group.lateWeightFraction());
            of.benefit += earned;
            second(arrived)[0] += earned;
            of.times.recordValue(Math.min(LONGEST, Math.max(1, (long) (took * 1e6))));
        }
    }

    void worked(String node, double part) {
        busy.put(node, part);
    }

    void ended(Map<RuleAudit.RuleKept, Integer> rules, String first, long made) {
        violations = rules;
        firstViolation = first;
        events = made;
    }

    public Map<RequestClass, Totals> totalsByClass() {
        return totalsByClass;
    }

    /** Share of the possible benefit that was earned, 0 to 1; 1 if there were no requests. */
    public double service() {
        double possible =
                totalsByClass.values().stream().mapToDouble(of -> of.possible).sum();
        return possible == 0
                ? 1
                : totalsByClass.values().stream().mapToDouble(of -> of.benefit).sum() / possible;
    }

    /** Share of the possible benefit that was earned, by second of arrival. */
    public Map<Integer, Double> serviceBySecond() {
        var shares = new TreeMap<Integer, Double>();
        seconds.forEach((second, sums) -> shares.put(second, sums[1] == 0 ? 1 : sums[0] / sums[1]));
        return shares;
    }

    /** Fraction of the core time that each node spent working, by node id. */
    public Map<String, Double> busy() {
        return busy;
    }

    public Map<RuleAudit.RuleKept, Integer> violations() {
        return violations;
    }

    /** Description of the first violation, or null. */
    public String firstViolation() {
        return firstViolation;
    }

    public long events() {
        return events;
    }
}
