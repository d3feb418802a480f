package clayhook.clustertests;

import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.clustertests.ClusterNode.Behavior;
import clayhook.clustertests.FaultSoak.Verdict;
import clayhook.clustertests.SoakFault.Departures;
import clayhook.clustertests.SoakFault.Drain;
import clayhook.clustertests.SoakFault.LogStall;
import clayhook.clustertests.SoakFault.NodeFault;
import clayhook.clustertests.SoakFault.NodeRestart;
import clayhook.clustertests.SoakSchedule.TimedFault;
import clayhook.lab.model.RuleAudit.RuleKept;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Checks that the audits of the soak detect the violations of deliberately broken builds, each of its own rule. The
 * same faults cause no violation with the real build, which {@link FaultSoakTest} runs under these and many other
 * faults.
 */
class SoakAuditTest {
    private static final int NODES = 8;
    private static final double ALL_CALLS_SECONDS = 0.5;
    private static final String CORE = "core";
    private static final String DAEMON = "daemon";
    private static final String POLICY = "clayhook/RoutingPolicy.java";
    private static final String BACKEND = "clayhook/backend/BackendClient.java";
    private static final String QUERY_TEXT =
            "request.statement.textWithTimeout(request.attempt.timeoutAt - clock.now())";

    /** Longer than what audits allow for a busy machine, shorter than the time for which writes wait for a primary. */
    private static final double PRIMARY_DOWN_SECONDS = 2.3;

    private static final double CLIENT_TIMEOUT_SECONDS = 6;
    /** Several, as each router holds few writes until the primary is back; the other writes exhaust their attempts. */
    private static final int ROUTERS = 8;
    /**
     * Begin of each outage of the primary. There are several, so that in practically every run some router holds a
     * write that the audit checks.
     */
    private static final List<Double> PRIMARY_DOWN_AT = List.of(1.0, 6.0, 11.0);

    /** Far longer than the staleness bound of one second plus the second that audits allow for a busy machine. */
    private static final double LOG_STALL_SECONDS = 6;

    private static final double DEPARTURE_SECONDS = 0.1;
    private static final int DEPARTING_CLIENTS = 4;

    @TempDir
    Path classes;

    private BrokenBuild build;

    @BeforeEach
    void resetBuild() {
        build = new BrokenBuild();
    }

    private Verdict runBrokenBuild(int routers, double clientTimeoutSeconds, List<TimedFault> faults) throws Exception {
        RouterProgram program = build.compile(classes);
        var spec = new FleetSpec(program, routers, NODES, ALL_CALLS_SECONDS, true, 1)
                .withClientTimeout(clientTimeoutSeconds);
        return FaultSoakTest.runSoak(spec, faults);
    }

    private static void assertReported(List<String> violations, String expected, Verdict verdict) {
        assertTrue(violations.stream().anyMatch(text -> text.contains(expected)), verdict::toString);
    }

    /** Outages of the primary, during which writes wait for it. */
    private static List<TimedFault> primaryOutages() {
        return PRIMARY_DOWN_AT.stream()
                .map(at -> new TimedFault(0, at, PRIMARY_DOWN_SECONDS, new NodeFault(0, Behavior.DEAD)))
                .toList();
    }

    /** Clients that disconnect shortly after each begin of an outage of the primary. */
    private static List<TimedFault> disconnectsDuringOutages() {
        List<Integer> allRouters = IntStream.range(0, ROUTERS).boxed().toList();
        var departures = new Departures(allRouters, DEPARTING_CLIENTS);
        return PRIMARY_DOWN_AT.stream()
                .map(at -> new TimedFault(1, at + DEPARTURE_SECONDS, DEPARTURE_SECONDS, departures))
                .toList();
    }

    @Test
    void auditDetectsBuildThatServesDisconnectedClients() throws Exception {
        build.replace(
                        DAEMON,
                        "clayhook/serve/AttemptResults.java",
                        "((ClientRequest) attempt.request).clientSession.isClientGone()",
                        "false")
                .replace(
                        DAEMON,
                        "clayhook/serve/RequestAdmission.java",
                        "ClientRequest request = openRequests.remove(session);",
                        "ClientRequest request = null;");
        var faults = new ArrayList<>(primaryOutages());
        faults.addAll(disconnectsDuringOutages());
        Verdict verdict = runBrokenBuild(ROUTERS, CLIENT_TIMEOUT_SECONDS, faults);
        assertReported(verdict.attemptViolations(), "after the client left", verdict);
    }

    @Test
    void auditDetectsBuildThatSendsNodesTheWholeTimeout() throws Exception {
        build.replace(
                DAEMON,
                BACKEND,
                QUERY_TEXT,
                "request.statement.textWithTimeout("
                        + "request.attempt.request.deadline - request.attempt.request.arrivedAt)");
        Verdict verdict = runBrokenBuild(ROUTERS, CLIENT_TIMEOUT_SECONDS, primaryOutages());
        assertReported(verdict.attemptViolations(), "longer than the client waits", verdict);
    }

    @Test
    void auditDetectsBuildThatRetriesWritesUnderAnotherKey() throws Exception {
        build.replace(
                DAEMON,
                BACKEND,
                QUERY_TEXT,
                "new String(" + QUERY_TEXT + ", java.nio.charset.StandardCharsets.ISO_8859_1)"
                        + ".replace(\",k=\", request.attempt.request.attempts.size() > 1 ? \",k=0\" : \",k=\")"
                        + ".getBytes(java.nio.charset.StandardCharsets.ISO_8859_1)");
        Verdict verdict = runBrokenBuild(3, 2, List.of(new TimedFault(0, 1, 1, new NodeFault(0, Behavior.RESETTING))));
        assertReported(verdict.attemptViolations(), "in place of the client's", verdict);
    }

    @Test
    void auditDetectsBuildThatReadsFromStaleReplicas() throws Exception {
        build.replace(
                        CORE,
                        POLICY,
                        "yield node.appliedPosition >= now + margin - request.maxStalenessSeconds();",
                        "yield true;")
                .replace(
                        CORE,
                        POLICY,
                        "|| replica.lagSeconds <= lagGate(request.requestClass));",
                        "|| replica.lagSeconds < Double.MAX_VALUE);");
        List<TimedFault> faults = IntStream.range(1, NODES)
                .mapToObj(node -> new TimedFault(node, 1, LOG_STALL_SECONDS, new LogStall(node)))
                .toList();
        Verdict verdict = runBrokenBuild(ROUTERS, 2, faults);
        assertTrue(verdict.brokenRules().containsKey(RuleKept.NO_STALE_READ), verdict::toString);
    }

    /** The node restarts before any router detects its death, while most other nodes drain. */
    @Test
    void auditDetectsBuildThatOverloadsNodesInSlowStart() throws Exception {
        build.replace(CORE, POLICY, "return budget.hasToken();", "return true;")
                .replace(CORE, POLICY, "} else if (lacksSlowStartToken(attempt, node, now)) {", "} else if (false) {")
                .replace(CORE, POLICY, "settings.capacityFraction(replica.startedAt(), now), byLoad)", "1, byLoad)");
        var faults = new ArrayList<TimedFault>();
        faults.add(new TimedFault(0, 1, 8, new Drain(List.of(2, 3, 4, 5, 6, 7))));
        for (double at = 2; at < 8; at += 2) {
            faults.add(new TimedFault(1, at, 0.05, new NodeRestart(1)));
        }
        Verdict verdict = runBrokenBuild(8, 2, faults);
        assertReported(verdict.slowStartViolations(), "n1 got", verdict);
    }
}
