package clayhook.discovery;

import clayhook.discovery.WatchEvent.PollKind;
import clayhook.log.Log;
import clayhook.transport.Transport;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;

/**
 * Watches one discovery service with long polls. Each poll follows the answer to the previous one, on the same
 * connection as long as that answers. A liveness check periodically polls without waiting on a separate connection,
 * because a dead watch is indistinguishable from one without changes. Confined to the event loop.
 */
final class DiscoveryClient implements PollConnection.Listener {
    private static final int OK = 200;

    /** The status with which the overloaded service rejects a poll. */
    private static final int SERVICE_UNAVAILABLE = 503;

    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MILLIS_PER_SECOND = 1000;

    final InetSocketAddress address;
    private final Transport transport;
    private final EndpointWatcher.Listener listener;
    private final int longPollMs;
    private final WatchLivenessCheck livenessCheck;
    /** The newest list version reported, or {@link PollConnection#NO_VERSION} if none was. */
    private long version;
    /** When the watch last received a list, in nanoseconds of the system's monotonic clock. */
    private long lastListNanos = System.nanoTime();
    /** The connection of the watch, or null if no watch is open. */
    private PollConnection watchConnection;
    /**
     * Whether the next poll of the watch must be answered at once, to confirm the list. The list may have changed since
     * it was received, and a poll that waits shows that only with the next change or at its end.
     */
    private boolean mustConfirm;
    /** Whether changes count as notified at once, so that the list has to be confirmed whenever a watch was lost. */
    private final boolean pushed;
    /** Whether the answer to the watch is late. */
    private boolean watchIsLate;
    /** Polls of the watch that were rejected since the last list was received. */
    private int rejectedWatchPolls;
    /**
     * The connection of the previous watch, whose answer is late but still accepted; null if there is none. It is
     * closed when the watch receives a list, when its poll fails, or when another late watch replaces it.
     */
    private PollConnection lateConnection;
    /** The connection of the liveness checks, or null; it stays open until the service closes it. */
    private PollConnection checkConnection;
    /** The next liveness check; null before the first watch and after {@link #close}. */
    private ScheduledFuture<?> scheduledCheck;

    /**
     * Creates a client without opening the watch.
     *
     * @param version the list version that the caller already has, or {@link PollConnection#NO_VERSION}
     * @param pushed whether changes count as notified at once, so that a watch is preceded by a poll that does not wait
     * @param longPollSeconds the longest time in seconds that a long poll waits for changes
     */
    DiscoveryClient(
            Transport transport,
            InetSocketAddress address,
            long version,
            boolean pushed,
            double longPollSeconds,
            WatchLivenessCheck livenessCheck,
            EndpointWatcher.Listener listener) {
        this.transport = transport;
        this.address = address;
        this.version = version;
        this.pushed = pushed;
        mustConfirm = pushed;
        this.livenessCheck = livenessCheck;
        this.listener = listener;
        longPollMs = (int) Math.round(longPollSeconds * MILLIS_PER_SECOND);
    }

    /** Opens a watch unless one is open whose answer is not late. */
    void ensureWatching() {
        if (watchConnection != null && !watchIsLate) {
            return;
        } else if (watchConnection != null) {
            discard(lateConnection);
            lateConnection = watchConnection;
        }
        watchConnection = new PollConnection(address, this);
        watchIsLate = false;
        watchConnection.connect(transport);
        if (scheduledCheck == null) {
            scheduleCheck(livenessCheck.nextIntervalSeconds());
        }
    }

    /** Closes the watch and stops the liveness checks. */
    void close() {
        PollConnection watch = watchConnection;
        PollConnection late = lateConnection;
        PollConnection check = checkConnection;
        watchConnection = null;
        lateConnection = null;
        checkConnection = null;
        discard(watch);
        discard(late);
        discard(check);
        if (scheduledCheck != null) {
            scheduledCheck.cancel(false);
            scheduledCheck = null;
        }
    }

    private static void discard(PollConnection connection) {
        if (connection != null) {
            connection.discard();
        }
    }

    // ---- liveness checks ----

    private void scheduleCheck(double seconds) {
        if (scheduledCheck != null) {
            scheduledCheck.cancel(false);
        }
        long nanos = (long) (seconds * NANOS_PER_SECOND);
        scheduledCheck = transport.eventLoop().schedule(this::sendCheck, nanos, TimeUnit.NANOSECONDS);
    }

    private void sendCheck() {
        if (checkConnection == null) {
            checkConnection = new PollConnection(address, this);
            checkConnection.connect(transport);
        } else if (!checkConnection.isPolling()) {
            poll(checkConnection);
        } // else the previous check is still pending and schedules the next one when it ends
    }

    /**
     * Sends a poll, which waits for changes if a list version is known and the connection is not the one for checks.
     */
    private void poll(PollConnection connection) {
        boolean waits = version != PollConnection.NO_VERSION && connection != checkConnection && !mustConfirm;
        connection.poll(version, waits ? watchWaitMs() : PollConnection.NO_WAIT);
    }

    private int watchWaitMs() {
        double waitSeconds = livenessCheck.nextWatchWaitSeconds(rejectedWatchPolls);
        return (int) Math.min(longPollMs, waitSeconds * MILLIS_PER_SECOND);
    }

    // ---- connection events ----

    @Override
    public void onConnected(PollConnection connection) {
        poll(connection);
    }

