package clayhook;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.Decision.RoutingAction;
import clayhook.Endpoint.State;
import clayhook.RequestClass.Idempotency;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

class RoutingPolicyTest {
    private final RoutingFixture fixture = new RoutingFixture();

    @Test
    void boundedReadsRotateOverReplicasAndAvoidThePrimary() {
        Set<Node> met = new HashSet<>();
        for (int i = 0; i < 4; i++) {
            met.add(fixture.send(fixture.bounded).node);
        }
        assertEquals(Set.of(fixture.replica, fixture.otherReplica), met);
    }

    @ParameterizedTest
    @CsvSource({"0.2, true", "0.24, false", "0.9, false"})
    void replicaServesBoundedReadsOnlyWithinTheLagGate(double lag, boolean serves) {
        fixture.now += 1;
        fixture.report(fixture.primary, Role.PRIMARY, fixture.now);
        fixture.report(fixture.otherReplica, Role.REPLICA, fixture.now - 1);
        fixture.report(fixture.replica, Role.REPLICA, fixture.now - lag);
        assertEquals(serves ? fixture.replica : fixture.primary, fixture.send(fixture.bounded).node);
    }

    @ParameterizedTest
    @CsvSource({"0.25, true", "0.35, false"})
    void appliedPositionSatisfiesBoundedReadsUntilMaxStaleness(double later, boolean serves) {
        fixture.now += later;
        fixture.report(fixture.primary, Role.PRIMARY, fixture.now);
        assertEquals(!serves, fixture.send(fixture.bounded).node.equals(fixture.primary));
    }

    @Test
    void readWaitsForHealthCheckOfReplicaNotSeenForOneSecond() {
        fixture.now += 1.1;
        fixture.report(fixture.primary, Role.PRIMARY, fixture.now);
        Request read = fixture.request(fixture.eventual, 0);
        assertEquals(RoutingAction.WAIT, fixture.policy.route(read, fixture.now).action());
        Node looked = fixture.policy.tick(fixture.now).healthChecks().get(0);
        fixture.report(looked, Role.REPLICA, fixture.now);
        assertEquals(looked, fixture.policy.route(read, fixture.now).attempt().node);
    }

    @Test
    void staleReplicaServesSatisfiedReadsWhenHealthCheckBudgetIsLow() {
        for (int i = 0; i < 30; i++) {
            fixture.now += 0.2;
            fixture.policy.route(fixture.request(fixture.bounded, 0), fixture.now);
            fixture.policy.tick(fixture.now);
        }
        Decision choice = fixture.policy.route(fixture.request(fixture.session, 0), fixture.now);
        assertEquals(RoutingAction.SEND, choice.action());
        assertNotEquals(fixture.primary, choice.attempt().node);
    }

    @Test
    void healthCheckBudgetGrowsWithRequestsAndNotWithNodes() {
        fixture.now += 2;
        fixture.sendUntilFull(fixture.eventual);
        int probes = 0;
        for (int i = 0; i < 100; i++) {
            fixture.now += 1;
            probes += fixture.policy.tick(fixture.now).healthChecks().size();
        }
        assertTrue(probes <= 15, "probes " + probes);
    }

    @Test
    void writeWaitsForHealthCheckOfPrimaryNotSeenForOneSecond() {
        fixture.now += 1;
        fixture.report(fixture.otherReplica, Role.PRIMARY, fixture.now);
        fixture.now += 1.1;
        Request write = fixture.request(fixture.write, 0);
        assertEquals(
                RoutingAction.WAIT, fixture.policy.route(write, fixture.now).action());
        assertEquals(
                List.of(fixture.otherReplica), fixture.policy.tick(fixture.now).healthChecks());
    }

    @ParameterizedTest
    @CsvSource({"-0.1, true", "0.1, false"})
    void sessionReadNeedsTheCarriedLastWritePosition(double wroteAfterPosition, boolean serves) {
        Request read = fixture.request(fixture.session, fixture.now + wroteAfterPosition);
        assertEquals(!serves, fixture.route(read).attempt().node.equals(fixture.primary));
    }

    @ParameterizedTest
    @CsvSource({"1, true", "60, true"})
    void sessionReadNeedsTheRememberedWritePosition(double later, boolean onPrimary) {
        RoutingFixture remembering = new RoutingFixture(false, false);
        Attempt write = remembering.send(remembering.write);
        double position = remembering.now + later;
        remembering.finish(write, AttemptOutcome.ANSWERED, Role.PRIMARY, position);
        remembering.now += later;
        remembering.reportAll(position - 0.01);
        remembering.finish(remembering.send(remembering.write), AttemptOutcome.ANSWERED, Role.PRIMARY, position);
        Node node = remembering.send(remembering.session).node;
        assertEquals(onPrimary, node.equals(remembering.primary));
    }

    @ParameterizedTest
    @CsvSource({"1, 2", "0, 1"})
    void eventualReadsPreferReplicasOutsideTheLagGate(double lag, int nodes) {
        fixture.now += 9;
        fixture.report(fixture.primary, Role.PRIMARY, fixture.now);
        fixture.report(fixture.replica, Role.REPLICA, fixture.now - lag);
        fixture.report(fixture.otherReplica, Role.REPLICA, fixture.now - 9);
        Set<Node> met = fixture.nodesChosenFor(fixture.eventual, 4);
        assertTrue(met.contains(fixture.otherReplica) && met.size() == nodes, met.toString());
    }

