package clayhook.clustertests;

import clayhook.Endpoint;
import clayhook.Node;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Checks, for each router separately, that it sends no new request to a draining node once it counts as notified of the
 * drain. Times are seconds on the clock of {@link HistoryRecorder}. Thread-safe.
 */
public final class DrainAudit {
    /** Seconds after its notification during which a router may still send to a draining node. */
    private static final double GRACE_SECONDS = 0.25;

    private record Drain(int version, double at) {}

    private final EndpointNotifications notifications;
    private final double machineSeconds;
    private final Map<Node, Drain> drains = new HashMap<>();
    private final List<String> violations = new ArrayList<>();

    /**
     * Creates an audit without drains.
     *
     * @param machineSeconds delay that a busy machine may add between a router's decision and the node's read
     */
    DrainAudit(EndpointNotifications notifications, double machineSeconds) {
        this.notifications = notifications;
        this.machineSeconds = machineSeconds;
    }

    /** Records the draining nodes of a new version of the endpoint list at discovery. */
    synchronized void onListChange(TestReplicaSet replicaSet) {
        for (ClusterNode node : replicaSet.nodes()) {
            if (node.state() == Endpoint.State.READY) {
                drains.remove(node.node());
            } else {
                drains.computeIfAbsent(node.node(), any -> new Drain(replicaSet.version(), HistoryRecorder.now()));
            }
        }
    }

    /** Checks a request that a node has read. */
    synchronized void onRequest(NodeRequest request) {
        Drain drain = drains.get(request.node());
        if (drain == null) {
            return;
        }
        double notifiedAt = notifications.notifiedAt(request.router(), drain.version(), drain.at());
        if (request.at() > notifiedAt + GRACE_SECONDS + machineSeconds) {
            violations.add(String.format(
                    Locale.ROOT,
                    "%s: %s sent to %s, %.2f s after it was notified that the node drains (version %d, %.2f s ago)",
                    ProcessStalls.format(request.at()),
                    request.router(),
                    request.node().id(),
                    request.at() - notifiedAt,
                    drain.version(),
                    request.at() - drain.at()));
        }
    }

    /** Descriptions of all requests that were sent to draining nodes too late. */
    public synchronized List<String> violations() {
        return List.copyOf(violations);
    }
}
