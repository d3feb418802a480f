package clayhook.clustertests;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * When each router counts as notified of a version of the endpoint list: once discovery has written that version, or a
 * later one, to it, and in any case six seconds after discovery had it, could be reached and the router's process ran.
 * Times are seconds on the clock of {@link HistoryRecorder}. Thread-safe.
 */
final class EndpointNotifications {
    /** After that a change counts as notified, whether or not it arrived. */
    static final double NOTIFIED_AFTER_SECONDS = 6;

    /** What discovery has to tell counts as notified so long after a reload that moved it. */
    private static final double NOTIFIED_AFTER_RELOAD_SECONDS = 4;

    private record Notification(int version, double at) {}

    private final Map<String, List<Notification>> written = new HashMap<>();
    private final Map<String, Double> startedAt = new HashMap<>();
    /** Of the newest reload of a router that moved discovery. */
    private final Map<String, Double> reloadedAt = new HashMap<>();

    private double reachableSince;
    private boolean reachable = true;

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

    /** Discovery has written a version of the list to a router. */
    synchronized void onWritten(String router, int version) {
        written.computeIfAbsent(router, any -> new ArrayList<>()).add(new Notification(version, HistoryRecorder.now()));
    }

    /**
     * When a router counts as notified of a change, which may be in the future; infinite where nothing says when, or
     * for a router that has not been started.
     *
     * @param version of the list that has the change
     * @param changedAt when discovery had that version
     */
    synchronized double notifiedAt(String router, int version, double changedAt) {
        if (!startedAt.containsKey(router)) {
            return Double.POSITIVE_INFINITY;
        }
        double latest = reachable
                ? Math.max(changedAt, Math.max(reachableSince, startedAt.get(router))) + NOTIFIED_AFTER_SECONDS
                : Double.POSITIVE_INFINITY;
        double reloaded = reloadedAt.getOrDefault(router, Double.POSITIVE_INFINITY);
        if (reachable && changedAt <= reloaded) {
            latest = Math.min(latest, Math.max(reloaded, reachableSince) + NOTIFIED_AFTER_RELOAD_SECONDS);
        }
        return earliest(router, version, latest);
    }

    private double earliest(String router, int version, double latest) {
        return written.getOrDefault(router, List.of()).stream()
                .filter(notification -> notification.version() >= version)
                .mapToDouble(Notification::at)
                .min()
                .stream()
                .reduce(latest, Math::min);
    }
}
