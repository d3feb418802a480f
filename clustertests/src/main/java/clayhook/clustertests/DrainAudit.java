package clayhook.clustertests;

import clayhook.Endpoint;
import clayhook.Node;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Judges, for each router by itself, that nothing new goes to a draining node: a change counts as notified once
 * discovery has written it to the router, and in any case six seconds after discovery had it, could be reached and the
 * router's process ran. Times are seconds on the clock of {@link HistoryRecorder}. Thread-safe.
 */
public final class DrainAudit {
    /** After that a change counts as notified, whether or not it arrived. */
    static final double NOTIFIED_AFTER_SECONDS = 6;

    /** What discovery has to tell counts as notified so long after a reload that moved it. */
    private static final double NOTIFIED_AFTER_RELOAD_SECONDS = 4;

    /** Seconds in which a router may still send to a node after it was notified. */
    private static final double GRACE_SECONDS = 0.25;

    private record Drain(int version, double at) {}

    private record Notification(int version, double at) {}

    private final double machineSeconds;
    private final Map<Node, Drain> drains = new HashMap<>();
    private final Map<String, List<Notification>> written = new HashMap<>();
    private final Map<String, Double> startedAt = new HashMap<>();
    /** Of the newest reload of a router that moved discovery. */
    private final Map<String, Double> reloadedAt = new HashMap<>();

    private final List<String> violations = new ArrayList<>();
    private double reachableSince;
    private boolean reachable = true;

    /** {@code machineSeconds}: what a busy machine may add between a router's decision and the node's reading. */
    DrainAudit(double machineSeconds) {
        this.machineSeconds = machineSeconds;
    }

    /** The process of a router starts; what was written to an earlier one is forgotten. */
    synchronized void onStarted(String router) {
        startedAt.put(router, HistoryRecorder.now());
        written.put(router, new ArrayList<>());
        reloadedAt.remove(router);
    }

    /** A router is told by SIGHUP that discovery has moved. */
    synchronized void onReload(String router) {
        reloadedAt.put(router, HistoryRecorder.now());
    }

    /** Discovery can be reached from now on, or cannot. */
    synchronized void onReachable(boolean isReachable) {
        if (isReachable && !reachable) {
            reachableSince = HistoryRecorder.now();
        }
        reachable = isReachable;
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

    /** Discovery has written a version of the list to a router. */
    synchronized void onWritten(String router, int version) {
        written.computeIfAbsent(router, any -> new ArrayList<>()).add(new Notification(version, HistoryRecorder.now()));
    }

    /** A node has read a request of a router. */
    synchronized void onRequest(String router, Node node) {
        Drain drain = drains.get(node);
        if (drain == null || !startedAt.containsKey(router)) {
            return;
        }
        double now = HistoryRecorder.now();
        double late = now - notifiedAt(router, drain) - GRACE_SECONDS - machineSeconds;
        if (late > 0) {
            violations.add(String.format(
                    Locale.ROOT,
                    "%s sent to %s, %.2f s after it was notified that the node drains (version %d, %.2f s ago)",
                    router,
                    node.id(),
                    now - notifiedAt(router, drain),
                    drain.version(),
                    now - drain.at()));
        }
    }

    private double notifiedAt(String router, Drain drain) {
        double latest = reachable
                ? Math.max(drain.at(), Math.max(reachableSince, startedAt.get(router))) + NOTIFIED_AFTER_SECONDS
                : Double.POSITIVE_INFINITY;
        double reloaded = reloadedAt.getOrDefault(router, Double.POSITIVE_INFINITY);
        if (reachable && drain.at() <= reloaded) {
            latest = Math.min(latest, Math.max(reloaded, reachableSince) + NOTIFIED_AFTER_RELOAD_SECONDS);
        }
        return earliest(router, drain, latest);
    }

    private double earliest(String router, Drain drain, double latest) {
        return written.getOrDefault(router, List.of()).stream()
                .filter(notification -> notification.version() >= drain.version())
                .mapToDouble(Notification::at)
                .min()
                .stream()
                .reduce(latest, Math::min);
    }

    /** All requests that went to draining nodes too late, in words. */
    public synchronized List<String> violations() {
        return List.copyOf(violations);
    }
}
