package clayhook.rollout;

/**
 * A sequential test of whether the candidate's requests end badly more often than the baseline's. It may be evaluated
 * at any time and any number of times.
 *
 * <p>Within one router and one second both variants are exposed to the same conditions: dead nodes, bursts, the time of
 * day. Without a difference, each bad end would therefore fall on the candidate with a probability equal to the
 * candidate's share of the requests of that second, however many bad ends there are. The alternatives are odds ratios
 * by which the candidate might be worse. The product of the likelihood ratios is a supermartingale (draws without
 * replacement are bounded by draws with replacement, Hoeffding 1963), and so is its mean over the alternatives: by
 * Ville's inequality the mean ever exceeds 1/alpha with a probability of alpha at most (Wald's sequential test,
 * Robbins' mixture). Seconds and routers add up in logarithms, so each router sums its own, and whoever evaluates the
 * test adds the routers' sums.
 *
 * <p>Sessions, not requests, are assigned to the variants, so one session that always fails would look like proof. The
 * evidence is therefore divided by the dispersion: by how much more the bad shares vary between sessions than
 * independent requests would (quasi-likelihood).
 */
final class SequentialTest {
    /** Odds ratios of candidate to baseline, all equally likely a priori: from hardly relevant to entirely broken. */
    static final double[] RATIOS = {1.1, 1.2, 1.35, 1.6, 2, 3, 5, 10};
    /** Logarithms are replicated as integer multiples of this. */
    private static final double SUM_RESOLUTION = 1e-4;
    /** Session buckets of a variant that must have requests: one or two sessions say nothing about the rules. */
    private static final int MIN_BUCKETS = 6;

    private SequentialTest() {}

    /**
     * Adds what one router has seen in one second to the sums of log likelihood ratios.
     *
     * @param sums changed from {@code offset} on, one sum for each of the {@link #RATIOS}
     * @param baseline requests of the baseline, {@code baselineBad} of them bad
     * @param candidate requests of the candidate, {@code candidateBad} of them bad
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

    /** A sum as it is replicated. */
    static long toFixedPoint(double sum) {
        return Math.round(sum / SUM_RESOLUTION);
    }

    /** The natural logarithm of the evidence for a worse candidate, from replicated sums. */
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
     * How much more the share of bad requests varies between sessions than that of independent requests would: the
     * variance found by leaving out one bucket of sessions at a time (the jackknife, which shows a single heavy session
     * too) over that of a binomial distribution; of the variant where it is larger, never below 1.
     *
     * @param counts the buckets of the baseline from {@code offset} on, then those of the candidate
     * @param compared position within a bucket of the requests, and {@code bad} that of the bad ones
     * @return infinite where a variant has too few sessions for an estimate
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
        double squares = 0;
        for (int at = start; at < start + OutcomeCounters.SIZE; at += OutcomeCounters.COUNTERS_PER_BUCKET) {
            if (counts[at + compared] > 0) {
                double shareOfOthers = (share * requests - counts[at + bad]) / (requests - counts[at + compared]);
                double difference = shareOfOthers - share;
                buckets++;
                sum += difference;
                squares += difference * difference;
            }
        }
        if (buckets < MIN_BUCKETS) {
            return Double.POSITIVE_INFINITY;
        }
        double variance = (squares - sum * sum / buckets) * (buckets - 1) / buckets;
        return share > 0 && share < 1 ? variance * requests / (share * (1 - share)) : 1;
    }

    /**
     * Sum of one counter over the buckets of a variant.
     *
     * @param start where the variant's buckets begin
     * @param position of the counter within a bucket
     */
    static long sumBuckets(long[] counts, int start, int position) {
        long sum = 0;
        for (int at = start; at < start + OutcomeCounters.SIZE; at += OutcomeCounters.COUNTERS_PER_BUCKET) {
            sum += counts[at + position];
        }
        return sum;
    }

    /** Whether a worse candidate is proven, with an error probability of alpha. */
    static boolean isProven(double logEvidence, double alpha) {
        return logEvidence >= -Math.log(alpha);
    }
}
