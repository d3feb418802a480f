package clayhook.clustertests;

import clayhook.Endpoint;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** A fault of a soak run. Each fault has its own begin and end, so that faults can overlap. */
sealed interface SoakFault {
    /** Begins the fault; blocks until all its steps are done. */
    void begin(RouterFleet fleet) throws IOException, InterruptedException;

    /** Ends the fault and restores the previous state. */
    void end(RouterFleet fleet) throws IOException, InterruptedException;

    private static List<RouterProcess> selectRouters(RouterFleet fleet, List<Integer> numbers) {
        return numbers.stream().map(number -> fleet.routers().get(number)).toList();
    }

    private static List<ClusterNode> selectNodes(RouterFleet fleet, List<Integer> numbers) {
        return numbers.stream().map(number -> fleet.nodes().get(number)).toList();
    }

    /** Switches discovery to another mode: crowded, slow, down or silent. */
    record DiscoveryFault(QueueingDiscovery.Mode mode) implements SoakFault {
        @Override
        public void begin(RouterFleet fleet) {
            fleet.discovery().setMode(mode);
        }

        @Override
        public void end(RouterFleet fleet) {
            fleet.discovery().setMode(QueueingDiscovery.Mode.NORMAL);
        }
    }

    /** Moves discovery to another address for some routers, which reload their files by SIGHUP. */
    record DiscoveryMove(List<Integer> routers) implements SoakFault {
        @Override
        public void begin(RouterFleet fleet) throws IOException {
            for (RouterProcess router : selectRouters(fleet, routers)) {
                if (router.isRunning()) {
                    fleet.moveDiscovery(router);
                }
            }
        }

        @Override
        public void end(RouterFleet fleet) {}
    }

    /** Drains nodes, and ends with replacement nodes at the same addresses. */
    record Drain(List<Integer> nodes) implements SoakFault {
        @Override
        public void begin(RouterFleet fleet) {
            fleet.setState(selectNodes(fleet, nodes), Endpoint.State.DRAINING);
        }

        @Override
        public void end(RouterFleet fleet) {
            fleet.setState(selectNodes(fleet, nodes), Endpoint.State.READY);
        }
    }

    /** Makes a node hang, close connections with pending requests, or be dead. */
    record NodeFault(int node, ClusterNode.Behavior behavior) implements SoakFault {
        @Override
        public void begin(RouterFleet fleet) {
            fleet.nodes().get(node).setBehavior(behavior);
        }

        @Override
        public void end(RouterFleet fleet) {
            fleet.nodes().get(node).setBehavior(ClusterNode.Behavior.WELL);
        }
    }

    /** Makes a node die, and ends with its restart in slow start. */
    record NodeRestart(int node) implements SoakFault {
        @Override
        public void begin(RouterFleet fleet) {
            fleet.nodes().get(node).setBehavior(ClusterNode.Behavior.DEAD);
        }

        @Override
        public void end(RouterFleet fleet) {
            fleet.nodes().get(node).restart();
        }
    }

    /** Makes a replica stop applying its log while it answers as quickly as before. */
    record LogStall(int node) implements SoakFault {
        @Override
        public void begin(RouterFleet fleet) {
            fleet.nodes().get(node).setLogStalled(true);
        }

        @Override
        public void end(RouterFleet fleet) {
            fleet.nodes().get(node).setLogStalled(false);
        }
    }

    /** Makes another node the primary. */
    record Failover(int node) implements SoakFault {
        @Override
        public void begin(RouterFleet fleet) {
            fleet.promote(fleet.nodes().get(node));
        }

        @Override
        public void end(RouterFleet fleet) {}
    }

    /** Kills routers, and ends with their restart. */
    record Kill(List<Integer> routers) implements SoakFault {
        @Override
        public void begin(RouterFleet fleet) throws IOException, InterruptedException {
            fleet.kill(selectRouters(fleet, routers));
        }