    @Override
    public void onRefused(PollConnection connection) {
        if (isInUse(connection)) {
            listener.onWatchEvent(new WatchEvent.Unreachable(connection.secondsSinceConnect()));
        }
    }

    @Override
    public void onLate(PollConnection connection) {
        if (connection == watchConnection) {
            watchIsLate = true;
            listener.onEndpointListLate();
        }
    }

    @Override
    public void onResponse(PollConnection connection, HttpResponse response) {
        if (!isInUse(connection)) {
            return;
        } else if (response.status() == SERVICE_UNAVAILABLE) {
            livenessCheck.onRejected();
            if (connection == watchConnection) {
                rejectedWatchPolls++;
            }
            fail(connection, describe(response), true, livenessCheck::nextIntervalSeconds);
            return;
        } else if (response.status() != OK) {
            onFailure(connection, describe(response));
            return;
        }
        EndpointList list;
        try {
            list = EndpointList.parse(response.body());
        } catch (IllegalArgumentException e) {
            onFailure(connection, e.getMessage());
            return;
        }
        rejectedWatchPolls = 0;
        mustConfirm = false;
        scheduleCheck(livenessCheck.nextIntervalSeconds());
        double polledSecondsAgo = connection.secondsSincePoll();
        // The service may have created the answer to a long poll up to the duration of one call ago, and not before
        // the poll was sent.
        double answerAgeSeconds =
                connection.isLongPoll() ? Math.min(polledSecondsAgo, livenessCheck.callSeconds()) : polledSecondsAgo;
        PollKind kind = connection.isLongPoll() ? PollKind.WATCH : PollKind.CHECK;
        if (connection == checkConnection) {
            onCheckAnswered(list, response.closesConnection());
        } else {
            onWatchAnswered(connection, list, response.closesConnection());
        }
        listener.onWatchEvent(new WatchEvent.Confirmed(answerAgeSeconds, kind, polledSecondsAgo, list.version()));
    }

    private boolean isInUse(PollConnection connection) {
        return connection == watchConnection || connection == lateConnection || connection == checkConnection;
    }

    private void onCheckAnswered(EndpointList list, boolean closes) {
        PollConnection connection = checkConnection;
        livenessCheck.onAnswered(connection.secondsSincePoll());
        if (list.version() <= version && watchConnection != null) {
            connection.endPoll();
            if (closes) {
                checkConnection = null;
                discard(connection);
            }
            return;
        }
        // The watch is closed or missed a change that it should have reported, so this connection replaces it.
        checkConnection = null;
        discard(watchConnection);
        watchConnection = connection;
        // The watch may have reported newer changes while this answer was in transit; they must not be reverted. A
        // complete list with a lower version that was polled later comes from a service that has begun anew.
        boolean polledBeforeLastList = connection.secondsSincePoll() > secondsSinceLastList();
        boolean outdated = list.version() < version && (!list.complete() || polledBeforeLastList);
        onWatchAnswered(connection, outdated ? new EndpointList(version, false, List.of()) : list, closes);
    }

    private double secondsSinceLastList() {
        return (System.nanoTime() - lastListNanos) / NANOS_PER_SECOND;
    }

    private void onWatchAnswered(PollConnection connection, EndpointList list, boolean closes) {
        version = list.version();
        lastListNanos = System.nanoTime();
        watchIsLate = false;
        PollConnection other = connection == watchConnection ? lateConnection : watchConnection;
        watchConnection = closes ? null : connection;
        lateConnection = null;
        discard(other);
        if (closes) {
            discard(connection);
        }
        listener.onEndpointList(list);
        if (watchConnection == null) {
            ensureWatching();
        } else {
            poll(watchConnection);
        }
    }

    private static String describeAge(PollConnection connection) {
        return connection.hasPolled()
                ? String.format(Locale.ROOT, " %.1f s after the poll", connection.secondsSincePoll())
                : "";
    }

    private static String describe(HttpResponse response) {
        return "status " + response.status();
    }

    @Override
    public void onFailure(PollConnection connection, String reason) {
        fail(connection, reason, false, livenessCheck::nextRetrySeconds);
    }

    /**
     * Closes a connection after its poll failed or was rejected, and reports the failure of a watch.
     *
     * @param rejected whether the service rejected the poll
     * @param checkDelay supplies the seconds until the next check if the connection carried one
     */
    private void fail(PollConnection connection, String reason, boolean rejected, DoubleSupplier checkDelay) {
        if (connection == checkConnection) {
            checkConnection = null;
            if (connection.isPolling()) { // else the service closed it between two checks
                Log.info("discovery check", "discovery check failed: " + reason + describeAge(connection));
                scheduleCheck(checkDelay.getAsDouble());
            }
        } else if (connection == lateConnection) {
            reportIfRejected(connection, rejected);
            lateConnection = null;
        } else if (connection == watchConnection) {
            Log.warn("discovery", "discovery failed: " + reason + describeAge(connection));
            reportIfRejected(connection, rejected);
            watchConnection = null;
            mustConfirm = pushed;
            listener.onEndpointListFailed();
        } else {
            return;
        }
        discard(connection);
    }

    private void reportIfRejected(PollConnection watch, boolean rejected) {
        if (rejected) {
            listener.onWatchEvent(new WatchEvent.Rejected(watch.secondsSincePoll()));
        }
    }
}