    @ParameterizedTest
    @CsvSource({"0.1, true", "0.9, false"})
    void eventualReadsUseAllReplicasOnceLaggingReplicasAreSlow(double slowness, boolean alone) {
        for (int i = 0; i < 30; i++) {
            fixture.now += 0.5;
            fixture.report(fixture.primary, Role.PRIMARY, fixture.now);
            fixture.report(fixture.replica, Role.REPLICA, fixture.now);
            fixture.report(fixture.otherReplica, Role.REPLICA, fixture.now - 9);
            Decision choice = fixture.route(fixture.request(fixture.eventual, 0));
            if (choice.action() == RoutingAction.SEND) {
                boolean behind = choice.attempt().node == fixture.otherReplica;
                fixture.policy.onAttemptFinished(
                        choice.attempt(),
                        new AttemptResult(
                                AttemptOutcome.ANSWERED,
                                0.4 * (behind ? slowness : 0.1),
                                Role.REPLICA,
                                fixture.now - (behind ? 9 : 0),
                                Role.UNKNOWN,
                                0,
                                -1),
                        true,
                        fixture.now);
            }
        }
        Set<Node> met = fixture.nodesChosenFor(fixture.eventual, 3);
        assertEquals(alone, met.equals(Set.of(fixture.otherReplica)), met.toString());
    }

    @Test
    void healthChecksPreferTheOwnZone() {
        for (int i = 0; i < 6; i++) {
            fixture.now += 2;
            fixture.policy.route(fixture.request(fixture.session, 0), fixture.now);
            assertEquals(
                    List.of(fixture.replica), fixture.policy.tick(fixture.now).healthChecks());
            fixture.report(fixture.replica, Role.REPLICA, fixture.now);
        }
    }

    @ParameterizedTest
    @CsvSource({"0, false", "9, true"})
    void loadEstimateDecaysTowardsTheOverallEstimate(double idle, boolean sheds) {
        Node far = new Node("d", "north", 2);
        fixture.updateEndpoint(far, State.READY, 0);
        fixture.report(far, Role.REPLICA, fixture.now);
        for (int i = 0; i < 3; i++) {
            Decision calm = fixture.policy.route(
                    new Request(fixture.eventual, 2, null, 0, fixture.now, fixture.now + 4), fixture.now);
            fixture.policy.onAttemptFinished(
                    calm.attempt(),
                    new AttemptResult(AttemptOutcome.ANSWERED, 0.04, Role.REPLICA, fixture.now, Role.UNKNOWN, 0, -1),
                    true,
                    fixture.now);
        }
        for (int i = 0; i < 60; i++) {
            Decision crowded = fixture.route(fixture.request(fixture.eventual, 0));
            if (crowded.action() == RoutingAction.SEND) {
                fixture.policy.onAttemptFinished(
                        crowded.attempt(),
                        new AttemptResult(
                                AttemptOutcome.ANSWERED, 0.36, Role.REPLICA, fixture.now, Role.UNKNOWN, 0, -1),
                        true,
                        fixture.now);
            }
        }
        fixture.now += idle;
        int shed = 0;
        for (int i = 0; i < 20; i++) {
            Request read = new Request(fixture.eventual, 2, null, 0, fixture.now, fixture.now + 4);
            shed += fixture.policy.route(read, fixture.now).action() == RoutingAction.REJECT ? 1 : 0;
        }
        assertEquals(sheds, shed > 10);
    }

    @ParameterizedTest
    @CsvSource({"12, 3, 0, a", "0, 100, 70, ab"})
    void rareLongReadsAreKeptOnOneReplica(int others, int reads, int from, String nodes) {
        var met = new TreeSet<String>();
        for (int i = -others; i < reads; i++) {
            Attempt read = fixture.send(i < 0 ? fixture.eventual : fixture.report);
            fixture.now += i < 0 ? 0 : 0.9;
            fixture.reportAll(fixture.now);
            fixture.finish(read, AttemptOutcome.ANSWERED, Role.REPLICA, fixture.now);
            met.addAll(i < from ? Set.of() : Set.of(read.node.id()));
        }
        assertEquals(nodes, String.join("", met));
    }

    @Test
    void unsentHealthChecksAndAttemptsDoNotChangeNodeState() {
        for (int i = 0; i < 3; i++) {
            for (Node node : List.of(fixture.primary, fixture.replica, fixture.otherReplica)) {
                fixture.policy.onHealthCheck(
                        node, AttemptResult.withoutReport(AttemptOutcome.NOT_SENT, 0), fixture.now);
            }
            fixture.finish(fixture.send(fixture.eventual), AttemptOutcome.NOT_SENT, Role.UNKNOWN, 0);
        }
        assertEquals(Set.of(fixture.replica, fixture.otherReplica), fixture.nodesChosenFor(fixture.eventual, 4));
    }

