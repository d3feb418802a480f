package clayhook.lab.plan;

import clayhook.RequestClass.ConsistencyLevel;
import clayhook.lab.model.FleetSpec;

/**
 * What a fleet is asked to do at its peak, by arithmetic alone: parts of what there is of each resource.
 *
 * @param replicas of the cores of a group's replicas, if they take all reads that they may
 * @param primary of the cores of a group's primary, for what it alone may take
 * @param all of the cores of a group
 * @param log of a replica's applying thread
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

    /** Not even with every core at work all the time could that part of the work be done. */
    boolean hopeless(double part) {
        return all * part > 1 || primary * part > 1;
    }
}
