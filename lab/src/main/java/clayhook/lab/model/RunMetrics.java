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
    private static final long MAX_MICROS = 3_600_000_000L;

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
        public final Histogram times = new Histogram(MAX_MICROS, 3);
    }

    private final double start;
    private final Map<RequestClass, Totals> totalsByClass = new LinkedHashMap<>();
    /** Earned and possible benefit, by second of arrival from the start. */
    private final TreeMap<Integer, double[]> benefitBySecond = new TreeMap<>();

    private final Map<String, Double> utilization = new LinkedHashMap<>();
    private Map<RuleAudit.RuleKept, Integer> violations = Map.of();
    private String firstViolation;
    private long events;

    RunMetrics(double start) {
        this.start = start;
    }

    private Totals totalsOf(RequestClass requestClass) {
        return totalsByClass.computeIfAbsent(requestClass, any -> new Totals());
    }

    private double[] secondOf(double arrived) {
        return benefitBySecond.computeIfAbsent((int) (arrived - start), any -> new double[2]);
    }

    void recordArrival(RequestClass requestClass, double now) {
        Totals totals = totalsOf(requestClass);
        totals.requests++;
        totals.possible += requestClass.priorityWeight();
        secondOf(now)[1] += requestClass.priorityWeight();
    }

    void recordAnswer(RequestClass requestClass, RoutingAction action, double responseSeconds, double arrived) {
        Totals totals = totalsOf(requestClass);
        if (action == RoutingAction.REJECT) {
            totals.rejected++;
        } else if (action == RoutingAction.FAIL) {
            totals.failed++;
        } else {
            totals.answered++;
            boolean inTime = responseSeconds <= requestClass.latencyObjectiveSeconds();
            totals.inTime += inTime ? 1 : 0;
            double earned = requestClass.priorityWeight() * (inTime ? 1 : requestClass.lateWeightFraction());
            totals.benefit += earned;
            secondOf(arrived)[0] += earned;
            totals.times.recordValue(Math.min(MAX_MICROS, Math.max(1, (long) (responseSeconds * 1e6))));
        }
    }

    void recordUtilization(String node, double fraction) {
        utilization.put(node, fraction);
    }

    void finish(Map<RuleAudit.RuleKept, Integer> violationsByRule, String firstViolationFound, long scheduledEvents) {
        violations = violationsByRule;
        firstViolation = firstViolationFound;
        events = scheduledEvents;
    }

    public Map<RequestClass, Totals> totalsByClass() {
        return totalsByClass;
    }

    /** Share of the possible benefit that was earned, 0 to 1; 1 if there were no requests. */
    public double service() {
        double possible = totalsByClass.values().stream()
                .mapToDouble(totals -> totals.possible)
                .sum();
        return possible == 0
                ? 1
                : totalsByClass.values().stream()
                                .mapToDouble(totals -> totals.benefit)
                                .sum()
                        / possible;
    }

    /** Share of the possible benefit that was earned, by second of arrival. */
    public Map<Integer, Double> serviceBySecond() {
        var shares = new TreeMap<Integer, Double>();
        benefitBySecond.forEach((second, sums) -> shares.put(second, sums[1] == 0 ? 1 : sums[0] / sums[1]));
        return shares;
    }

    /** Fraction of the core time that each node spent working, by node id. */
    public Map<String, Double> busy() {
        return utilization;
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
