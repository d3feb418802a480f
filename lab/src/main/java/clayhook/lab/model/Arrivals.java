package clayhook.lab.model;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/** What is asked and when, from one seed; the same whatever becomes of it, and in either time. */
final class Arrivals {
    private final FleetSpec spec;
    private final double shares;
    private final UniformRandomProvider random;
    private final ZigguratSampler.NormalizedGaussian normal;
    private final ZigguratSampler.Exponential exponential;

    /** One command; {@code session} is below 0 for none, {@code work} seconds of a core. */
    record RequestArrival(FleetSpec.Kind kind, int group, int session, double work) {}

    Arrivals(FleetSpec spec, long seed) {
        this.spec = spec;
        shares = spec.commands().stream().mapToDouble(FleetSpec.Kind::share).sum();
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        normal = ZigguratSampler.NormalizedGaussian.of(random);
        exponential = ZigguratSampler.Exponential.of(random);
    }

    /** Seconds until the next one: exponential at the rate of that moment, in seconds from the start. */
    double gap(double since) {
        return exponential.sample() / Math.max(spec.rateAt(since), 1e-9);
    }

    RequestArrival next() {
        double dice = random.nextDouble() * shares;
        FleetSpec.Kind kind = spec.commands().get(spec.commands().size() - 1);
        for (FleetSpec.Kind one : spec.commands()) {
            dice -= one.share();
            if (dice < 0) {
                kind = one;
                break;
            }
        }
        int group = 1 + random.nextInt(spec.groups());
        int session = spec.sessions() == 0 ? -1 : random.nextInt(spec.sessions());
        // A mean of the logarithm such that the mean of the work itself is as given.
        double work = kind.spread() == 0
                ? kind.work()
                : kind.work() * Math.exp(kind.spread() * normal.sample() - kind.spread() * kind.spread() / 2);
        return new RequestArrival(kind, group, session, work);
    }
}