    /** The lag as last told counts, not who was heard last: a router of a hundred hears of each every few seconds. */
    @ParameterizedTest
    @CsvSource({"5, 4, 0, 5", "3, 0.01, 2, 1"})
    void leastLaggingReplicaIsTriedFirstWhenReplicasRejectStaleReads(
            double idle, double lag, double apart, double far) {
        RoutingFixture checking = new RoutingFixture(true, true);
        checking.now += idle;
        checking.report(checking.replica, Role.REPLICA, checking.now - lag);
        checking.now += apart;
        checking.report(checking.otherReplica, Role.REPLICA, checking.now - far);
        checking.report(checking.primary, Role.PRIMARY, checking.now);
        assertEquals(checking.replica, checking.send(checking.bounded).node);
    }

    @ParameterizedTest
    @CsvSource({"0, false", "1, true"})
    void rejectedReadEjectsReplicaUntilItReportsThatItCaughtUp(double later, boolean back) {
        RoutingFixture checking = new RoutingFixture(true, true);
        checking.now += 2;
        checking.report(checking.primary, Role.PRIMARY, checking.now);
        checking.report(checking.replica, Role.REPLICA, checking.now - 1);
        Attempt refused = checking.send(checking.bounded);
        checking.finish(refused, AttemptOutcome.REJECTED, Role.REPLICA, checking.now - 1);
        checking.now += later;
        checking.report(checking.primary, Role.PRIMARY, checking.now);
        checking.report(refused.node, Role.REPLICA, later > 0 ? checking.now : checking.now - 1);
        assertEquals(back, checking.nodesChosenFor(checking.bounded, 3).contains(refused.node));
    }

    @ParameterizedTest
    @EnumSource(
            value = State.class,
            names = {"DRAINING", "GONE"})
    void drainingOrGoneNodeGetsNoNewAttempts(State state) {
        fixture.updateEndpoint(fixture.replica, state, 0);
        assertEquals(Set.of(fixture.otherReplica), fixture.nodesChosenFor(fixture.bounded, 4));
    }

    @Test
    void nodeMissingFromACompleteEndpointListIsGone() {
        fixture.policy.onEndpointList(
                List.of(
                        new Endpoint(fixture.primary, State.READY, true, 0),
                        new Endpoint(fixture.otherReplica, State.READY, false, 0)),
                true,
                fixture.now);
        assertEquals(Set.of(fixture.otherReplica), fixture.nodesChosenFor(fixture.eventual, 4));
    }

    @Test
    void nodeInSlowStartGetsOnlyItsBudget() {
        fixture.updateEndpoint(fixture.replica, State.READY, fixture.now - 0.1);
        fixture.updateEndpoint(fixture.otherReplica, State.DRAINING, 0);
        int sent = 0;
        for (int i = 0; i < 100; i++) {
            Decision choice = fixture.policy.route(fixture.request(fixture.eventual, 0), fixture.now);
            sent += choice.action() == RoutingAction.SEND
                            && choice.attempt().node.equals(fixture.replica)
                    ? 1
                    : 0;
        }
        assertTrue(sent <= 1, "sent " + sent);
    }

    /** How much work a replica is sent in three seconds just after its start, by one of so many routers. */
    private static double workSentInSlowStart(int routers) {
        RoutingFixture many = new RoutingFixture(routers, true, false, false, true);
        many.updateEndpoint(many.otherReplica, State.DRAINING, 0);
        for (int i = 0; i < 50; i++) {
            many.now += 0.1;
            many.reportAll(many.now);
            many.finish(many.send(many.eventual), AttemptOutcome.ANSWERED, Role.REPLICA, many.now);
        }
        many.updateEndpoint(many.replica, State.READY, many.now);
        double sent = 0;
        for (int i = 0; i < 100; i++) {
            many.now += 0.03;
            many.reportAll(many.now);
            sent += 0.1 * many.countSentTo(many.replica, many.eventual, 1);
        }
        return sent;
    }

    @Test
    void workSentBeforeARestartDoesNotCountAgainstTheSlowStartBudget() {
        assertTrue(workSentInSlowStart(3) > 0);
    }

    @Test
    void slowStartBudgetBelowOneRequestIsEnforced() {
        double all = 0;
        for (int seed = 0; seed < 100; seed++) {
            RoutingFixture idle = new RoutingFixture(100, true, false, false, true);
            idle.updateEndpoint(idle.replica, State.READY, idle.now);
            idle.updateEndpoint(idle.otherReplica, State.DRAINING, 0);
            all += idle.countSentTo(idle.replica, idle.eventual, 1);
        }
        assertEquals(0, all);
    }

    @Test
    void hungNodesDoNotRaiseTheSlowStartBudget() {
        fixture.updateEndpoint(fixture.otherReplica, State.DRAINING, 0);
        for (int i = 0; i < 50; i++) {
            fixture.now += 2;
            fixture.reportAll(fixture.now);
            Decision choice = fixture.route(fixture.request(fixture.eventual, 0));
            if (choice.action() == RoutingAction.SEND) {
                fixture.finish(choice.attempt(), AttemptOutcome.OVERLOADED, Role.REPLICA, fixture.now);
            }
        }
        fixture.updateEndpoint(fixture.replica, State.READY, fixture.now);
        fixture.now += 2;
        fixture.reportAll(fixture.now);
        assertTrue(fixture.countSentTo(fixture.replica, fixture.eventual, 50) <= 1);
    }