        @Override
        public void end(RouterFleet fleet) throws IOException, InterruptedException {
            fleet.start(selectRouters(fleet, routers));
        }
    }

    /** Shuts routers down under clients of all kinds, kills them at the earliest time, and restarts them later. */
    record Shutdown(List<Integer> routers, ShutdownPlan plan, boolean restartsAtOnce, long seed) implements SoakFault {
        @Override
        public void begin(RouterFleet fleet) throws IOException, InterruptedException {
            var random = new Random(seed);
            fleet.onShutdown(ShutdownScenario.run(fleet, selectRouters(fleet, routers), plan, random));
            if (restartsAtOnce) {
                fleet.start(selectRouters(fleet, routers));
            }
        }

        @Override
        public void end(RouterFleet fleet) throws IOException, InterruptedException {
            if (!restartsAtOnce) {
                fleet.start(selectRouters(fleet, routers));
            }
        }
    }

    /** Restarts routers and sends them SIGTERM while they start; ends with another restart. */
    record TerminateInStart(List<Integer> routers, double afterSeconds) implements SoakFault {
        @Override
        public void begin(RouterFleet fleet) throws IOException, InterruptedException {
            fleet.terminateDuringStart(selectRouters(fleet, routers), afterSeconds);
        }

        @Override
        public void end(RouterFleet fleet) throws IOException, InterruptedException {
            fleet.start(selectRouters(fleet, routers));
        }
    }

    /** Occupies the file descriptors of routers with idle clients. */
    record Crowd(List<Integer> routers, int clients, List<IdleClients> crowds) implements SoakFault {
        Crowd(List<Integer> routers, int clients) {
            this(routers, clients, new ArrayList<>());
        }

        @Override
        public void begin(RouterFleet fleet) {
            selectRouters(fleet, routers).forEach(router -> crowds.add(new IdleClients(router.address(), clients)));
        }

        @Override
        public void end(RouterFleet fleet) throws IOException {
            for (IdleClients each : crowds) {
                each.close();
            }
        }
    }

    /** Sends requests of all classes to routers from clients that disconnect if they get no answer shortly. */
    record Departures(List<Integer> routers, int clients) implements SoakFault {
        private static final double MAX_WAIT_SECONDS = 0.05;

        @Override
        public void begin(RouterFleet fleet) throws InterruptedException {
            for (int i = 0; i < clients; i++) {
                for (RouterProcess router : selectRouters(fleet, routers)) {
                    fleet.sendAndDisconnect(router, i, MAX_WAIT_SECONDS);
                }
            }
        }

        @Override
        public void end(RouterFleet fleet) {}
    }

    /** Delays the bytes on all links to a node, resets its connections, or cuts them off until a reset at the end. */
    record NodeLinkFault(int node, Kind kind, double delaySeconds) implements SoakFault {
        /** How the links handle bytes. */
        enum Kind {
            DELAY,
            RESET,
            CUT
        }

        @Override
        public void begin(RouterFleet fleet) {
            TcpRelay relay = fleet.nodes().get(node).relay();
            switch (kind) {
                case DELAY -> relay.setDelay(delaySeconds);
                case RESET -> relay.resetAll();
                case CUT -> relay.setCut(true);
            }
        }

        @Override
        public void end(RouterFleet fleet) {
            TcpRelay relay = fleet.nodes().get(node).relay();
            relay.setDelay(0);
            if (kind == Kind.CUT) {
                relay.resetAll();
                relay.setCut(false);
            }
        }
    }

    /** Stalls a router's process for less than the grace period for requests to draining nodes. */
    record Stall(int router, double seconds) implements SoakFault {
        @Override
        public void begin(RouterFleet fleet) throws IOException, InterruptedException {
            RouterProcess process = fleet.routers().get(router);
            if (process.isRunning()) {
                fleet.stall(process, seconds);
            }
        }

        @Override
        public void end(RouterFleet fleet) {}
    }
}
