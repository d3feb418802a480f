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
        double totalShare =
                fleet.commands().stream().mapToDouble(FleetSpec.Kind::share).sum();
        double rate = fleet.peak() / fleet.groups();
        double replicaWork = 0;
        double primaryWork = 0;
        double writes = 0;
        for (FleetSpec.Kind kind : fleet.commands()) {
            double classRate = rate * kind.share() / totalShare;
            replicaWork += kind.group().requiresPrimary() ? 0 : classRate * kind.work();
            primaryWork += kind.group().requiresPrimary() ? classRate * kind.work() : 0;
            writes += kind.group().consistency() == ConsistencyLevel.WRITE ? classRate : 0;
        }
        int cores = fleet.machine().cores();
        return new Estimate(
                fleet.replicas() == 0 ? 0 : replicaWork / (cores * fleet.replicas()),
                primaryWork / cores,
                (replicaWork + primaryWork) / (cores * (fleet.replicas() + 1)),
                writes * fleet.machine().apply());
    }

    /** Returns whether the given share of the work exceeds the capacity even with every core busy all the time. */
    boolean exceedsCapacity(double fraction) {
        return all * fraction > 1 || primary * fraction > 1;
    }
}
