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
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * The judge of the soak fails on builds that are broken on purpose, each for its own rule. The same faults break no
 * rule of the real build, which {@link FaultSoakTest} plays with many others.
 */
class SoakJudgeTest {
    private static final int NODES = 8;
    private static final double ALL_CALLS_SECONDS = 0.5;
    private static final String CORE = "core";
    private static final String DAEMON = "daemon";
    private static final String POLICY = "clayhook/RoutingPolicy.java";
    private static final String BACKEND = "clayhook/backend/BackendClient.java";
    private static final String QUERY_TEXT =
            "request.statement.textWithTimeout(request.attempt.timeoutAt - clock.now())";

    /** Longer than what judges allow for a busy machine, shorter than writes wait for a primary. */
    private static final double PRIMARY_DOWN_SECONDS = 2.3;

    private static final double CLIENT_TIMEOUT_SECONDS = 6;

    @TempDir
    Path classes;

    private BrokenBuild build;

    @BeforeEach
    void startWithTheRealBuild() {
        build = new BrokenBuild();
    }

    private Verdict play(int routers, double clientTimeoutSeconds, List<TimedFault> faults) throws Exception {
        RouterProgram program = build.compile(classes);
        var spec = new FleetSpec(program, routers, NODES, ALL_CALLS_SECONDS, true, 1)
                .withClientTimeout(clientTimeoutSeconds);
        return FaultSoakTest.play(spec, faults);
    }

    private static void assertReported(List<String> violations, String what, Verdict verdict) {
        assertTrue(violations.stream().anyMatch(text -> text.contains(what)), verdict::toString);
    }

    /** Writes wait for the primary, which comes back when some of their clients have left. */
    private static List<TimedFault> primaryIsDownForAWhile() {
        return List.of(new TimedFault(0, 1, PRIMARY_DOWN_SECONDS, new NodeFault(0, Behavior.DEAD)));
    }

    @Test
    void judgeFailsOnABuildThatServesClientsThatHaveLeft() throws Exception {
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
        var faults = new ArrayList<>(primaryIsDownForAWhile());
        faults.add(new TimedFault(1, 1.1, 0.1, new Departures(List.of(0, 1, 2), 4)));
        Verdict verdict = play(3, CLIENT_TIMEOUT_SECONDS, faults);
        assertReported(verdict.attemptViolations(), "after the client left", verdict);
    }

    @Test
    void judgeFailsOnABuildThatTellsNodesTheWholeTimeout() throws Exception {
        build.replace(
                DAEMON,
                BACKEND,
                QUERY_TEXT,
                "request.statement.textWithTimeout("
                        + "request.attempt.request.deadline - request.attempt.request.arrivedAt)");
        Verdict verdict = play(3, CLIENT_TIMEOUT_SECONDS, primaryIsDownForAWhile());
        assertReported(verdict.attemptViolations(), "longer than the client waits", verdict);
    }

    @Test
    void judgeFailsOnABuildThatRepeatsWritesUnderAnotherKey() throws Exception {
        build.replace(
                DAEMON,
                BACKEND,
                QUERY_TEXT,
                "new String(" + QUERY_TEXT + ", java.nio.charset.StandardCharsets.ISO_8859_1)"
                        + ".replace(\",k=\", request.attempt.request.attempts.size() > 1 ? \",k=0\" : \",k=\")"
                        + ".getBytes(java.nio.charset.StandardCharsets.ISO_8859_1)");
        Verdict verdict = play(3, 2, List.of(new TimedFault(0, 1, 1, new NodeFault(0, Behavior.RESETTING))));
        assertReported(verdict.attemptViolations(), "in place of the client's", verdict);
    }

    @Test
    void judgeFailsOnABuildThatReadsFromStaleReplicas() throws Exception {
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
        Verdict verdict = play(3, 2, List.of(new TimedFault(0, 1, 3, new LogStall(1))));
        assertTrue(verdict.brokenRules().containsKey(RuleKept.NO_STALE_READ), verdict::toString);
    }

    /** The node is back before anyone takes it for dead, and the others drain under it. */
    @Test
    void judgeFailsOnABuildThatOverloadsNodesInSlowStart() throws Exception {
        build.replace(CORE, POLICY, "return budget.hasToken();", "return true;")
                .replace(CORE, POLICY, "} else if (lacksSlowStartToken(attempt, node, now)) {", "} else if (false) {")
                .replace(CORE, POLICY, "settings.capacityFraction(replica.startedAt(), now), byLoad)", "1, byLoad)");
        var faults = new ArrayList<TimedFault>();
        faults.add(new TimedFault(0, 1, 8, new Drain(List.of(2, 3, 4, 5, 6, 7))));
        for (double at = 2; at < 8; at += 2) {
            faults.add(new TimedFault(1, at, 0.05, new NodeRestart(1)));
        }
        Verdict verdict = play(8, 2, faults);
        assertReported(verdict.slowStartViolations(), "n1 got", verdict);
    }
}
