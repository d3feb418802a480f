package clayhook.lab.model;

import clayhook.RequestClass;
import java.util.List;

/**
 * A fleet and its load. Times are in seconds.
 *
 * @param groups number of replica sets, each with one primary and {@code replicas} replicas
 * @param zones zones to which nodes and routers are assigned round-robin
 * @param oneWayLatency one-way network latency between any two processes
 * @param election time without a primary until a successor takes over
 * @param listDelay time until routers are notified of a change of the endpoint list
 * @param reports whether nodes send load reports with their answers
 * @param replicasCheck whether replicas reject reads that they would answer with stale data
 * @param commands kinds of requests in the load
 * @param rate requests per second over all routers
 * @param phases parts of the run in which the rate is multiplied
 * @param sessions number of sessions that read their own writes; 0 for none
 * @param contact how routers learn of changes and of writes at other routers
 */
public record FleetSpec(
        int groups,
        int replicas,
        int routers,
        List<String> zones,
        MachineSpec machine,
        double oneWayLatency,
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
     * How routers learn of changes and of writes at other routers.
     *
     * @param shares whether the routers are peers that share state
     * @param marksCarried whether the read of a session carries its last-write position; otherwise routers must know it
     * @param listSpread seconds over which routers are notified of a change of the endpoint list, each at a random time
     * @param roam seconds after the answer to a write in which the session stays with the router that answered it
     */
    public record Contact(boolean shares, boolean marksCarried, double listSpread, double roam) {
        /** Routers without peers, clients that carry last-write positions, and immediate notification of changes. */
        public static final Contact NONE = new Contact(false, true, 0, 0);
    }

    /** Creates a fleet of routers that share nothing and are notified of changes immediately. */
    public FleetSpec(
            int groups,
            int replicas,
            int routers,
            List<String> zones,
            MachineSpec machine,
            double oneWayLatency,
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
                oneWayLatency,
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
     * A request class in the load.
     *
     * @param share weight of the class among all requests
     * @param work mean core seconds per request
     * @param spread sigma of the logarithm of the work; 0 for constant work
     */
    public record Kind(RequestClass group, double share, double work, double spread) {}

    /**
     * A phase that starts {@code from} seconds after the start of the run and multiplies the rate by {@code factor}.
     */
    public record Phase(double from, double factor) {}

    /** Returns the same fleet with the rate multiplied by {@code factor}. */
    public FleetSpec loaded(double factor) {
        return new FleetSpec(
                groups,
                replicas,
                routers,
                zones,
                machine,
                oneWayLatency,
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
                oneWayLatency,
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
                oneWayLatency,
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

    /** Highest rate of any phase, in requests per second. */
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
