package clayhook.rollout;

/**
 * Whether the candidate ends badly more often than the old version, in a test that may be looked at all the time.
 *
 * <p>Within one router and one second both versions live through the same: dead nodes, bursts, the hour. So, were there
 * no difference, each bad end would fall on the candidate with the chance that the candidate has of all ends there and
 * then, however many there are. Against that stand ratios by which the candidate might be worse. The product of the
 * likelihood ratios is a supermartingale (draws without replacement are bounded by draws with, Hoeffding 1963), and so
 * is their mean over the ratios: by Ville's inequality it ever exceeds 1/alpha with a chance of alpha at most (Wald's
 * sequential test, Robbins' mixture). Seconds and routers add up in logarithms, so each router sums its own and all are
 * added by whoever looks.
 *
 * <p>Sessions, not commands, are dealt to the versions, so one session that always fails would look like proof. The
 * evidence is divided by how much more the shares vary with the sessions than commands by themselves would let them
 * (quasi-likelihood).
 */
final class SequentialTest {
    /**
     * Of the candidate's odds to the old ones, all equally likely beforehand: from what matters little to what breaks
     * all.
     */
    static final double[] RATIOS = {1.1, 1.2, 1.35, 1.6, 2, 3, 5, 10};
    /** Logarithms are shared as whole numbers of this part. */
    private static final double SUM_RESOLUTION = 1e-4;
    /** Of a version, that must have commands: what a session or two do says nothing about the rules. */
    private static final int MIN_BUCKETS = 6;

    private SequentialTest() {}

    /** Adds what one router saw in one second: ends of each version and the bad ones among them. */
    static void addInterval(double[] sums, int from, long old, long oldBad, long candidate, long candidateBad) {
        if (oldBad + candidateBad == 0 || old == 0 || candidate == 0) {
            return;
        }
        double chance = (double) candidate / (old + candidate);
        for (int i = 0; i < RATIOS.length; i++) {
            sums[from + i] +=
                    candidateBad * Math.log(RATIOS[i]) - (oldBad + candidateBad) * Math.log1p(chance * (RATIOS[i] - 1));
        }
    }

    /** A sum as it is shared. */
    static long toFixedPoint(double sum) {
        return Math.round(sum / SUM_RESOLUTION);
    }

    /** The logarithm of the evidence for a worse candidate, from shared sums. */
    static double logEvidence(long[] sums, int from) {
        double most = Double.NEGATIVE_INFINITY;
        for (int i = 0; i < RATIOS.length; i++) {
            most = Math.max(most, sums[from + i] * SUM_RESOLUTION);
        }
        double mean = 0;
        for (int i = 0; i < RATIOS.length; i++) {
            mean += Math.exp(sums[from + i] * SUM_RESOLUTION - most) / RATIOS.length;
        }
        return most + Math.log(mean);
    }

    /**
     * How much more the share of bad ends varies with the sessions that were dealt than commands of their own would let
     * it: the variance by leaving out one bucket of sessions at a time (the jackknife, which one heavy session cannot
     * hide from) over that of a binomial; of the version where it is larger, never below 1.
     *
     * @param counts buckets of the old version, then of the candidate
     * @param all where in a bucket the commands stand, and {@code bad} the bad ones
     * @return infinite where a version has too few sessions to tell
     */
    static double dispersion(long[] counts, int from, int all, int bad) {
        return Math.max(
                1,
                Math.max(
                        versionDispersion(counts, from, all, bad),
                        versionDispersion(counts, from + CounterBatch.OutcomeCounters.SIZE, all, bad)));
    }

    private static double versionDispersion(long[] counts, int start, int all, int bad) {
        double commands = sumBuckets(counts, start, all);
        double share = sumBuckets(counts, start, bad) / commands;
        int buckets = 0;
        double sum = 0;
        double squares = 0;
        for (int at = start;
                at < start + CounterBatch.OutcomeCounters.SIZE;
                at += CounterBatch.OutcomeCounters.COUNTERS_PER_BUCKET) {
            if (counts[at + all] > 0) {
                double off = (share * commands - counts[at + bad]) / (commands - counts[at + all]) - share;
                buckets++;
                sum += off;
                squares += off * off;
            }
        }
        if (buckets < MIN_BUCKETS) {
            return Double.POSITIVE_INFINITY;
        }
        double variance = (squares - sum * sum / buckets) * (buckets - 1) / buckets;
        return share > 0 && share < 1 ? variance * commands / (share * (1 - share)) : 1;
    }

    /** Of a version's buckets. */
    static long sumBuckets(long[] counts, int start, int which) {
        long total = 0;
        for (int at = start;
                at < start + CounterBatch.OutcomeCounters.SIZE;
                at += CounterBatch.OutcomeCounters.COUNTERS_PER_BUCKET) {
            total += counts[at + which];
        }
        return total;
    }

    /** Whether it is proven, but for a chance of alpha. */
    static boolean isProven(double evidence, double alpha) {
        return evidence >= -Math.log(alpha);
    }
}
