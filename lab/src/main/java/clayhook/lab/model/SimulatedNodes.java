package clayhook.lab.model;

import clayhook.Endpoint;
import clayhook.Node;
import clayhook.Role;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** The nodes of a fleet and the failures injected into them, in virtual or wall-clock time. */
final class SimulatedNodes {
    private final Scheduler scheduler;
    private final Map<Node, NodeModel> nodes = new HashMap<>();
    private final List<NodeModel> orderedNodes = new ArrayList<>();
    private final List<GroupModel> groups = new ArrayList<>();
    private final Consumer<NodeModel> onCrash;
    private final Consumer<NodeModel> onEndpointChange;

    /**
     * @param onCrash called with each node that crashed
     * @param onEndpointChange called with each node whose endpoint-list entry changed
     */
    SimulatedNodes(
            FleetSpec spec, Scheduler scheduler, Consumer<NodeModel> onCrash, Consumer<NodeModel> onEndpointChange) {
        this.scheduler = scheduler;
        this.onCrash = onCrash;
        this.onEndpointChange = onEndpointChange;
        for (int g = 1; g <= spec.groups(); g++) {
            var group = new GroupModel(scheduler, g, spec.election());
            groups.add(group);
            for (int i = 0; i <= spec.replicas(); i++) {
                var node = new Node(
                        i == 0 ? g + "p" : g + "r" + i,
                        spec.zones().get((g + i) % spec.zones().size()),
                        g);
                var model = new NodeModel(scheduler, node, spec.machine(), i == 0 ? Role.PRIMARY : Role.REPLICA);
                group.nodes.add(model);
                nodes.put(node, model);
                orderedNodes.add(model);
            }
        }
    }

    List<NodeModel> nodes() {
        return orderedNodes;
    }

    NodeModel node(Node node) {
        return nodes.get(node);
    }

    GroupModel group(int id) {
        return groups.get(id - 1);
    }

    List<Endpoint> endpoints() {
        return orderedNodes.stream().map(this::endpoint).toList();
    }

    Endpoint endpoint(NodeModel node) {
        return new Endpoint(
                node.node,
                !node.up() ? Endpoint.State.GONE : node.draining ? Endpoint.State.DRAINING : Endpoint.State.READY,
                node.role == Role.PRIMARY,
                node.startedAt());
    }

    private List<NodeModel> targets(String target) {
        if (target.endsWith("p")) {
            int group = Integer.parseInt(target.substring(0, target.length() - 1));
            // A variant of the experiment may have fewer replica sets than the failures name.
            NodeModel primary = group > groups.size() ? null : group(group).primary();
            return primary == null ? List.of() : List.of(primary);
        }
        return orderedNodes.stream()
                .filter(node ->
                        node.node.id().equals(target) || node.node.zone().equals(target))
                .toList();
    }

    /** Schedules the failures; their times count from {@code start}. */
    void scheduleFailures(List<Failure> failures, double start) {
        failures.forEach(failure -> scheduler.scheduleAt(start + failure.at(), () -> inject(failure)));
    }

    private void inject(Failure failure) {
        for (NodeModel node : targets(failure.target())) {
            Runnable endFailure = startFailure(node, failure);
            if (failure.lasts() > 0) {
                scheduler.scheduleAfter(failure.lasts(), endFailure);
            }
        }
    }

    /** Starts the failure at the node and returns the action that ends it. */
    private Runnable startFailure(NodeModel node, Failure failure) {
        GroupModel group = group(node.node.replicaSetId());
        switch (failure.kind()) {
            case CRASH, ZONE_LOSS -> {
                node.crash();
                onCrash.accept(node);
                group.electIfNoPrimary();
                onEndpointChange.accept(node);
                return () -> {
                    node.restart();
                    group.electIfNoPrimary();
                    onEndpointChange.accept(node);
                };
            }
            case HANG -> {
                node.setHung(true);
                group.demoteIfHung(node);
                return () -> node.setHung(false);
            }
            case PAUSE -> {
                node.setPaused(true);
                return () -> node.setPaused(false);
            }
            case NEIGHBOUR -> {
                node.setNeighbour(failure.amount());
                return () -> node.setNeighbour(0);
            }
            case SLOW_LOG -> {
                node.log.setSlowness(scheduler.now(), failure.amount());
                return () -> node.log.setSlowness(scheduler.now(), 1);
            }
            case STALL_LOG -> {
                node.log.stall(scheduler.now(), scheduler.now() + failure.lasts());
                return () -> {};
            }
            default -> {
                node.draining = true;
                onEndpointChange.accept(node);
                return () -> {
                    node.draining = false;
                    onEndpointChange.accept(node);
                };
            }
        }
    }
}