    @ParameterizedTest
    @CsvSource({"0.1, 100, SEND", "0.9, 60, REJECT"})
    void readsAreShedWhileLatencyIsCloseToTheObjective(double slowness, int answers, RoutingAction verdict) {
        answerReadsWithLatencyRatio(slowness, answers);
        int kept = 0;
        for (int i = 0; i < 20; i++) {
            kept += fixture.policy
                                    .route(fixture.request(fixture.eventual, 0), fixture.now)
                                    .action()
                            == verdict
                    ? 1
                    : 0;
        }
        assertTrue(kept >= 10, "only " + kept);
    }

    private void answerReadsWithLatencyRatio(double slowness, int answers) {
        for (int i = 0; i < answers; i++) {
            fixture.now += 0.05;
            fixture.reportAll(fixture.now);
            Decision choice = fixture.route(fixture.request(fixture.eventual, 0));
            if (choice.action() == RoutingAction.SEND) {
                fixture.policy.onAttemptFinished(
                        choice.attempt(),
                        new AttemptResult(
                                AttemptOutcome.ANSWERED,
                                0.4 * slowness,
                                Role.REPLICA,
                                fixture.now,
                                Role.UNKNOWN,
                                0,
                                -1),
                        true,
                        fixture.now);
            }
        }
    }

    @Test
    void replicaReportingHighLoadIsChosenLessOften() {
        fixture.policy.onHealthCheck(
                fixture.replica,
                new AttemptResult(AttemptOutcome.ANSWERED, 0.001, Role.UNKNOWN, 0, Role.REPLICA, fixture.now, 99),
                fixture.now);
        fixture.policy.onHealthCheck(
                fixture.otherReplica,
                new AttemptResult(AttemptOutcome.ANSWERED, 0.001, Role.UNKNOWN, 0, Role.REPLICA, fixture.now, 0),
                fixture.now);
        int crowded = 0;
        for (int i = 0; i < 40; i++) {
            Attempt read = fixture.send(fixture.eventual);
            crowded += read.node.equals(fixture.replica) ? 1 : 0;
            fixture.finish(read, AttemptOutcome.ANSWERED, Role.REPLICA, fixture.now);
        }
        assertTrue(crowded > 0 && crowded < 18, "sent " + crowded);
    }

    @Test
    void replicasWithAnIdleConnectionArePreferredWhileConnectingIsSlow() {
        for (int i = 0; i < 30; i++) {
            fixture.now += 20;
            fixture.reportAll(fixture.now);
            Attempt write = fixture.send(fixture.write);
            fixture.policy.onAttemptFinished(
                    write,
                    new AttemptResult(AttemptOutcome.ANSWERED, 0.39, Role.PRIMARY, fixture.now, Role.UNKNOWN, 0, -1),
                    true,
                    fixture.now);
        }
        Decision opening = fixture.route(fixture.request(fixture.eventual, 0));
        while (opening.action() == RoutingAction.WAIT) {
            opening = fixture.route(fixture.request(fixture.eventual, 0));
        }
        fixture.finish(opening.attempt(), AttemptOutcome.ANSWERED, Role.REPLICA, fixture.now);
        for (int i = 0; i < 5; i++) {
            Attempt read = fixture.send(fixture.eventual);
            assertEquals(opening.attempt().node, read.node);
            fixture.finish(read, AttemptOutcome.ANSWERED, Role.REPLICA, fixture.now);
        }
    }

    @ParameterizedTest
    @CsvSource({
        "IDEMPOTENT, RESET, 0.1, SEND",
        "IDEMPOTENT_WITH_KEY, RESET, 0.1, SEND",
        "IDEMPOTENT_WITH_KEY, RESET, 1.5, FAIL",
        "NON_IDEMPOTENT, RESET, 0.1, FAIL",
        "NON_IDEMPOTENT, TIMED_OUT, 0.1, FAIL",
        "NON_IDEMPOTENT, OVERLOADED, 0.1, WAIT",
        "NON_IDEMPOTENT, ERROR, 0.1, FAIL"
    })
    void possiblyExecutedRequestIsRetriedOnlyAsItsIdempotencyAllows(
            Idempotency effect, AttemptOutcome outcome, double later, RoutingAction verdict) {
        Attempt first = fixture.send(fixture.primaryClass(effect));
        fixture.now += later;
        fixture.reportAll(fixture.now);
        Decision next = fixture.finish(first, outcome, Role.PRIMARY, fixture.now);
        if (verdict == RoutingAction.SEND) {
            fixture.reportAll(fixture.now + 0.01);
            fixture.finish(fixture.send(fixture.session), AttemptOutcome.ANSWERED, Role.REPLICA, fixture.now);
            assertFalse(next.action() == RoutingAction.REJECT || next.action() == RoutingAction.FAIL);
        } else {
            assertEquals(verdict, next.action());
        }
    }

    @Test
    void nonIdempotentRequestInFlightIsNeverResent() {
        Attempt write = fixture.send(fixture.primaryClass(Idempotency.NON_IDEMPOTENT));
        fixture.now += 3;
        fixture.reportAll(fixture.now);
        assertEquals(
                RoutingAction.WAIT,
                fixture.policy.route(write.request, fixture.now).action());
    }

