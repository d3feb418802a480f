package clayhook.serve;

import clayhook.RoutingPolicy;
import clayhook.backend.BackendClient;
import clayhook.frontend.ClientListener;
import clayhook.inflight.InFlightRequests;
import clayhook.log.Log;
import clayhook.metrics.EventCounters;
import clayhook.transport.DescriptorBudget;
import io.netty.util.internal.PlatformDependent;

/** Logs a summary of the router's activity at fixed intervals. Event loop only. */
final class SummaryLog {
    private static final double INTERVAL_SECONDS = 10;
    private static final int BYTES_PER_KIB = 1024;

    private final ClientListener frontend;
    private final BackendClient backend;
    private final InFlightRequests inFlight;
    private final DescriptorBudget descriptors;
    private final TickTimer timer;
    private final RoutingPolicy policy;
    private final ReloadableSqlAdmission sql;
    private final EventCounters counters;
    private double nextAt;

    SummaryLog(
            ClientListener frontend,
            BackendClient backend,
            InFlightRequests inFlight,
            DescriptorBudget descriptors,
            TickTimer timer,
            RoutingPolicy policy,
            ReloadableSqlAdmission sql,
            EventCounters counters,
            double startedAt) {
        this.frontend = frontend;
        this.backend = backend;
        this.inFlight = inFlight;
        this.descriptors = descriptors;
        this.timer = timer;
        this.policy = policy;
        this.sql = sql;
        this.counters = counters;
        nextAt = startedAt + INTERVAL_SECONDS;
    }

    /** Logs the summary if its interval has elapsed. */
    void onTick(double now) {
        if (now >= nextAt) {
            nextAt = now + INTERVAL_SECONDS;
            write(now);
        }
    }

    /** Logs the current state and the counters since the last summary. */
    void write(double now) {
        Log.info("summary: clients " + frontend.sessionCount() + ", connections to nodes "
                + backend.connectionCount() + ", in flight " + inFlight.size() + ", descriptors at most "
                + descriptors.peak() + ", event loop delay at most " + Math.round(timer.maxDelay() * 1000) + " ms, "
                + counters.takeSummary());
        Log.info("nodes: " + policy.describeNodes(now) + ", in flight " + backend.inFlightByNode());
        Log.info("memory: client messages " + frontend.takeMemorySummary() + "; answers " + backend.takeMemorySummary()
                + "; direct " + PlatformDependent.usedDirectMemory() / BYTES_PER_KIB + " KiB of "
                + PlatformDependent.maxDirectMemory() / BYTES_PER_KIB);
        if (sql.isEnabled()) {
            Log.info("statements: " + sql.admission().summary());
        }
        timer.resetMaxDelay();
    }
}
