package clayhook.rollout;

import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * A bound on what the candidate may do to a command group. It halts only where the figures prove that the candidate is
 * worse than the old version at the same time; both bounds say how much of that is bearable.
 *
 * @param group the command group, or {@link #ALL_CLASSES} for all taken together
 * @param most absolute: share of commands, or seconds at the 99th percentile for {@link GuardMetric#SLOW}; infinite for
 *     none
 * @param worse against the old version: share of commands more, or for {@link GuardMetric#SLOW} the part by which the
 *     99th percentile is longer, 0.2 for a fifth; infinite for none
 */
public record Guard(String requestClass, GuardMetric metric, double absoluteLimit, double regressionLimit) {
    /** All command groups together. */
    public static final String ALL_CLASSES = "*";
    /** Bytes of a command group's name in UTF-8; it stands in keys of shared values. */
    static final int MAX_CLASS_BYTES = 64;

    void validate(String key, List<RolloutProblem> faults) {
        if (requestClass.isEmpty() || requestClass.getBytes(StandardCharsets.UTF_8).length > MAX_CLASS_BYTES) {
            faults.add(new RolloutProblem(key + ".group", "must have 1 to " + MAX_CLASS_BYTES + " bytes"));
        }
        double end = metric == GuardMetric.SLOW ? Double.POSITIVE_INFINITY : 1;
        if (!(absoluteLimit > 0) || absoluteLimit != Double.POSITIVE_INFINITY && absoluteLimit > end) {
            faults.add(new RolloutProblem(
                    key + ".most", "must be above 0" + (metric == GuardMetric.SLOW ? "" : " and at most 1")));
        }
        if (!(regressionLimit >= 0) || regressionLimit != Double.POSITIVE_INFINITY && regressionLimit > end) {
            faults.add(new RolloutProblem(
                    key + ".worse", "must not be below 0" + (metric == GuardMetric.SLOW ? "" : " nor above 1")));
        }
        if (absoluteLimit == Double.POSITIVE_INFINITY && regressionLimit == Double.POSITIVE_INFINITY) {
            faults.add(new RolloutProblem(key, "needs most or worse"));
        }
    }

    void write(FieldWriter out) {
        out.beginList()
                .writeNullableString(requestClass)
                .writeLong(metric.ordinal())
                .writeDouble(absoluteLimit)
                .writeDouble(regressionLimit)
                .endList();
    }

    static Guard read(FieldReader in) {
        return new Guard(
                in.readNonEmptyString(),
                GuardMetric.values()[in.readIntBelow(GuardMetric.values().length)],
                in.readDouble(),
                in.readDouble());
    }
}
