package clayhook.clustertests;

import clayhook.Endpoint;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

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

    /** A node dies and comes back in slow start. */
    record NodeRestart(int node) implements SoakFault {
        @Override
        public void begin(RouterFleet fleet) {
            fleet.nodes().get(node).behavior(ClusterNode.Behavior.DEAD);
        }

        @Override
        public void end(RouterFleet fleet) {
            fleet.nodes().get(node).restart();
        }
    }

    /** A replica stops applying its log, and answers as quickly as ever. */
    record LogStall(int node) implements SoakFault {
        @Override
        public void begin(RouterFleet fleet) {
            fleet.nodes().get(node).stall(true);
        }

        @Override
        public void end(RouterFleet fleet) {
            fleet.nodes().get(node).stall(false);
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

    /** Routers are killed and started again later. */
    record Kill(List<Integer> routers) implements SoakFault {
        @Override
        public void begin(RouterFleet fleet) throws IOException, InterruptedException {
            fleet.kill(processes(fleet, routers));
        }

        @Override
        public void end(RouterFleet fleet) throws IOException, InterruptedException {
            fleet.start(processes(fleet, routers));
        }
    }

    /** Routers are told to end under clients of all kinds, killed at the earliest, and started again later. */
    record Shutdown(List<Integer> routers, ShutdownPlan plan, boolean restartsAtOnce, long seed) implements SoakFault {
        @Override
        public void begin(RouterFleet fleet) throws IOException, InterruptedException {
            var random = new Random(seed);
            fleet.onShutdown(ShutdownScenario.play(fleet, processes(fleet, routers), plan, random));
            if (restartsAtOnce) {
                fleet.start(processes(fleet, routers));
            }
        }

        @Override
        public void end(RouterFleet fleet) throws IOException, InterruptedException {
            if (!restartsAtOnce) {
                fleet.start(processes(fleet, routers));
            }
        }
    }

    /** Routers are killed, started again, told to end while they start, and then started for good. */
    record TerminateInStart(List<Integer> routers, double afterSeconds) implements SoakFault {
        @Override
        public void begin(RouterFleet fleet) throws IOException, InterruptedException {
            fleet.terminateInStart(processes(fleet, routers), afterSeconds);
        }

        @Override
        public void end(RouterFleet fleet) throws IOException, InterruptedException {
            fleet.start(processes(fleet, routers));
        }
    }

    /** Idle clients fill the descriptors of routers. */
    record Crowd(List<Integer> routers, int clients, List<IdleCrowd> crowds) implements SoakFault {
        Crowd(List<Integer> routers, int clients) {
            this(routers, clients, new ArrayList<>());
        }

        @Override
        public void begin(RouterFleet fleet) {
            processes(fleet, routers).forEach(router -> crowds.add(new IdleCrowd(router.address(), clients)));
        }

        @Override
        public void end(RouterFleet fleet) throws IOException {
            for (IdleCrowd crowd : crowds) {
                crowd.close();
            }
        }
    }

    /** Clients send requests of all classes to routers and leave a moment later, unless they are answered before. */
    record Departures(List<Integer> routers, int clients) implements SoakFault {
        private static final double PATIENCE_SECONDS = 0.05;

        @Override
        public void begin(RouterFleet fleet) throws InterruptedException {
            for (int i = 0; i < clients; i++) {
                for (RouterProcess router : processes(fleet, routers)) {
                    fleet.sendAndLeave(router, i, PATIENCE_SECONDS);
                }
            }
        }

        @Override
        public void end(RouterFleet fleet) {}
    }

    /** The links to a node delay what passes, reset all connections, or pass nothing on and reset them at the end. */
    record NodeLinkFault(int node, Kind kind, double delaySeconds) implements SoakFault {
        /** What becomes of bytes. */
        enum Kind {
            DELAY,
            RESET,
            CUT
        }

        @Override
        public void begin(RouterFleet fleet) {
            TcpRelay relay = fleet.nodes().get(node).relay();
            switch (kind) {
                case DELAY -> relay.delay(delaySeconds);
                case RESET -> relay.resetAll();
                case CUT -> relay.cut(true);
            }
        }

        @Override
        public void end(RouterFleet fleet) {
            TcpRelay relay = fleet.nodes().get(node).relay();
            relay.delay(0);
            if (kind == Kind.CUT) {
                relay.resetAll();
                relay.cut(false);
            }
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
