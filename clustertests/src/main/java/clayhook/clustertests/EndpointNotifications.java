package clayhook.clustertests;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Computes when each router counts as notified of a version of the endpoint list: once discovery has written that
 * version, or a later one, to it, and in any case six seconds after discovery had the version, was reachable and the
 * router's process was running. Times are seconds on the clock of {@link HistoryRecorder}. Thread-safe.
 */
final class EndpointNotifications {
    /** Seconds after which a change counts as notified, whether or not it arrived. */
    static final double NOTIFIED_AFTER_SECONDS = 6;

    /** Seconds after a reload that changed discovery's address until earlier changes count as notified. */
    private static final double NOTIFIED_AFTER_RELOAD_SECONDS = 4;

    private record Notification(int version, double at) {}

    private final Map<String, List<Notification>> written = new HashMap<>();
    private final Map<String, Double> startedAt = new HashMap<>();
    /** Time of each router's latest reload that changed discovery's address, by router name. */
    private final Map<String, Double> reloadedAt = new HashMap<>();

    private double reachableSince;
    private boolean reachable = true;

    /** Records that the process of a router starts; notifications of its earlier processes no longer count. */
    synchronized void onStarted(String router) {
        startedAt.put(router, HistoryRecorder.now());
        written.put(router, new ArrayList<>());
        reloadedAt.remove(router);
    }

    /** Records that a router gets SIGHUP to reload a changed address of discovery. */
    synchronized void onReload(String router) {
        reloadedAt.put(router, HistoryRecorder.now());
    }

    /** Records whether discovery is reachable from now on. */
    synchronized void onReachable(boolean isReachable) {
        if (isReachable && !reachable) {
            reachableSince = HistoryRecorder.now();
        }
        reachable = isReachable;
    }

    /** Records that discovery has written a version of the list to a router. */
    synchronized void onWritten(String router, int version) {
        written.computeIfAbsent(router, any -> new ArrayList<>()).add(new Notification(version, HistoryRecorder.now()));
    }

    /**
     * Returns when a router counts as notified of a change, which may be in the future; infinite if that is not yet
     * determined, or if the router has not been started.
     *
     * @param version the first version of the list with the change
     * @param changedAt the time at which discovery had that version
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
