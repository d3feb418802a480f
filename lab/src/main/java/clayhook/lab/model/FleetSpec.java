package clayhook.lab.model;

import clayhook.RequestClass;
import java.util.List;

/**
 * A fleet and the load on it. Times are seconds.
 *
 * @param groups of nodes, each with one primary and {@code replicas}
 * @param zones over which nodes and routers are laid out by turns
 * @param way of a message between any two, one way
 * @param election without a primary until a successor takes over
 * @param listDelay until routers are told of a change
 * @param reports nodes tell their load with answers
 * @param commands what is asked
 * @param rate commands a second, over all routers
 * @param phases parts of the run in which the rate is a multiple
 * @param sessions that read what they wrote; 0 for none
 * @param contact how routers come to know what others do
 */
public record FleetSpec(
        int groups,
        int replicas,
        int routers,
        List<String> zones,
        MachineSpec machine,
        double way,
        double election,
        double listDelay,
        boolean reports,
        boolean replicasCheck,
        List<Kind> commands,
        double rate,
        List<Phase> phases,
        int sessions,
        Contact contact) {

    /**
     * How routers come to know what others do.
     *
     * @param shares they are peers
     * @param marksCarried a session's read tells when it last wrote; otherwise routers must know
     * @param listSpread seconds over which routers hear of a change of the list, each at a time of its own
     * @param roam seconds after the answer to its write in which a session stays with the router that gave it
     */
    public record Contact(boolean shares, boolean marksCarried, double listSpread, double roam) {
        /** Alone, with clients that carry marks, and told at once. */
        public static final Contact NONE = new Contact(false, true, 0, 0);
    }

    /** Of routers that share nothing and are told at once. */
    public FleetSpec(
            int groups,
            int replicas,
            int routers,
            List<String> zones,
            MachineSpec machine,
            double way,
            double election,
            double listDelay,
            boolean reports,
            boolean replicasCheck,
            List<Kind> commands,
            double rate,
            List<Phase> phases,
            int sessions) {
        this(
                groups,
                replicas,
                routers,
                zones,
                machine,
                way,
                election,
                listDelay,
                reports,
                replicasCheck,
                commands,
                rate,
                phases,
                sessions,
                Contact.NONE);
    }

    /**
     * A command group in the load.
     *
     * @param share of the commands
     * @param work seconds of a core, on average
     * @param spread of the work: the sigma of its logarithm; 0 for always the same
     */
    public record Kind(RequestClass group, double share, double work, double spread) {}

    /** From then on, in seconds from the start, the rate is that multiple. */
    public record Phase(double from, double factor) {}

    /** The same with a load that many times as high. */
    public FleetSpec loaded(double factor) {
        return new FleetSpec(
                groups,
                replicas,
                routers,
                zones,
                machine,
                way,
                election,
                listDelay,
                reports,
                replicasCheck,
                commands,
                rate * factor,
                phases,
                sessions,
                contact);
    }

    public FleetSpec with(MachineSpec other) {
        return new FleetSpec(
                groups,
                replicas,
                routers,
                zones,
                other,
                way,
                election,
                listDelay,
                reports,
                replicasCheck,
                commands,
                rate,
                phases,
                sessions,
                contact);
    }

    public FleetSpec withReplicas(int count) {
        return new FleetSpec(
                groups,
                count,
                routers,
                zones,
                machine,
                way,
                election,
                listDelay,
                reports,
                replicasCheck,
                commands,
                rate,
                phases,
                sessions,
                contact);
    }

    /** The highest rate of any phase. */
    public double peak() {
        return rate
                * Math.max(
                        phases.stream().anyMatch(phase -> phase.from() == 0) ? 0 : 1,
                        phases.stream().mapToDouble(Phase::factor).max().orElse(1));
    }

    double rateAt(double since) {
        double factor = 1;
        for (Phase phase : phases) {
            factor = since >= phase.from() ? phase.factor() : factor;
        }
        return rate * factor;
    }
}
