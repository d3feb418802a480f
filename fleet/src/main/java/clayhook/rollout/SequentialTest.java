package clayhook.rollout;

/**
 * A sequential test of whether the candidate's requests end badly more often than the baseline's. Its error bound holds
 * however often and whenever it is evaluated.
 *
 * <p>Within one second at one router both variants see the same conditions: failed nodes, bursts, the time of day. If
 * the variants do not differ, each bad request therefore belongs to the candidate with a probability equal to the
 * candidate's share of the requests of that second, however many bad requests there are. The alternative hypotheses are
 * odds ratios by which the candidate might be worse. The product of the likelihood ratios is a supermartingale (draws
 * without replacement are bounded by draws with replacement, Hoeffding 1963), and so is its mean over the alternatives.
 * By Ville's inequality the probability that the mean ever exceeds 1/alpha is at most alpha (Wald's sequential test,
 * Robbins' mixture). The logarithms of the ratios add up over seconds and routers, so each router sums its own, and the
 * evaluation adds the sums of all routers.
 *
 * <p>Sessions, not requests, are assigned to the variants, so a single session that always fails would look like proof.
 * The evidence is therefore divided by the dispersion: the ratio of the variance of the bad share between sessions to
 * the variance that independent requests would have (quasi-likelihood).
 */
final class SequentialTest {
    /**
     * Odds ratios of candidate to baseline that serve as alternatives, with equal prior probabilities. They range from
     * a hardly relevant increase to a candidate that fails entirely.
     */
    static final double[] RATIOS = {1.1, 1.2, 1.35, 1.6, 2, 3, 5, 10};
    /** Resolution of replicated logarithms, which are integer multiples of this. */
    private static final double SUM_RESOLUTION = 1e-4;
    /**
     * Minimum number of session buckets with requests of a variant, because one or two sessions are no evidence about
     * the rules.
     */
    private static final int MIN_BUCKETS = 6;

    private SequentialTest() {}

    /**
     * Adds the requests of one interval at one router to the sums of log likelihood ratios.
     *
     * @param sums array in which one sum for each of the {@link #RATIOS}, from {@code offset} on, is changed
     * @param baseline number of requests of the baseline, of which {@code baselineBad} are bad
     * @param candidate number of requests of the candidate, of which {@code candidateBad} are bad
     */
    static void addInterval(
            double[] sums, int offset, long baseline, long baselineBad, long candidate, long candidateBad) {
        if (baselineBad + candidateBad == 0 || baseline == 0 || candidate == 0) {
            return;
        }
        double candidateShare = (double) candidate / (baseline + candidate);
        for (int i = 0; i < RATIOS.length; i++) {
            sums[offset + i] += candidateBad * Math.log(RATIOS[i])
                    - (baselineBad + candidateBad) * Math.log1p(candidateShare * (RATIOS[i] - 1));
        }
    }

    /** Converts a sum to the replicated fixed-point form. */
    static long toFixedPoint(double sum) {
        return Math.round(sum / SUM_RESOLUTION);
    }

    /** Natural logarithm of the evidence that the candidate is worse, computed from replicated sums. */
    static double logEvidence(long[] sums, int offset) {
        // Relative to the largest sum, so that the exponentials do not overflow.
        double max = Double.NEGATIVE_INFINITY;
        for (int i = 0; i < RATIOS.length; i++) {
            max = Math.max(max, sums[offset + i] * SUM_RESOLUTION);
        }
        double mean = 0;
        for (int i = 0; i < RATIOS.length; i++) {
            mean += Math.exp(sums[offset + i] * SUM_RESOLUTION - max) / RATIOS.length;
        }
        return max + Math.log(mean);
    }

    /**
     * The dispersion of the share of bad requests between sessions: the variance estimated by leaving out one session
     * bucket at a time (the jackknife, which also reveals a single session with many requests), divided by the variance
     * of a binomial distribution. Returns the larger value of the two variants, and at least 1.
     *
     * @param counts array that holds the buckets of the baseline from {@code offset} on, then those of the candidate
     * @param compared offset within a bucket of the counter of requests
     * @param bad offset within a bucket of the counter of bad requests
     * @return positive infinity if a variant has fewer than {@link #MIN_BUCKETS} buckets with requests
     */
    static double dispersion(long[] counts, int offset, int compared, int bad) {
        double baseline = variantDispersion(counts, offset, compared, bad);
        double candidate = variantDispersion(counts, offset + OutcomeCounters.SIZE, compared, bad);
        return Math.max(1, Math.max(baseline, candidate));
    }

    private static double variantDispersion(long[] counts, int start, int compared, int bad) {
        double requests = sumBuckets(counts, start, compared);
        double share = sumBuckets(counts, start, bad) / requests;
        int buckets = 0;
        double sum = 0;
        double sumOfSquares = 0;
        for (int bucketStart = start;
                bucketStart < start + OutcomeCounters.SIZE;
                bucketStart += OutcomeCounters.COUNTERS_PER_BUCKET) {
            if (counts[bucketStart + compared] > 0) {
                double shareOfOthers =
                        (share * requests - counts[bucketStart + bad]) / (requests - counts[bucketStart + compared]);
                double difference = shareOfOthers - share;
                buckets++;
                sum += difference;
                sumOfSquares += difference * difference;
            }
        }
        if (buckets < MIN_BUCKETS) {
            return Double.POSITIVE_INFINITY;
        }
        double variance = (sumOfSquares - sum * sum / buckets) * (buckets - 1) / buckets;
        return share > 0 && share < 1 ? variance * requests / (share * (1 - share)) : 1;
    }

    /**
     * Sum of one counter over all buckets of a variant.
     *
     * @param start index of the variant's first bucket in {@code counts}
     * @param position offset of the counter within a bucket
     */
    static long sumBuckets(long[] counts, int start, int position) {
        long sum = 0;
        for (int bucketStart = start;
                bucketStart < start + OutcomeCounters.SIZE;
                bucketStart += OutcomeCounters.COUNTERS_PER_BUCKET) {
            sum += counts[bucketStart + position];
        }
        return sum;
    }

    /** Whether the evidence proves that the candidate is worse, with an error probability of at most alpha. */
    static boolean isProven(double logEvidence, double alpha) {
        return logEvidence >= -Math.log(alpha);
    }
}
