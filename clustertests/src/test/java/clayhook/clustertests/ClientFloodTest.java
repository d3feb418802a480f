package clayhook.clustertests;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Runs a router process whose clients include some that send small messages as fast as they can. The number of these
 * clients and the seconds of each flood can be set by {@code -Dclayhook.flood.clients} and
 * {@code -Dclayhook.flood.seconds}.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class ClientFloodTest {
    private static final int FLOODING_CLIENTS = Integer.getInteger("clayhook.flood.clients", 6);
    private static final double FLOOD_SECONDS = Integer.getInteger("clayhook.flood.seconds", 3);
    private static final int STEADY_CLIENTS = 40;
    private static final int LEAVING_CLIENTS = 60;
    /** More than a router reads ahead on one connection. */
    private static final int REQUESTS_SENT_AHEAD = 2500;
    /** Client timeout of the steady clients; the shortest of the operators' request classes have less. */
    private static final double TIMEOUT_SECONDS = 0.4;

    private static final int NODES = 6;
    private static final double ALL_CALLS_SECONDS = 0.5;
    private static final double MILLIS_PER_SECOND = 1000;

    private RouterFleet fleet;

    @BeforeAll
    void startRouter() throws Exception {
        var spec = new FleetSpec(RouterProgram.of(ClusterTest.JAR), 1, NODES, ALL_CALLS_SECONDS, true, 1);
        fleet = new RouterFleet(spec.withClientTimeout(TIMEOUT_SECONDS));
    }

    @AfterAll
    void close() throws Exception {
        fleet.close();
    }

    /** Guards against answers that come late, or never, while other clients send small messages at full speed. */
    @ParameterizedTest
    @EnumSource
    void floodOfSmallMessagesDelaysNoOtherClient(ClientFlood.Kind kind) throws Exception {
        RouterProcess router = fleet.routers().get(0);
        int mark = router.logMark();
        var steady = new SteadyClients(fleet, router, STEADY_CLIENTS, TIMEOUT_SECONDS, 1);
        try (steady) {
            Thread.sleep((long) (0.2 * FLOOD_SECONDS * MILLIS_PER_SECOND));
            try (var flood = new ClientFlood(router.address(), kind, FLOODING_CLIENTS)) {
                Thread.sleep((long) (FLOOD_SECONDS * MILLIS_PER_SECOND));
                assertTrue(flood.sentBytes() > 0);
            }
        }
        List<String> unanswered = steady.unansweredInTime();
        System.out.println(kind + ": " + steady.records().size() + " requests, " + steady.served() + " served, "
                + unanswered.size() + " without an answer in time, latency " + steady.latencies()
                + ", peak memory so far "
                + Math.round(router.peakMemoryMb()) + " MB");
        assertEquals(List.of(), unanswered, () -> String.join("\n", router.linesSince(mark)));
        assertTrue(router.peakMemoryMb() < RouterProcess.MEMORY_LIMIT_MB, router.peakMemoryMb() + " MB");
        assertTrue(steady.served() > steady.records().size() / 2, fleet::logs);
    }

    /** Guards against sound clients that are cut or starved, beside a flood, as they send far ahead. */
    @Test
    void allRequestsSentAheadBesideFloodAreAnswered() throws Exception {
        RouterProcess router = fleet.routers().get(0);
        var flood = new ClientFlood(router.address(), ClientFlood.Kind.EMPTY_STATEMENTS, FLOODING_CLIENTS);
        try (flood;
                var client = new RecordingClient(
                        fleet.attempts(), router.name(), router.address(), "pipelining", TIMEOUT_SECONDS)) {
            client.startUp();
            client.send(REQUESTS_SENT_AHEAD);
            assertTrue(client.awaitAnswers());
            assertEquals(REQUESTS_SENT_AHEAD, client.records().size());
            assertEquals(List.of(), RequestAudit.violations(client.records(), 0));
        }
    }

    /** Guards against requests that are sent on for clients that closed their connection with many unanswered. */
    @ParameterizedTest
    @CsvSource({"false, false", "true, false", "false, true", "true, true"})
    void noAttemptBeginsForClientsThatHaveLeft(boolean readsAnswers, boolean besideFlood) throws Exception {
        RouterProcess router = fleet.routers().get(0);
        var leaving = new LeavingClients(fleet, router, LEAVING_CLIENTS, readsAnswers, 1);
        try (leaving) {
            var flood = new ClientFlood(
                    router.address(), ClientFlood.Kind.EMPTY_STATEMENTS, besideFlood ? FLOODING_CLIENTS : 0);
            try (flood) {
                Thread.sleep((long) (FLOOD_SECONDS * MILLIS_PER_SECOND));
            }
        }
        Thread.sleep((long) MILLIS_PER_SECOND); // until attempts for the last clients would have begun
        System.out.println("leaving clients, reading " + readsAnswers + ", beside a flood " + besideFlood + ": "
                + leaving.attempts() + " attempts, " + leaving.lateAttempts().size() + " too late");
        assertTrue(leaving.attempts() > 0);
        assertEquals(List.of(), leaving.lateAttempts());
    }
}
