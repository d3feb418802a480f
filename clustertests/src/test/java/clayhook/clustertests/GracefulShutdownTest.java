package clayhook.clustertests;

import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.clustertests.RequestRecord.Outcome;
import clayhook.clustertests.ShutdownPlan.TimedSignal;
import clayhook.clustertests.ShutdownScenario.Result;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs router processes that all get SIGTERM at the same time while clients of all kinds use them until SIGKILL. */
class GracefulShutdownTest {
    private static final int ROUTERS = 4;
    private static final int NODES = 4;
    private static final int CLIENTS_OF_EACH_KIND = 6;
    private static final int FLOODING_CLIENTS = 6;
    private static final double ALL_CALLS_SECONDS = 0.5;
    private static final String DAEMON = "daemon";

    @Test
    void requestsReadDuringShutdownAreAnswered() throws Exception {
        var spec = new FleetSpec(RouterProgram.of(ClusterTest.JAR), ROUTERS, NODES, ALL_CALLS_SECONDS, true, 1);
        try (var fleet = new RouterFleet(spec)) {
            Result result = ShutdownScenario.run(
                    fleet, fleet.routers(), ShutdownPlan.plain(CLIENTS_OF_EACH_KIND), new Random(1));
            assertTrue(result.violations().isEmpty(), result::toString);
            assertTrue(result.records().stream().anyMatch(each -> each.outcome() == Outcome.SERVED), result::toString);
        }
    }

    /** Guards against requests that are lost in a shutdown because other clients send at full speed meanwhile. */
    @Test
    void requestsReadDuringShutdownBesideFloodAreAnswered() throws Exception {
        var spec = new FleetSpec(RouterProgram.of(ClusterTest.JAR), 1, NODES, ALL_CALLS_SECONDS, true, 1)
                .withClientTimeout(1);
        try (var fleet = new RouterFleet(spec)) {
            RouterProcess router = fleet.routers().get(0);
            var flood = new ClientFlood(router.address(), ClientFlood.Kind.EMPTY_STATEMENTS, FLOODING_CLIENTS);
            try (flood) {
                Result result = ShutdownScenario.run(
                        fleet, fleet.routers(), ShutdownPlan.plain(CLIENTS_OF_EACH_KIND), new Random(1));
                assertTrue(result.violations().isEmpty(), result::toString);
                assertTrue(result.records().stream().anyMatch(each -> each.outcome() == Outcome.SERVED));
            }
        }
    }

    /** An earlier router read and dropped requests that arrived while it ended the session. */
    @Test
    void auditDetectsBuildThatDropsRequestsItHasRead(@TempDir Path classes) throws Exception {
        String frontend = "clayhook/frontend/";
        RouterProgram program = new BrokenBuild()
                .replace(
                        DAEMON,
                        frontend + "EndCause.java",
                        "return this == SHUTDOWN",
                        "return false && this == SHUTDOWN")
                .replace(
                        DAEMON,
                        frontend + "ClientResponses.java",
                        "return fatal(SqlState.CANNOT_CONNECT_NOW, closeReason(cause));",
                        "return io.netty.buffer.Unpooled.EMPTY_BUFFER;")
                .compile(classes);
        assertLost(runShutdown(program), "ENDED");
    }

    @Test
    void auditDetectsBuildThatExitsTooEarly(@TempDir Path classes) throws Exception {
        RouterProgram program = new BrokenBuild()
                .replace(
                        DAEMON,
                        "clayhook/serve/Server.java",
                        "transport.eventLoop().submit(router::drain).get();",
                        "Runtime.getRuntime().halt(0);")
                .compile(classes);
        assertLost(runShutdown(program), "");
    }

    /** All nodes hang from the signal on, so that requests are pending until the router fails them. */
    private static final ShutdownPlan HUNG_NODES = new ShutdownPlan(3, 0, List.of(), List.of(0, 1, 2, 3));

    /** Longer than the time from SIGTERM to SIGKILL. */
    private static final double LONG_TIMEOUT_SECONDS = 6;

    @Test
    void requestsPendingAtEndOfShutdownAreAnswered() throws Exception {
        Result result = runShutdown(RouterProgram.of(ClusterTest.JAR), HUNG_NODES, LONG_TIMEOUT_SECONDS);
        assertTrue(result.violations().isEmpty(), result::toString);
    }

    /**
     * Removes both places that answer pending requests: the one that fails them, and the end of sessions before the
     * exit.
     */
    @Test
    void auditDetectsBuildThatDoesNotFailPendingRequests(@TempDir Path classes) throws Exception {
        RouterProgram program = new BrokenBuild()
                .replace(DAEMON, "clayhook/serve/Router.java", "inbox.add(now -> openRequests.failAll());", "")
                .replace(DAEMON, "clayhook/serve/Router.java", "frontend.endSessionsBeforeExit();", "")
                .compile(classes);
        assertLost(runShutdown(program, HUNG_NODES, LONG_TIMEOUT_SECONDS), "");
    }

    /** The router is stalled from before the last clients connect until it stops listening. */
    private static final ShutdownPlan STALLED_UNTIL_IT_STOPS_LISTENING =
            new ShutdownPlan(10, 0, List.of(new TimedSignal(0.01, "STOP"), new TimedSignal(1.4, "CONT")), List.of());

    @Test
    void clientsInBacklogAreServedWhenRouterStopsListening() throws Exception {
        Result result = runShutdown(RouterProgram.of(ClusterTest.JAR), STALLED_UNTIL_IT_STOPS_LISTENING, 1);
        assertTrue(result.violations().isEmpty(), result::toString);
    }

    @Test
    void auditDetectsBuildThatClosesListenerWithPendingBacklog(@TempDir Path classes) throws Exception {
        RouterProgram program = new BrokenBuild()
                .replace(
                        DAEMON,
                        "clayhook/transport/Transport.java",
                        "&& channel.acceptBacklog(MAX_ACCEPTS_PER_TICK)) {",
                        "&& !channel.isOpen()) {")
                .compile(classes);
        assertLost(runShutdown(program, STALLED_UNTIL_IT_STOPS_LISTENING, 1), "NEWCOMER");
    }

    private static Result runShutdown(RouterProgram program) throws Exception {
        return runShutdown(program, ShutdownPlan.plain(4), 1);
    }

    private static Result runShutdown(RouterProgram program, ShutdownPlan plan, double timeoutSeconds)
            throws Exception {
        var spec = new FleetSpec(program, 2, NODES, ALL_CALLS_SECONDS, true, 1).withClientTimeout(timeoutSeconds);
        try (var fleet = new RouterFleet(spec)) {
            return ShutdownScenario.run(fleet, fleet.routers(), plan, new Random(1));
        }
    }

    private static void assertLost(Result result, String expected) {
        assertTrue(
                result.violations().stream().anyMatch(text -> text.startsWith("lost: ") && text.contains(expected)),
                result::toString);
    }
}