    @ParameterizedTest
    @CsvSource({"IDEMPOTENT, REJECT", "NON_IDEMPOTENT, FAIL", "IDEMPOTENT_WITH_KEY, FAIL"})
    void requestIsAnsweredAtItsDeadlineWithoutAnAttemptResult(Idempotency effect, RoutingAction verdict) {
        Attempt write = fixture.send(fixture.primaryClass(effect));
        assertEquals(
                verdict,
                fixture.policy.route(write.request, write.request.deadline).action());
    }

    @ParameterizedTest
    @CsvSource({"0.06, 0.1, SEND", "0.06, 0.9, REJECT", "0.01, 0.1, REJECT"})
    void shortClientTimeoutIsServedUnlessLoadIsHigh(double wait, double slowness, RoutingAction verdict) {
        answerReadsWithLatencyRatio(slowness, 100);
        fixture.reportAll(fixture.now);
        int kept = 0;
        for (int i = 0; i < 20; i++) {
            Request read = new Request(fixture.eventual, 1, null, 0, fixture.now, fixture.now + wait);
            kept += fixture.policy.route(read, fixture.now).action() == verdict ? 1 : 0;
        }
        assertTrue(kept >= 10, "only " + kept);
    }

    @ParameterizedTest
    @CsvSource({"0.06, true", "4, false"})
    void timeoutsOfShortClientTimeoutsRaiseLoadByElapsedTime(double wait, boolean serves) {
        for (int i = 0; i < 60; i++) {
            fixture.now += 0.5;
            fixture.reportAll(fixture.now);
            Request read = new Request(fixture.eventual, 1, null, 0, fixture.now, fixture.now + wait);
            Decision choice = fixture.route(read);
            if (choice.action() == RoutingAction.SEND) {
                read.attempts.add(choice.attempt());
                double took = choice.attempt().timeoutAt - fixture.now;
                fixture.policy.onAttemptFinished(
                        choice.attempt(),
                        new AttemptResult(AttemptOutcome.TIMED_OUT, took, Role.UNKNOWN, 0, Role.UNKNOWN, 0, -1),
                        false,
                        fixture.now);
            }
        }
        int sent = 0;
        for (int i = 0; i < 6; i++) {
            fixture.now += 0.2;
            fixture.reportAll(fixture.now);
            sent += fixture.route(fixture.request(fixture.eventual, 0)).action() == RoutingAction.SEND ? 1 : 0;
        }
        assertEquals(serves, sent > 3, "sent " + sent);
    }

    @Test
    void readPastItsLatencyObjectiveIsRejectedAndCancelled() {
        Attempt read = fixture.send(fixture.bounded);
        Decision choice = fixture.policy.route(read.request, fixture.now + fixture.bounded.latencyObjectiveSeconds());
        assertEquals(RoutingAction.REJECT, choice.action());
        assertEquals(List.of(read), choice.attemptsToCancel());
    }

    @ParameterizedTest
    @CsvSource({"0.02, WAIT", "0.2, REJECT"})
    void readWaitsForASmallFractionOfItsLatencyObjective(double held, RoutingAction verdict) {
        Request read = fixture.request(fixture.bounded, 0);
        fixture.policy.onEndpointList(List.of(), true, fixture.now);
        assertEquals(verdict, fixture.policy.route(read, fixture.now + held).action());
    }

    @Test
    void writesWaitAndAllMembersAreCheckedWhileThePrimaryIsSilent() {
        fixture.send(fixture.write);
        fixture.now += 0.5;
        assertEquals(
                RoutingAction.WAIT,
                fixture.policy
                        .route(fixture.request(fixture.write, 0), fixture.now)
                        .action());
        assertEquals(3, fixture.policy.tick(fixture.now).healthChecks().size());
    }

    @ParameterizedTest
    @CsvSource({"false, 0.1, WAIT", "false, 0.3, REJECT", "true, 0.3, WAIT"})
    void writesWithoutCapacityWaitBrieflyUnlessThereIsNoPrimary(boolean unwell, double held, RoutingAction verdict) {
        fixture.sendUntilFull(fixture.write);
        Request waiting = fixture.request(fixture.write, 0);
        if (unwell) {
            fixture.updateEndpoint(fixture.primary, State.DRAINING, 0);
        }
        assertEquals(verdict, fixture.policy.route(waiting, fixture.now + held).action());
    }

    @Test
    void writesFollowTheNewestPrimaryClaim() {
        fixture.now += 1;
        fixture.report(fixture.otherReplica, Role.PRIMARY, fixture.now);
        assertEquals(fixture.otherReplica, fixture.send(fixture.write).node);
    }

    @ParameterizedTest
    @CsvSource({"3, SEND", "8, WAIT"})
    void replicaReportEndsAPrimaryClaimOnceOlderReportsHaveExpired(double later, RoutingAction verdict) {
        fixture.now += 1;
        fixture.report(fixture.primary, Role.PRIMARY, fixture.now);
        fixture.now += later;
        fixture.report(fixture.primary, Role.REPLICA, fixture.now - later - 0.5);
        assertEquals(
                verdict,
                fixture.policy
                        .route(fixture.request(fixture.write, 0), fixture.now)
                        .action());
    }

