package clayhook.lab;

import clayhook.lab.model.FleetSpec;
import clayhook.lab.model.LoopbackFleet;
import clayhook.lab.model.PeerLinkFactory;
import clayhook.lab.model.RunMetrics;
import clayhook.lab.model.SimulatedFleet;
import clayhook.lab.sharing.PeeredFleet;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import org.apache.commons.statistics.distribution.TDistribution;

/** Runs every variant of an experiment with every seed. The same experiment gives the same results. */
public final class Comparison {
    private static final double CONFIDENCE = 0.95;

    /** The runs of one variant, one per seed. */
    public record Played(Experiment.Variant variant, List<RunMetrics> runs) {
        /** Mean share of the possible benefit that was earned. */
        public double service() {
            return runs.stream().mapToDouble(RunMetrics::service).average().orElse(0);
        }
    }

    /** A mean and the half-width of its 95% confidence interval; the half-width is infinite for a single value. */
    public record Interval(double mean, double reach) {
        /** Computes the interval of identically distributed values, or of differences between pairs. */
        public static Interval of(double... figures) {
            double mean = 0;
            for (double figure : figures) {
                mean += figure / figures.length;
            }
            double squares = 0;
            for (double figure : figures) {
                squares += (figure - mean) * (figure - mean);
            }
            int n = figures.length;
            double quantile = n < 2
                    ? Double.POSITIVE_INFINITY
                    : TDistribution.of(n - 1).inverseCumulativeProbability((1 + CONFIDENCE) / 2);
            return new Interval(mean, n < 2 ? quantile : quantile * Math.sqrt(squares / (n - 1) / n));
        }
    }

    private Comparison() {}

    /**
     * Runs the experiment in virtual time.
     *
     * @param progress called with variant and seed before each run
     */
    public static List<Played> play(Experiment experiment, BiConsumer<String, Integer> progress) {
        var played = new ArrayList<Played>();
        for (Experiment.Variant variant : experiment.variants()) {
            var runs = new ArrayList<RunMetrics>();
            for (int seed : experiment.seeds()) {
                progress.accept(variant.name(), seed);
                PeerLinkFactory sharing = sharing(variant.fleet().contact(), experiment.peers());
                runs.add(new SimulatedFleet(variant.fleet(), experiment.failures(), seed, sharing)
                        .run(experiment.seconds()));
            }
            played.add(new Played(variant, runs));
        }
        return played;
    }

    private static PeerLinkFactory sharing(FleetSpec.Contact contact, Experiment.Peers peers) {
        return contact.shares()
                ? new PeeredFleet(contact, peers.medianLatency(), peers.loss(), peers.faults())
                : PeerLinkFactory.NONE;
    }

    /** Runs the experiment on loopback sockets, one run after the other; a run without a verdict is null. */
    public static List<Played> playOnSockets(Experiment experiment, BiConsumer<String, Integer> progress)
            throws InterruptedException {
        var played = new ArrayList<Played>();
        for (Experiment.Variant variant : experiment.variants()) {
            var runs = new ArrayList<RunMetrics>();
            for (int seed : experiment.seeds()) {
                progress.accept(variant.name(), seed);
                runs.add(new LoopbackFleet(variant.fleet(), seed).run(experiment.failures(), experiment.seconds()));
            }
            played.add(new Played(variant, runs));
        }
        return played;
    }

    /** Computes how much more service the other variant gives, over pairs of runs with the same seed. */
    public static Interval gain(Played base, Played other) {
        double[] gains = new double[base.runs().size()];
        for (int i = 0; i < gains.length; i++) {
            gains[i] = other.runs().get(i).service() - base.runs().get(i).service();
        }
        return Interval.of(gains);
    }
}
