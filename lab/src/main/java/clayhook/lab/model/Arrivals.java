package clayhook.lab.model;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/**
 * The sequence of requests and their arrival times from one seed; independent of their outcomes and of virtual or
 * wall-clock time.
 */
final class Arrivals {
    private final FleetSpec spec;
    private final double totalShare;
    private final UniformRandomProvider random;
    private final ZigguratSampler.NormalizedGaussian normal;
    private final ZigguratSampler.Exponential exponential;

    /**
     * A request.
     *
     * @param session session number; negative for none
     * @param work core seconds of work
     */
    record RequestArrival(FleetSpec.Kind kind, int group, int session, double work) {}

    Arrivals(FleetSpec spec, long seed) {
        this.spec = spec;
        totalShare = spec.commands().stream().mapToDouble(FleetSpec.Kind::share).sum();
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        normal = ZigguratSampler.NormalizedGaussian.of(random);
        exponential = ZigguratSampler.Exponential.of(random);
    }

    /**
     * Draws the seconds until the next request, exponentially distributed.
     *
     * @param since seconds from the start, which determine the current rate
     */
    double nextGapSeconds(double since) {
        return exponential.sample() / Math.max(spec.rateAt(since), 1e-9);
    }

    RequestArrival next() {
        double draw = random.nextDouble() * totalShare;
        FleetSpec.Kind kind = spec.commands().get(spec.commands().size() - 1);
        for (FleetSpec.Kind candidate : spec.commands()) {
            draw -= candidate.share();
            if (draw < 0) {
                kind = candidate;
                break;
            }
        }
        int group = 1 + random.nextInt(spec.groups());
        int session = spec.sessions() == 0 ? -1 : random.nextInt(spec.sessions());
        // The mean of the logarithm is chosen so that the mean of the work itself is kind.work().
        double work = kind.spread() == 0
                ? kind.work()
                : kind.work() * Math.exp(kind.spread() * normal.sample() - kind.spread() * kind.spread() / 2);
        return new RequestArrival(kind, group, session, work);
    }
}
