package clayhook.lab.plan;

import clayhook.RequestClass.ConsistencyLevel;
import clayhook.lab.model.FleetSpec;

/**
 * Utilization of each resource of a fleet at peak load, by arithmetic alone; 1 is full use.
 *
 * @param replicas of the cores of the replicas of a replica set, if they serve all reads that they may
 * @param primary of the cores of the primary, by requests that only it may serve
 * @param all of all cores of a replica set
 * @param log of the apply thread of a replica
 */
public record Estimate(double replicas, double primary, double all, double log) {

    public static Estimate of(FleetSpec fleet) {
        double shares =
                fleet.commands().stream().mapToDouble(FleetSpec.Kind::share).sum();
        double rate = fleet.peak() / fleet.groups();
        double reads = 0;
        double own = 0;
        double writes = 0;
        for (FleetSpec.Kind kind : fleet.commands()) {
            double of = rate * kind.share() / shares;
            reads += kind.group().requiresPrimary() ? 0 : of * kind.work();
            own += kind.group().requiresPrimary() ? of * kind.work() : 0;
            writes += kind.group().consistency() == ConsistencyLevel.WRITE ? of : 0;
        }
        int cores = fleet.machine().cores();
        return new Estimate(
                fleet.replicas() == 0 ? 0 : reads / (cores * fleet.replicas()),
                own / cores,
                (reads + own) / (cores * (fleet.replicas() + 1)),
                writes * fleet.machine().apply());
    }

    /** Returns whether the given share of the work exceeds the capacity even with every core busy all the time. */
    boolean hopeless(double part) {
        return all * part > 1 || primary * part > 1;
    }
}