    @Test
    void writeRejectedByAFormerPrimaryWaitsForItsSuccessor() {
        Decision choice =
                fixture.finish(fixture.send(fixture.write), AttemptOutcome.REJECTED, Role.REPLICA, fixture.now);
        assertEquals(RoutingAction.WAIT, choice.action());
        fixture.now += 0.1;
        fixture.report(fixture.otherReplica, Role.PRIMARY, fixture.now);
        assertEquals(fixture.otherReplica, fixture.send(fixture.write).node);
    }

    @Test
    void readOnASilentReplicaIsHedgedElsewhere() {
        Attempt read = fixture.send(fixture.bounded);
        fixture.policy.tick(fixture.now);
        for (int i = 0; i < 32; i++) {
            fixture.now += 0.01;
            fixture.policy.route(read.request, fixture.now);
            fixture.policy.tick(fixture.now);
        }
        fixture.now += 0.05;
        fixture.report(
                read.node.equals(fixture.otherReplica) ? fixture.replica : fixture.otherReplica,
                Role.REPLICA,
                fixture.now);
        Decision copy = fixture.policy.route(read.request, fixture.now);
        assertEquals(RoutingAction.SEND, copy.action());
        assertNotEquals(read.node, copy.attempt().node);
    }

    @Test
    void oneSlowAttemptIsNotSilenceWhenAHealthCheckSucceeds() {
        Attempt read = fixture.send(fixture.bounded);
        fixture.now += 0.35;
        fixture.policy.route(read.request, fixture.now);
        assertEquals(List.of(read.node), fixture.policy.tick(fixture.now).healthChecks());
        fixture.reportAll(fixture.now);
        assertEquals(
                RoutingAction.WAIT,
                fixture.policy.route(read.request, fixture.now).action());
    }

    @Test
    void stalledRouterDoesNotTreatNodesAsSilent() {
        fixture.send(fixture.write);
        fixture.policy.tick(fixture.now);
        fixture.now += 1.5;
        fixture.reportAll(fixture.now);
        assertEquals(fixture.primary, fixture.send(fixture.write).node);
    }

    @ParameterizedTest
    @CsvSource({"true, 0", "false, 2"})
    void onlyDrainingIsObeyedWhereGoneIsNotBinding(boolean goneBinds, int serving) {
        RoutingFixture advised = new RoutingFixture(3, true, false, false, goneBinds);
        advised.updateEndpoint(advised.replica, State.GONE, 0);
        advised.updateEndpoint(advised.otherReplica, State.GONE, 0);
        Set<Node> nodes = advised.nodesChosenFor(advised.eventual, 4);
        nodes.remove(advised.primary);
        assertEquals(serving, nodes.size());
        advised.updateEndpoint(advised.replica, State.DRAINING, 0);
        advised.updateEndpoint(advised.replica, State.GONE, 0);
        assertFalse(advised.nodesChosenFor(advised.eventual, 4).contains(advised.replica));
    }

    @ParameterizedTest
    @CsvSource({"RESET, true, true", "RESET, false, false", "CONNECT_FAILED, true, false", "ERROR, true, false"})
    void connectionResetIsIgnoredIfTheNodeRespondedSince(AttemptOutcome outcome, boolean answered, boolean serves) {
        for (int i = 0; i < (serves ? 3 : 1); i++) {
            Attempt broken = fixture.send(fixture.write);
            Attempt other = fixture.send(fixture.write);
            fixture.now += 0.01;
            if (answered) {
                fixture.finish(other, AttemptOutcome.ANSWERED, Role.PRIMARY, fixture.now);
            }
            fixture.finish(broken, outcome, Role.UNKNOWN, 0);
        }
        assertEquals(
                serves,
                fixture.policy
                                .route(fixture.request(fixture.write, 0), fixture.now)
                                .action()
                        == RoutingAction.SEND);
    }

    @Test
    void descriptionListsOutstandingAttemptsAndUnusableNodes() {
        fixture.send(fixture.write);
        Attempt read = fixture.send(fixture.eventual);
        fixture.finish(read, AttemptOutcome.CONNECT_FAILED, Role.UNKNOWN, 0);
        fixture.updateEndpoint(fixture.primary, State.DRAINING, 0);
        String beliefs = fixture.policy.describeNodes(fixture.now);
        assertTrue(beliefs.contains("c 1/3 0 primary closed"), beliefs);
        assertTrue(beliefs.contains(read.node.id() + " 0/3 0 out"), beliefs);
        for (int i = 0; i < 2000; i++) {
            fixture.updateEndpoint(new Node("n" + i, "north", 2 + i / 7), State.DRAINING, 0);
        }
        String longer = fixture.policy.describeNodes(fixture.now);
        assertTrue(longer.matches("2003 known, 3 heard.{1,1000}, and 1983 more"), longer);
    }

