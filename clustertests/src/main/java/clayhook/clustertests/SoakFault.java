package clayhook.clustertests;

import clayhook.Endpoint;
import java.io.IOException;
import java.util.List;

/** One fault of a soak run. It begins and ends at times of its own, so that faults overlap. */
sealed interface SoakFault {
    /** Begins; blocks for as long as its parts take. */
    void begin(RouterFleet fleet) throws IOException, InterruptedException;

    /** Ends, and leaves everything as it was before. */
    void end(RouterFleet fleet) throws IOException, InterruptedException;

    private static List<RouterProcess> processes(RouterFleet fleet, List<Integer> numbers) {
        return numbers.stream().map(number -> fleet.routers().get(number)).toList();
    }

    private static List<ClusterNode> members(RouterFleet fleet, List<Integer> numbers) {
        return numbers.stream().map(number -> fleet.nodes().get(number)).toList();
    }

    /** Discovery is crowded, slow, down or silent. */
    record DiscoveryFault(CrowdedDiscovery.Mode mode) implements SoakFault {
        @Override
        public void begin(RouterFleet fleet) {
            fleet.discovery().mode(mode);
        }

        @Override
        public void end(RouterFleet fleet) {
            fleet.discovery().mode(CrowdedDiscovery.Mode.NORMAL);
        }
    }

    /** Discovery moves to another address for some routers, which get SIGHUP. */
    record DiscoveryMove(List<Integer> routers) implements SoakFault {
        @Override
        public void begin(RouterFleet fleet) throws IOException {
            for (RouterProcess router : processes(fleet, routers)) {
                if (router.runs()) {
                    fleet.moveDiscovery(router);
                }
            }
        }

        @Override
        public void end(RouterFleet fleet) {}
    }

    /** Nodes drain, and are replaced by ones at the same address. */
    record Drain(List<Integer> nodes) implements SoakFault {
        @Override
        public void begin(RouterFleet fleet) {
            fleet.state(members(fleet, nodes), Endpoint.State.DRAINING);
        }

        @Override
        public void end(RouterFleet fleet) {
            fleet.state(members(fleet, nodes), Endpoint.State.READY);
        }
    }

    /** A node hangs, resets connections under requests, or is dead. */
    record NodeFault(int node, ClusterNode.Behavior behavior) implements SoakFault {
        @Override
        public void begin(RouterFleet fleet) {
            fleet.nodes().get(node).behavior(behavior);
        }

        @Override
        public void end(RouterFleet fleet) {
            fleet.nodes().get(node).behavior(ClusterNode.Behavior.WELL);
        }
    }

    /** Another node becomes primary. */
    record Failover(int node) implements SoakFault {
        @Override
        public void begin(RouterFleet fleet) {
            fleet.promote(fleet.nodes().get(node));
        }

        @Override
        public void end(RouterFleet fleet) {}
    }

    /** Routers are killed, or told to end, and started again later. */
    record Restart(List<Integer> routers, boolean graceful) implements SoakFault {
        @Override
        public void begin(RouterFleet fleet) throws IOException, InterruptedException {
            if (graceful) {
                fleet.terminate(processes(fleet, routers));
            } else {
                fleet.kill(processes(fleet, routers));
            }
        }

        @Override
        public void end(RouterFleet fleet) throws IOException, InterruptedException {
            fleet.start(processes(fleet, routers));
        }
    }

    /** A router's process is held up, for less than the grace for draining nodes covers. */
    record Stall(int router, double seconds) implements SoakFault {
        @Override
        public void begin(RouterFleet fleet) throws IOException, InterruptedException {
            RouterProcess process = fleet.routers().get(router);
            if (process.runs()) {
                fleet.stall(process, seconds);
            }
        }

        @Override
        public void end(RouterFleet fleet) {}
    }
}
