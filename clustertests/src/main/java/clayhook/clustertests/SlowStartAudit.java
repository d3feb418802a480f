package clayhook.clustertests;

import clayhook.Node;
import clayhook.RoutingSettings;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;

/**
 * Checks that all routers together do not overload a node in slow start. A violation is a window of the length in the
 * settings in which the node gets more requests than the settings allow, plus an allowance for random variation, and
 * over two thirds of them come from routers that count as notified of its start. The capacity of a warm node is taken
 * from the load of the warm nodes, as routers have to estimate it too. Times are seconds on the clock of
 * {@link HistoryRecorder}. Thread-safe.
 */
final class SlowStartAudit {
    /**
     * Number of seconds of which the busiest determines the capacity of a warm node; routers consider a burst of
     * requests for some seconds too.
     */
    private static final int LOAD_WINDOW_SECONDS = 12;

    private static final double NOTIFIED_FRACTION = 2.0 / 3;
    /** Budget in requests below which the allowance for random variation is larger. */
    private static final double SMALL_BUDGET = 30;

    private static final double SMALL_BUDGET_DEVIATIONS = 3;
    private static final double USUAL_DEVIATIONS = 2;

    private record Start(int version, double at) {}

    private record Arrival(double at, boolean senderNotified) {}

    /** The requests that warm nodes read in one second, and the nodes that read any. */
    private static final class WarmLoad {
        final Set<Node> nodes = new HashSet<>();
        int requests;
    }

    private final EndpointNotifications notifications;
    private final RoutingSettings settings;
    private final double minNodeCapacity;
    private final Map<Node, Start> starts = new HashMap<>();
    private final Map<Node, Deque<Arrival>> windows = new HashMap<>();
    /** Load of the warm nodes by second; entries are removed after {@link #LOAD_WINDOW_SECONDS}. */
    private final NavigableMap<Long, WarmLoad> warmLoads = new TreeMap<>();

    private final List<String> violations = new ArrayList<>();
    private double largestUse;
    private String largestWindow = "no node was in slow start";

    /**
     * Creates an audit without nodes in slow start.
     *
     * @param minNodeCapacity lower bound of the capacity of a warm node, in requests per second
     */
    SlowStartAudit(EndpointNotifications notifications, RoutingSettings settings, double minNodeCapacity) {
        this.notifications = notifications;
        this.settings = settings;
        this.minNodeCapacity = minNodeCapacity;
    }

    /** Records the nodes that start with a new version of the endpoint list at discovery. */
    synchronized void onListChange(TestReplicaSet replicaSet) {
        for (ClusterNode node : replicaSet.nodes()) {
            Start previous = starts.get(node.node());
            if (node.startedAt() > 0 && (previous == null || previous.at() < node.startedAt())) {
                starts.put(node.node(), new Start(replicaSet.version(), node.startedAt()));
                windows.put(node.node(), new ArrayDeque<>());
            }
        }
    }

    /** Checks a request that a node has read. */
    synchronized void onRequest(NodeRequest request) {
        Start start = starts.get(request.node());
        if (start == null || request.at() >= start.at() + settings.slowStartSeconds()) {
            recordWarmLoad(request);
            return;
        }
        boolean notified = notifications.notifiedAt(request.router(), start.version(), start.at()) <= request.at();
        Deque<Arrival> window = windows.get(request.node());
        window.add(new Arrival(request.at(), notified));
        double windowStart = request.at() - settings.overloadWindowSeconds();
        while (window.peek().at() <= windowStart) {
            window.poll();
        }
        double tolerable = tolerableRequests(Math.max(0, windowStart - start.at()));
        long fromNotified = window.stream().filter(Arrival::senderNotified).count();
        String description = String.format(
                Locale.ROOT,
                "%s: %s got %d requests in %.1f s, %d of them from notified routers, %.2f s after its start; %.1f are"
                        + " tolerable where a warm node does %.1f a second",
                ProcessStalls.format(request.at()),
                request.node().id(),
                window.size(),
                settings.overloadWindowSeconds(),
                fromNotified,
                request.at() - start.at(),
                tolerable,
                nodeCapacity());
        if (window.size() > largestUse * tolerable) {
            largestUse = window.size() / tolerable;
            largestWindow = description;
        }
        if (window.size() > tolerable && fromNotified > NOTIFIED_FRACTION * window.size()) {
            violations.add(description);
            window.clear();
        }
    }

    private void recordWarmLoad(NodeRequest request) {
        long second = (long) request.at();
        WarmLoad load = warmLoads.computeIfAbsent(second, any -> new WarmLoad());
        load.requests++;
        load.nodes.add(request.node());
        warmLoads.headMap(second - LOAD_WINDOW_SECONDS).clear();
    }

    /**
     * Returns the number of requests that a node may get in a window, with the allowance for random variation.
     *
     * @param age seconds since the node's start
     */
    private double tolerableRequests(double age) {
        double initial = settings.initialCapacityFraction();
        double fraction = Math.min(1, initial + (1 - initial) * age / settings.slowStartSeconds());
        double budget = settings.overloadFactor() * settings.overloadWindowSeconds() * nodeCapacity() * fraction;
        double deviations = budget < SMALL_BUDGET ? SMALL_BUDGET_DEVIATIONS : USUAL_DEVIATIONS;
        return budget + deviations * Math.sqrt(budget) + deviations;
    }

    private double nodeCapacity() {
        double busiest = warmLoads.values().stream()
                .mapToDouble(load -> load.requests / (double) load.nodes.size())
                .max()
                .orElse(0);
        return Math.max(minNodeCapacity, busiest);
    }

    /** Description of the window with the most requests in proportion to what the node in slow start tolerates. */
    synchronized String largestWindow() {
        return largestWindow;
    }

    /** Descriptions of all windows in which a node was overloaded. */
    synchronized List<String> violations() {
        return List.copyOf(violations);
    }
}
