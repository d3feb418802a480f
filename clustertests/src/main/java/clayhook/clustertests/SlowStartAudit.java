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
 * Judges that routers together do not overload a node in slow start: in no window of the settings' length it gets more
 * requests than they allow it, with an allowance for random variation, of which over two thirds come from routers that
 * count as notified of its start. What a warm node can do is what the warm nodes bear, as routers have to guess it too.
 * Times are seconds on the clock of {@link HistoryRecorder}. Thread-safe.
 */
final class SlowStartAudit {
    /** A burst of requests counts for routers for some seconds; the busiest second of so many counts here. */
    private static final int LOAD_MEMORY_SECONDS = 12;

    private static final double NOTIFIED_FRACTION = 2.0 / 3;
    /** Below so many requests the allowance for random variation is larger. */
    private static final double SMALL_BUDGET = 30;

    private static final double SMALL_BUDGET_DEVIATIONS = 3;
    private static final double USUAL_DEVIATIONS = 2;

    private record Start(int version, double at) {}

    private record Arrival(double at, boolean senderNotified) {}

    /** The requests that warm nodes read in one second, and which nodes read any. */
    private static final class WarmLoad {
        final Set<Node> nodes = new HashSet<>();
        int requests;
    }

    private final EndpointNotifications notifications;
    private final RoutingSettings settings;
    private final double minNodeCapacity;
    private final Map<Node, Start> starts = new HashMap<>();
    private final Map<Node, Deque<Arrival>> windows = new HashMap<>();
    /** By second; emptied after {@link #LOAD_MEMORY_SECONDS}. */
    private final NavigableMap<Long, WarmLoad> warmLoads = new TreeMap<>();

    private final List<String> violations = new ArrayList<>();
    private double largestUse;
    private String largestWindow = "no node was in slow start";

    /** {@code minNodeCapacity}: the requests that a warm node does in a second at least. */
    SlowStartAudit(EndpointNotifications notifications, RoutingSettings settings, double minNodeCapacity) {
        this.notifications = notifications;
        this.settings = settings;
        this.minNodeCapacity = minNodeCapacity;
    }

    /** Discovery has a new version of the list. */
    synchronized void onChange(TestReplicaSet cluster) {
        for (ClusterNode node : cluster.nodes()) {
            Start known = starts.get(node.node());
            if (node.startedAt() > 0 && (known == null || known.at() < node.startedAt())) {
                starts.put(node.node(), new Start(cluster.version(), node.startedAt()));
                windows.put(node.node(), new ArrayDeque<>());
            }
        }
    }

    /** A node has read a request of a router. */
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
        warmLoads.headMap(second - LOAD_MEMORY_SECONDS).clear();
    }

    /** The requests that a node of that age may get in a window, with the allowance for random variation. */
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

    /** The window in which a node in slow start got most beside what it tolerates, in words. */
    synchronized String largestWindow() {
        return largestWindow;
    }

    /** All nodes that were overloaded, in words. */
    synchronized List<String> violations() {
        return List.copyOf(violations);
    }
}