    @Test
    void overloadedNodeIsBackedOff() {
        Attempt read = fixture.send(fixture.eventual);
        fixture.finish(read, AttemptOutcome.OVERLOADED, Role.REPLICA, fixture.now);
        assertFalse(fixture.nodesChosenFor(fixture.eventual, 4).contains(read.node));
        fixture.now += 0.06;
        assertTrue(fixture.nodesChosenFor(fixture.eventual, 4).contains(read.node));
    }

    @Test
    void fastErrorsDoNotAttractTraffic() {
        for (int i = 0; i < 20; i++) {
            Attempt read = fixture.send(fixture.eventual);
            AttemptOutcome outcome = read.node.equals(fixture.replica) ? AttemptOutcome.ERROR : AttemptOutcome.ANSWERED;
            fixture.policy.onAttemptFinished(
                    read,
                    new AttemptResult(outcome, 0.01, Role.REPLICA, fixture.now, Role.UNKNOWN, 0, -1),
                    true,
                    fixture.now);
        }
        assertEquals(Set.of(fixture.otherReplica), fixture.nodesChosenFor(fixture.eventual, 4));
    }

    @Test
    void abandonedAttemptsUseCapacityUntilALaterOneIsAnswered() {
        fixture.updateEndpoint(fixture.otherReplica, State.DRAINING, 0);
        fixture.updateEndpoint(fixture.primary, State.DRAINING, 0);
        Attempt first = fixture.send(fixture.eventual);
        Attempt last = fixture.send(fixture.eventual);
        fixture.sendUntilFull(fixture.eventual);
        fixture.finish(first, AttemptOutcome.CANCELLED, Role.UNKNOWN, 0);
        assertEquals(
                RoutingAction.WAIT,
                fixture.policy
                        .route(fixture.request(fixture.eventual, 0), fixture.now)
                        .action());
        fixture.finish(last, AttemptOutcome.ANSWERED, Role.REPLICA, fixture.now);
        assertEquals(
                RoutingAction.SEND,
                fixture.policy
                        .route(fixture.request(fixture.eventual, 0), fixture.now)
                        .action());
    }

    @Test
    void slowResponsesLowerTheConcurrencyLimit() {
        int before = new RoutingFixture().sendUntilFull(fixture.write);
        for (int i = 0; i < 60; i++) {
            Attempt write = fixture.send(fixture.write);
            fixture.policy.onAttemptFinished(
                    write,
                    new AttemptResult(AttemptOutcome.ANSWERED, 0.25, Role.PRIMARY, fixture.now, Role.UNKNOWN, 0, -1),
                    true,
                    fixture.now);
        }
        int after = fixture.sendUntilFull(fixture.write);
        assertTrue(after < before, after + " against " + before);
    }

    @ParameterizedTest
    @CsvSource({"true, 0.49, false", "true, 1.51, true", "false, 1.51, false"})
    void failedEndpointListPollIsRetriedAfterADelay(boolean mustAsk, double later, boolean asks) {
        RoutingFixture asking = new RoutingFixture(true, false, mustAsk);
        assertEquals(mustAsk, asking.policy.tick(asking.now).pollEndpoints());
        asking.policy.onEndpointListFailed(asking.now);
        assertEquals(asks, asking.policy.tick(asking.now + later).pollEndpoints());
    }

    /** An idle router is asked again by then, not a second later. */
    @Test
    void endpointListIsPolledWhenDueOnAnIdleRouter() {
        RoutingFixture asking = new RoutingFixture(true, false, true);
        asking.policy.tick(asking.now);
        asking.policy.onEndpointListFailed(asking.now);
        for (int i = 0; i < 3 && !asking.policy.tick(asking.now).pollEndpoints(); i++) {
            asking.now += asking.policy.tick(asking.now).nextTickSeconds();
        }
        assertTrue(asking.now <= 1000 + 1.52, asking.now + "");
    }

    /**
     * A replica's log covered all and it answered a peer {@code heard} seconds ago, and failed there {@code failed}
     * ago.
     */
    private static PeerObservation peerObservation(double startedAt, double now, double heard, double failed) {
        double seen = now - heard;
        return new PeerObservation(
                startedAt,
                seen,
                seen,
                0,
                seen,
                Double.NEGATIVE_INFINITY,
                seen,
                seen,
                now - failed,
                failed < heard ? 1 : 0,
                0,
                0,
                0,
                0);
    }

    /** How many of two reads go to it at once; without a word of peers none does. */
    @ParameterizedTest
    @CsvSource({"0.1, Infinity, 2", "0.1, 0.2, 2", "3, Infinity, 0", "0.2, 0.1, 1"})
    void peerObservationsKeepTheirAge(double heard, double failed, int goes) {
        fixture.now += 30;
        fixture.policy.onPeerObservation(fixture.replica, peerObservation(0, fixture.now, heard, failed), fixture.now);
        assertEquals(goes, fixture.countSentTo(fixture.replica, fixture.bounded, 2));
    }

    @ParameterizedTest
    @CsvSource({"0, 0", "1010, 2"})
    void peerObservationsOfAnEarlierIncarnationAreIgnored(double life, int goes) {
        fixture.now += 30;
        fixture.updateEndpoint(fixture.replica, State.READY, 1010);
        fixture.policy.onPeerObservation(
                fixture.replica, peerObservation(life, fixture.now, 0.1, Double.POSITIVE_INFINITY), fixture.now);
        assertEquals(goes, fixture.countSentTo(fixture.replica, fixture.bounded, 2));
    }

