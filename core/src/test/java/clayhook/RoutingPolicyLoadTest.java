package clayhook;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.Decision.RoutingAction;
import clayhook.Endpoint.State;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests concurrency limits, load shedding, slow-start budgets and the distribution of reads by load. */
class RoutingPolicyLoadTest {
    private final RoutingFixture fixture = RoutingFixture.builder().build();

    @ParameterizedTest
    @CsvSource({"0, false", "9, true"})
    void loadEstimateDecaysTowardsTheOverallEstimate(double idle, boolean expectShedding) {
        Node otherSetReplica = new Node("d", "north", 2);
        fixture.updateEndpoint(otherSetReplica, State.READY, 0);
        fixture.reportPosition(otherSetReplica, Role.REPLICA, fixture.now);
        for (int i = 0; i < 3; i++) {
            Decision fast = fixture.policy.route(
                    new Request(fixture.eventual, 2, null, 0, fixture.now, fixture.now + 4), fixture.now);
            fixture.answer(fast.attempt(), 0.04, Role.REPLICA, fixture.now);
        }
        for (int i = 0; i < 60; i++) {
            Decision slow = fixture.route(fixture.request(fixture.eventual, 0));
            if (slow.action() == RoutingAction.SEND) {
                fixture.answer(slow.attempt(), 0.36, Role.REPLICA, fixture.now);
            }
        }
        fixture.now += idle;
        int shed = 0;
        for (int i = 0; i < 20; i++) {
            Request read = new Request(fixture.eventual, 2, null, 0, fixture.now, fixture.now + 4);
            shed += fixture.policy.route(read, fixture.now).action() == RoutingAction.REJECT ? 1 : 0;
        }
        assertEquals(expectShedding, shed > 10);
    }

    @Test
    void nodeInSlowStartGetsOnlyItsBudget() {
        fixture.updateEndpoint(fixture.replica, State.READY, fixture.now - 0.1);
        fixture.updateEndpoint(fixture.otherReplica, State.DRAINING, 0);
        int sent = 0;
        for (int i = 0; i < 100; i++) {
            Decision decision = fixture.policy.route(fixture.request(fixture.eventual, 0), fixture.now);
            sent += decision.action() == RoutingAction.SEND
                            && decision.attempt().node.equals(fixture.replica)
                    ? 1
                    : 0;
        }
        assertTrue(sent <= 1, "sent " + sent);
    }

