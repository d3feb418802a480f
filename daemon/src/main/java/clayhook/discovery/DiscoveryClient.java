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
 * Watches one discovery service by long polls: each follows the answer to the last, on one connection while that
 * answers. Beside it a liveness check polls without a wait now and then, on a connection of its own, since a watch that
 * has fallen silent looks like one that has nothing to report. Event loop only.
 */
final class DiscoveryClient implements PollConnection.Listener {
    private static final int OK = 200;

    /** The service rejects a poll, as too many came. */
    private static final int SERVICE_UNAVAILABLE = 503;

    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MILLIS_PER_SECOND = 1000;

    final InetSocketAddress address;
    private final Transport transport;
    private final EndpointWatcher.Listener listener;
    private final int longPollMs;
    private final WatchLivenessCheck livenessCheck;
    /** The newest list version that was reported, or {@link PollConnection#NO_VERSION}. */
    private long version;
    /** Carries the watch, or null. */
    private PollConnection watchConnection;
    /** The answer to the watch is late. */
    private boolean watchIsLate;
    /** Polls of the watch that were rejected since anything was answered. */
    private int rejectedWatches;
    /**
     * Carried the watch before and is late, or null: its answer is still accepted. It leaves with any answer, or when
     * its poll times out.
     */
    private PollConnection lateConnection;
    /** Carries checks, or null; it stays for as long as the service keeps it. */
    private PollConnection checkConnection;
    /** The next check; null before the first watch and after {@link #close}. */
    private ScheduledFuture<?> scheduledCheck;

    /** {@code longPollSeconds}: how long a watch waits for changes. */
    DiscoveryClient(
            Transport transport,
            InetSocketAddress address,
            long version,
            double longPollSeconds,
            WatchLivenessCheck livenessCheck,
            EndpointWatcher.Listener listener) {
        this.transport = transport;
        this.address = address;
        this.version = version;
        this.livenessCheck = livenessCheck;
        this.listener = listener;
        longPollMs = (int) Math.round(longPollSeconds * MILLIS_PER_SECOND);
    }

    /** Opens a watch unless there is one; one whose answer is late does not count. */
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

    /** Ends the watch and its checks. */
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

    // ---- checks ----

    private void scheduleCheck(double seconds) {
        if (scheduledCheck != null) {
            scheduledCheck.cancel(false);
        }
        long nanos = (long) (seconds * NANOS_PER_SECOND);
        scheduledCheck = transport.eventLoop().schedule(this::check, nanos, TimeUnit.NANOSECONDS);
    }

    private void check() {
        if (checkConnection == null) {
            checkConnection = new PollConnection(address, this);
            checkConnection.connect(transport);
        } else if (!checkConnection.isPolling()) {
            poll(checkConnection);
        } // else the last check has not ended yet, and schedules the next one when it does
    }

    /** Polls on a connection: with a wait for changes on all but the one for checks. */
    private void poll(PollConnection connection) {
        boolean waits = version != PollConnection.NO_VERSION && connection != checkConnection;
        connection.poll(version, waits ? watchWaitMs() : PollConnection.NO_WAIT);
    }

    private int watchWaitMs() {
        double waitSeconds = livenessCheck.nextWatchWaitSeconds(rejectedWatches);
        return (int) Math.min(longPollMs, waitSeconds * MILLIS_PER_SECOND);
    }

    // ---- what connections report ----

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
                rejectedWatches++;
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
        rejectedWatches = 0;
        scheduleCheck(livenessCheck.nextIntervalSeconds());
        double polledSecondsAgo = connection.secondsSincePoll();
        // The service may have made the answer to a watch as long before as it takes for a call.
        double answerAge =
                connection.isLongPoll() ? Math.min(polledSecondsAgo, livenessCheck.callSeconds()) : polledSecondsAgo;
        PollKind kind = connection.isLongPoll() ? PollKind.WATCH : PollKind.CHECK;
        if (connection == checkConnection) {
            onCheckAnswered(list, response.closesConnection());
        } else {
            onWatchAnswered(connection, list, response.closesConnection());
        }
        listener.onWatchEvent(new WatchEvent.Confirmed(answerAge, kind, polledSecondsAgo, list.version()));
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
        // The watch is broken, or has missed what it should have reported: this connection takes its place.
        checkConnection = null;
        discard(watchConnection);
        watchConnection = connection;
        // The watch may have reported changes while this answer was on its way, which must not be undone.
        boolean outdated = !list.complete() && list.version() < version;
        onWatchAnswered(connection, outdated ? new EndpointList(version, false, List.of()) : list, closes);
    }

    private void onWatchAnswered(PollConnection connection, EndpointList list, boolean closes) {
        version = list.version();
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

    /** Gives a connection up; {@code checkDelay} says when to check again where it carried a check. */
    private void fail(PollConnection connection, String reason, boolean rejected, DoubleSupplier checkDelay) {
        if (connection == checkConnection) {
            checkConnection = null;
            if (connection.isPolling()) { // else it was closed between two checks
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
