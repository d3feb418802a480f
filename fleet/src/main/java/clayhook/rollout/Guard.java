package clayhook.rollout;

import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * A limit on a metric of one request class. It halts a rollout only if the counters prove that the candidate is worse
 * than the baseline is at the same time, and the candidate's metric exceeds one of the two limits.
 *
 * @param requestClass the request class, or {@link #ALL_CLASSES}
 * @param metric the metric that is compared between the variants
 * @param absoluteLimit upper limit of the candidate's metric: share of requests, or for {@link GuardMetric#SLOW} the
 *     99th percentile in seconds; infinite for none
 * @param regressionLimit upper limit of the increase over the baseline: difference of the shares of requests, or for
 *     {@link GuardMetric#SLOW} the relative increase of the 99th percentile, for example 0.2 for 20%; infinite for none
 */
public record Guard(String requestClass, GuardMetric metric, double absoluteLimit, double regressionLimit) {
    /** The name that stands for all request classes together. */
    public static final String ALL_CLASSES = "*";
    /**
     * Maximum length of a request class's name in UTF-8 bytes. The name is part of replicated keys, whose length is
     * limited.
     */
    static final int MAX_CLASS_BYTES = 64;

    /**
     * Validates this guard.
     *
     * @param key the guard's table in the operator's file
     * @param problems receives a problem for each invalid value
     */
    void validate(String key, List<RolloutProblem> problems) {
        if (requestClass.isEmpty() || requestClass.getBytes(StandardCharsets.UTF_8).length > MAX_CLASS_BYTES) {
            problems.add(new RolloutProblem(key + ".group", "must have 1 to " + MAX_CLASS_BYTES + " bytes"));
        }
        boolean isShare = metric != GuardMetric.SLOW;
        double max = isShare ? 1 : Double.POSITIVE_INFINITY;
        // The comparisons are negated so that NaN is a problem too.
        if (!(absoluteLimit > 0) || (isLimited(absoluteLimit) && absoluteLimit > max)) {
            problems.add(new RolloutProblem(key + ".most", "must be above 0" + (isShare ? " and at most 1" : "")));
        }
        if (!(regressionLimit >= 0) || (isLimited(regressionLimit) && regressionLimit > max)) {
            problems.add(new RolloutProblem(key + ".worse", "must not be below 0" + (isShare ? " nor above 1" : "")));
        }
        if (absoluteLimit == Double.POSITIVE_INFINITY && regressionLimit == Double.POSITIVE_INFINITY) {
            problems.add(new RolloutProblem(key, "needs most or worse"));
        }
    }

    private static boolean isLimited(double limit) {
        return limit != Double.POSITIVE_INFINITY;
    }

    /** Encodes the guard as one list. */
    void write(FieldWriter out) {
        out.beginList()
                .writeNullableString(requestClass)
                .writeLong(metric.code())
                .writeDouble(absoluteLimit)
                .writeDouble(regressionLimit)
                .endList();
    }

    /** Decodes the fields within the list; throws IllegalArgumentException if they are malformed. */
    static Guard read(FieldReader in) {
        String requestClass = in.readNonEmptyString();
        GuardMetric metric = GuardMetric.ofCode(in.readIntBelow(GuardMetric.values().length));
        return new Guard(requestClass, metric, in.readDouble(), in.readDouble());
    }
}
