package clayhook.clustertests;

/**
 * The size and the settings of a {@link RouterFleet}.
 *
 * @param program the program that the processes run
 * @param allCallsSeconds time in which discovery processes one call of every router
 * @param healthChecksAllowed whether the settings allow health checks
 * @param clientTimeoutSeconds how long clients of all request classes wait for an answer
 * @param descriptors limit of open file descriptors of each router
 * @param nodesBehindRelays whether routers reach the nodes through relays, which can inject link faults
 * @param seed random seed of the load and the routers
 */
public record FleetSpec(
        RouterProgram program,
        int routerCount,
        int nodeCount,
        double allCallsSeconds,
        boolean healthChecksAllowed,
        double clientTimeoutSeconds,
        int descriptors,
        boolean nodesBehindRelays,
        long seed) {
    /** Far longer than a router on a busy machine takes to answer. */
    private static final double DEFAULT_CLIENT_TIMEOUT_SECONDS = 2;

    private static final int DEFAULT_DESCRIPTORS = 1024;

    /** Creates a fleet with the default client timeout and descriptor limit, and without relays. */
    public FleetSpec(
            RouterProgram program,
            int routerCount,
            int nodeCount,
            double allCallsSeconds,
            boolean healthChecksAllowed,
            long seed) {
        this(
                program,
                routerCount,
                nodeCount,
                allCallsSeconds,
                healthChecksAllowed,
                DEFAULT_CLIENT_TIMEOUT_SECONDS,
                DEFAULT_DESCRIPTORS,
                false,
                seed);
    }

    /** Returns the same fleet with another client timeout. */
    FleetSpec withClientTimeout(double seconds) {
        return with(seconds, descriptors, nodesBehindRelays);
    }

    /** Returns the same fleet with another descriptor limit. */
    FleetSpec withDescriptors(int count) {
        return with(clientTimeoutSeconds, count, nodesBehindRelays);
    }

    /** Returns the same fleet with a relay in front of each node. */
    FleetSpec withNodesBehindRelays() {
        return with(clientTimeoutSeconds, descriptors, true);
    }

    private FleetSpec with(double timeout, int descriptorCount, boolean relays) {
        return new FleetSpec(
                program,
                routerCount,
                nodeCount,
                allCallsSeconds,
                healthChecksAllowed,
                timeout,
                descriptorCount,
                relays,
                seed);
    }
}
