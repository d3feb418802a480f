package clayhook.clustertests;

import clayhook.Endpoint;
import clayhook.Node;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Judges, for each router by itself, that nothing new goes to a draining node once the router counts as notified. Times
 * are seconds on the clock of {@link HistoryRecorder}. Thread-safe.
 */
public final class DrainAudit {
    /** Seconds in which a router may still send to a node after it was notified. */
    private static final double GRACE_SECONDS = 0.25;

    private record Drain(int version, double at) {}

    private final EndpointNotifications notifications;
    private final double machineSeconds;
    private final Map<Node, Drain> drains = new HashMap<>();
    private final List<String> violations = new ArrayList<>();

    /** {@code machineSeconds}: what a busy machine may add between a router's decision and the node's reading. */
    DrainAudit(EndpointNotifications notifications, double machineSeconds) {
        this.notifications = notifications;
        this.machineSeconds = machineSeconds;
    }

    /** Discovery has a new version of the list. */
    synchronized void onChange(TestReplicaSet cluster) {
        for (ClusterNode node : cluster.nodes()) {
            if (node.state() == Endpoint.State.READY) {
                drains.remove(node.node());
            } else {
                drains.computeIfAbsent(node.node(), any -> new Drain(cluster.version(), HistoryRecorder.now()));
            }
        }
    }

    /** A node has read a request of a router. */
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

    /** All requests that went to draining nodes too late, in words. */
    public synchronized List<String> violations() {
        return List.copyOf(violations);
    }
}