    /** Where clients carry no marks, other routers may tell what a session's read must cover. */
    @Test
    void sessionReadNeedsTheLastWritePositionKnownToPeers() {
        RoutingFixture unmarked = new RoutingFixture(false, false);
        Request marked = unmarked.request(unmarked.session, unmarked.now + 0.1);
        assertEquals(unmarked.primary, unmarked.route(marked).attempt().node);
        assertNotEquals(unmarked.primary, unmarked.send(unmarked.session).node);
    }

    @Test
    void lateEndpointListIsPolledAtOnceButOnlyOnce() {
        RoutingFixture asking = new RoutingFixture(true, false, true);
        asking.policy.tick(asking.now);
        asking.policy.onEndpointList(List.of(), false, asking.now);
        assertFalse(asking.policy.tick(asking.now + 60).pollEndpoints());
        asking.policy.onEndpointListLate(asking.now + 61);
        assertTrue(asking.policy.tick(asking.now + 61).pollEndpoints());
        asking.policy.onEndpointListLate(asking.now + 62);
        assertFalse(asking.policy.tick(asking.now + 62).pollEndpoints());
    }

    @ParameterizedTest
    @CsvSource({
        "READY, 0.05, false, true",
        "DRAINING, 0.05, false, false",
        "READY, 0.35, false, false",
        "READY, 0.41, false, false",
        "READY, 0.05, true, false"
    })
    void attemptThatWaitedForAConnectionIsSentOnlyIfStillAllowed(
            State state, double later, boolean over, boolean goes) {
        Attempt dispatch = fixture.send(fixture.bounded);
        fixture.now += later;
        fixture.updateEndpoint(dispatch.node, state, 0);
        dispatch.request.completed = over;
        assertEquals(goes, fixture.policy.mayStillSend(dispatch, fixture.now));
    }

    @ParameterizedTest
    @CsvSource({"0.44, WAIT", "0.46, REJECT"})
    void writeWithoutAPrimaryIsRejectedBeforeHalfItsTimeout(double share, RoutingAction verdict) {
        fixture.updateEndpoint(fixture.primary, State.DRAINING, 0);
        Request write = fixture.request(fixture.write, 0);
        assertEquals(
                RoutingAction.WAIT, fixture.policy.route(write, fixture.now).action());
        fixture.now += share * fixture.write.clientTimeoutSeconds();
        assertEquals(verdict, fixture.policy.route(write, fixture.now).action());
    }

    @ParameterizedTest
    @CsvSource({"0.09, 0.071", "0.25, 0.22", "10, 0.4"})
    void attemptTimesOutShortlyBeforeTheClientDeadline(double wait, double limit) {
        Request read = new Request(fixture.eventual, 1, null, 0, fixture.now, fixture.now + 0.1 + wait);
        assertEquals(Math.min(0.1 + limit, 0.4), fixture.route(read).attempt().timeoutAt - fixture.now, 1e-9);
    }

    @ParameterizedTest
    @CsvSource({"1.1, true", "1.25, false"})
    void retryThatWaitedForAConnectionIsSentOnlyWithinTheDeduplicationWindow(double later, boolean goes) {
        Attempt first = fixture.send(fixture.write);
        Decision again = fixture.finish(first, AttemptOutcome.RESET, Role.UNKNOWN, 0);
        for (int i = 0; i < 20 && again.action() == RoutingAction.WAIT; i++) {
            fixture.now += 0.05;
            fixture.report(fixture.primary, Role.PRIMARY, fixture.now);
            again = fixture.route(first.request);
        }
        first.request.attempts.add(again.attempt());
        assertEquals(goes, fixture.policy.mayStillSend(again.attempt(), 1000 + later));
    }

    /** What was not heard for long is looked at first where that is allowed; else reads themselves find out. */
    @Test
    void withoutHealthChecksReadsGoToReplicasNotSeenForLong() {
        RoutingFixture unprobed = new RoutingFixture(3, true, false, false, true, false);
        unprobed.now += 30;
        assertEquals(0, unprobed.countSentTo(unprobed.primary, unprobed.eventual, 2));
    }

    /** Else a node that failed twice would be left out for good: no probe ever finds it back. */
    @Test
    void withoutHealthChecksAFailedNodeIsRetriedAfterItsBackoff() {
        RoutingFixture unprobed = new RoutingFixture(3, true, false, false, true, false);
        for (int i = 0; i < 12; i++) {
            Request command = unprobed.request(unprobed.eventual, 0);
            Decision sent = unprobed.route(command);
            while (sent.action() == RoutingAction.SEND) {
                command.attempts.add(sent.attempt());
                sent = unprobed.finish(sent.attempt(), AttemptOutcome.CONNECT_FAILED, Role.UNKNOWN, 0);
            }
            unprobed.now += 0.2;
        }
        unprobed.now += 2;
        Decision trial = unprobed.route(unprobed.request(unprobed.eventual, 0));
        assertEquals(RoutingAction.SEND, trial.action());
        assertNotEquals(unprobed.primary, trial.attempt().node);
    }
}