    /** Returns the seconds of work that one of {@code routers} routers sends to a replica within 3 s of its start. */
    private static double workSentInSlowStart(int routers) {
        RoutingFixture many = RoutingFixture.builder().routerCount(routers).build();
        many.updateEndpoint(many.otherReplica, State.DRAINING, 0);
        for (int i = 0; i < 50; i++) {
            many.now += 0.1;
            many.reportAllPositions(many.now);
            many.finish(many.send(many.eventual), AttemptOutcome.ANSWERED, Role.REPLICA, many.now);
        }
        many.updateEndpoint(many.replica, State.READY, many.now);
        double sent = 0;
        for (int i = 0; i < 100; i++) {
            many.now += 0.03;
            many.reportAllPositions(many.now);
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
        double sent = 0;
        for (int seed = 0; seed < 100; seed++) {
            RoutingFixture idle =
                    RoutingFixture.builder().seed(seed).routerCount(100).build();
            idle.updateEndpoint(idle.replica, State.READY, idle.now);
            idle.updateEndpoint(idle.otherReplica, State.DRAINING, 0);
            sent += idle.countSentTo(idle.replica, idle.eventual, 1);
        }
        assertEquals(0, sent);
    }

    @Test
    void hungNodesDoNotRaiseTheSlowStartBudget() {
        fixture.updateEndpoint(fixture.otherReplica, State.DRAINING, 0);
        for (int i = 0; i < 50; i++) {
            fixture.now += 2;
            fixture.reportAllPositions(fixture.now);
            Decision decision = fixture.route(fixture.request(fixture.eventual, 0));
            if (decision.action() == RoutingAction.SEND) {
                fixture.finish(decision.attempt(), AttemptOutcome.OVERLOADED, Role.REPLICA, fixture.now);
            }
        }
        fixture.updateEndpoint(fixture.replica, State.READY, fixture.now);
        fixture.now += 2;
        fixture.reportAllPositions(fixture.now);
        assertTrue(fixture.countSentTo(fixture.replica, fixture.eventual, 50) <= 1);
    }

    @ParameterizedTest
    @CsvSource({"0.1, 100, SEND", "0.9, 60, REJECT"})
    void readsAreShedWhileLatencyIsCloseToTheObjective(
            double latencyRatio, int answerCount, RoutingAction expectedAction) {
        answerReadsWithLatencyRatio(latencyRatio, answerCount);
        int matching = 0;
        for (int i = 0; i < 20; i++) {
            matching += fixture.policy
                                    .route(fixture.request(fixture.eventual, 0), fixture.now)
                                    .action()
                            == expectedAction
                    ? 1
                    : 0;
        }
        assertTrue(matching >= 10, "only " + matching);
    }

    private void answerReadsWithLatencyRatio(double latencyRatio, int answerCount) {
        for (int i = 0; i < answerCount; i++) {
            fixture.now += 0.05;
            fixture.reportAllPositions(fixture.now);
            Decision decision = fixture.route(fixture.request(fixture.eventual, 0));
            if (decision.action() == RoutingAction.SEND) {
                fixture.answer(decision.attempt(), 0.4 * latencyRatio, Role.REPLICA, fixture.now);
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
        int sentToLoaded = 0;
        for (int i = 0; i < 40; i++) {
            Attempt read = fixture.send(fixture.eventual);
            sentToLoaded += read.node.equals(fixture.replica) ? 1 : 0;
            fixture.finish(read, AttemptOutcome.ANSWERED, Role.REPLICA, fixture.now);
        }
        assertTrue(sentToLoaded > 0 && sentToLoaded < 18, "sent " + sentToLoaded);
    }

    @Test
    void replicasWithAnIdleConnectionArePreferredWhileConnectingIsSlow() {
        for (int i = 0; i < 30; i++) {
            fixture.now += 20;
            fixture.reportAllPositions(fixture.now);
            Attempt write = fixture.send(fixture.write);
            fixture.answer(write, 0.39, Role.PRIMARY, fixture.now);
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
    @CsvSource({"0.06, 0.1, SEND", "0.06, 0.9, REJECT", "0.01, 0.1, REJECT"})
    void shortClientTimeoutIsServedUnlessLoadIsHigh(
            double clientTimeout, double latencyRatio, RoutingAction expectedAction) {
        answerReadsWithLatencyRatio(latencyRatio, 100);
        fixture.reportAllPositions(fixture.now);
        int matching = 0;
        for (int i = 0; i < 20; i++) {
            Request read = new Request(fixture.eventual, 1, null, 0, fixture.now, fixture.now + clientTimeout);
            matching += fixture.policy.route(read, fixture.now).action() == expectedAction ? 1 : 0;
        }
        assertTrue(matching >= 10, "only " + matching);
    }

    @ParameterizedTest
    @CsvSource({"0.06, true", "4, false"})
    void timeoutsOfShortClientTimeoutsRaiseLoadByElapsedTime(double clientTimeout, boolean expectServed) {
        for (int i = 0; i < 60; i++) {
            fixture.now += 0.5;
            fixture.reportAllPositions(fixture.now);
            Request read = new Request(fixture.eventual, 1, null, 0, fixture.now, fixture.now + clientTimeout);
            Decision decision = fixture.route(read);
            if (decision.action() == RoutingAction.SEND) {
                read.attempts.add(decision.attempt());
                double took = decision.attempt().timeoutAt - fixture.now;
                fixture.policy.onAttemptFinished(
                        decision.attempt(),
                        new AttemptResult(AttemptOutcome.TIMED_OUT, took, Role.UNKNOWN, 0, Role.UNKNOWN, 0, -1),
                        false,
                        fixture.now);
            }
        }
        int sent = 0;
        for (int i = 0; i < 6; i++) {
            fixture.now += 0.2;
            fixture.reportAllPositions(fixture.now);
            sent += fixture.route(fixture.request(fixture.eventual, 0)).action() == RoutingAction.SEND ? 1 : 0;
        }
        assertEquals(expectServed, sent > 3, "sent " + sent);
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
        int before = RoutingFixture.builder().build().sendUntilFull(fixture.write);
        for (int i = 0; i < 60; i++) {
            Attempt write = fixture.send(fixture.write);
            fixture.answer(write, 0.25, Role.PRIMARY, fixture.now);
        }
        int after = fixture.sendUntilFull(fixture.write);
        assertTrue(after < before, after + " against " + before);
    }
}
