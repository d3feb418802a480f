package clayhook.clustertests;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Runs a router process with hundreds of clients that send slowly, stop half way or send very many short parts. Their
 * number and the seconds can be set by {@code -Dclayhook.slow.clients} and {@code -Dclayhook.slow.seconds}.
 */
class SlowSendersTest {
    private static final int SLOW_CLIENTS = Integer.getInteger("clayhook.slow.clients", 400);
    private static final double SECONDS = Integer.getInteger("clayhook.slow.seconds", 8);
    private static final int STEADY_CLIENTS = 40;
    private static final double TIMEOUT_SECONDS = 0.4;
    private static final int NODES = 6;
    private static final double ALL_CALLS_SECONDS = 0.5;
    private static final double MILLIS_PER_SECOND = 1000;

    /** Guards against a process that passes its memory limit, or that answers late, beside hundreds of slow senders. */
    @Test
    void slowSendersNeitherDelayOtherClientsNorExhaustTheMemory() throws Exception {
        var spec = new FleetSpec(RouterProgram.of(ClusterTest.JAR), 1, NODES, ALL_CALLS_SECONDS, true, 1);
        try (var fleet = new RouterFleet(spec.withClientTimeout(TIMEOUT_SECONDS))) {
            RouterProcess router = fleet.routers().get(0);
            int mark = router.logMark();
            var steady = new SteadyClients(fleet, router, STEADY_CLIENTS, TIMEOUT_SECONDS, 1);
            try (steady) {
                Thread.sleep((long) MILLIS_PER_SECOND);
                var slow = new SlowSenders(router.address(), SLOW_CLIENTS);
                try (slow) {
                    Thread.sleep((long) (SECONDS * MILLIS_PER_SECOND));
                }
            }
            double peakMb = router.peakMemoryMb();
            List<String> unanswered = steady.unansweredInTime();
            System.out.println(
                    SLOW_CLIENTS + " slow senders: " + steady.records().size() + " requests, "
                            + steady.served() + " served, " + unanswered.size() + " without an answer in time, latency "
                            + steady.latencies() + ", peak " + Math.round(peakMb) + " MB");
            assertEquals(List.of(), unanswered, () -> String.join("\n", router.linesSince(mark)));
            assertTrue(router.isRunning());
            assertTrue(peakMb < RouterProcess.MEMORY_LIMIT_MB, peakMb + " MB");
            assertTrue(steady.served() > steady.records().size() / 2, fleet::logs);
        }
    }
}
