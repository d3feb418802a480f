package clayhook;

import static org.junit.jupiter.api.Assertions.assertEquals;

import clayhook.Decision.RoutingAction;
import clayhook.Endpoint.State;
import clayhook.RequestClass.Idempotency;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests which node gets writes, and how writes are held while there is no primary. */
class RoutingPolicyPrimaryTest {
    private final RoutingFixture fixture = RoutingFixture.builder().build();

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
    void writesWithoutCapacityAreRejectedSoonUnlessThereIsNoPrimary(
            boolean primaryDraining, double secondsHeld, RoutingAction expectedAction) {
        fixture.sendUntilFull(fixture.write);
        Request waiting = fixture.request(fixture.write, 0);
        if (primaryDraining) {
            fixture.updateEndpoint(fixture.primary, State.DRAINING, 0);
        }
        assertEquals(
                expectedAction,
                fixture.policy.route(waiting, fixture.now + secondsHeld).action());
    }

    @Test
    void writesAreSentToNodeWithNewestPrimaryClaim() {
        fixture.now += 1;
        fixture.reportPosition(fixture.otherReplica, Role.PRIMARY, fixture.now);
        assertEquals(fixture.otherReplica, fixture.send(fixture.write).node);
    }

    @ParameterizedTest
    @CsvSource({"3, SEND", "8, WAIT"})
    void replicaReportEndsAPrimaryClaimOnceOlderReportsHaveExpired(double secondsLater, RoutingAction expectedAction) {
        fixture.now += 1;
        fixture.reportPosition(fixture.primary, Role.PRIMARY, fixture.now);
        fixture.now += secondsLater;
        fixture.reportPosition(fixture.primary, Role.REPLICA, fixture.now - secondsLater - 0.5);
        assertEquals(
                expectedAction,
                fixture.policy
                        .route(fixture.request(fixture.write, 0), fixture.now)
                        .action());
    }

    @Test
    void writeRejectedByFormerPrimaryWaitsForNewPrimary() {
        Decision decision =
                fixture.finish(fixture.send(fixture.write), AttemptOutcome.REJECTED, Role.REPLICA, fixture.now);
        assertEquals(RoutingAction.WAIT, decision.action());
        fixture.now += 0.1;
        fixture.reportPosition(fixture.otherReplica, Role.PRIMARY, fixture.now);
        assertEquals(fixture.otherReplica, fixture.send(fixture.write).node);
    }

    /** Guards against writes that are rejected for good after a failover where no health check may find the primary. */
    @Test
    void writesFindThePrimaryWithoutHealthChecks() {
        RoutingFixture unchecked =
                RoutingFixture.builder().healthChecksAllowed(false).build();
        unchecked.finish(unchecked.send(unchecked.write), AttemptOutcome.REJECTED, Role.REPLICA, unchecked.now);
        unchecked.now += 0.6;
        Request write = unchecked.request(unchecked.write, 0);
        Attempt first = unchecked.policy.route(write, unchecked.now).attempt();
        write.attempts.add(first);
        unchecked.now += 0.01;
        Attempt second = unchecked
                .finish(first, AttemptOutcome.REJECTED, Role.REPLICA, unchecked.now)
                .attempt();
        unchecked.answer(second, 0.01, Role.PRIMARY, unchecked.now);
        assertEquals(second.node, unchecked.send(unchecked.write).node);
    }

    /** Guards against a stale strong read that is sent to find the primary. */
    @Test
    void strongReadsDoNotFindThePrimary() {
        RoutingFixture unchecked =
                RoutingFixture.builder().healthChecksAllowed(false).build();
        unchecked.finish(unchecked.send(unchecked.write), AttemptOutcome.REJECTED, Role.REPLICA, unchecked.now);
        unchecked.now += 0.6;
        Request read = unchecked.request(unchecked.primaryClass(Idempotency.IDEMPOTENT), 0);
        assertEquals(
                RoutingAction.WAIT, unchecked.policy.route(read, unchecked.now).action());
    }

    /** Guards against writes at a node that has reported that it is draining and that the list shows as ready. */
    @Test
    void writeIsNotSentToPrimaryThatReportsDrainingHoweverLongAgo() {
        fixture.reportDraining(fixture.primary, Role.UNKNOWN);
        fixture.now += 0.5; // longer than the backoff after a failed health check
        Request write = fixture.request(fixture.write, 0);
        assertEquals(
                RoutingAction.WAIT, fixture.policy.route(write, fixture.now).action());
        assertEquals(3, fixture.policy.tick(fixture.now).healthChecks().size());
        fixture.reportPosition(fixture.otherReplica, Role.PRIMARY, fixture.now);
        assertEquals(
                fixture.otherReplica, fixture.policy.route(write, fixture.now).attempt().node);
    }

    /** Routes the read until it waits no more; {@code reports} are the roles that health checks report from now on. */
    private Decision routeWithChecks(Request read, Decision decision, double until, Map<Node, Role> reports) {
        Decision last = decision;
        while (last.action() == RoutingAction.WAIT && fixture.now < until) {
            fixture.now += 0.01;
            for (Node node : fixture.policy.tick(fixture.now).healthChecks()) {
                if (node.equals(fixture.primary)) {
                    fixture.reportDraining(node, reports.getOrDefault(node, Role.REPLICA));
                } else {
                    fixture.reportPosition(node, reports.getOrDefault(node, Role.REPLICA), fixture.now);
                }
            }
            last = fixture.policy.route(read, fixture.now);
        }
        return last;
    }

    /** Guards against reads that are rejected after a handover, as checks during the drain have used up the budget. */
    @ParameterizedTest
    @ValueSource(doubles = {0.5, 0.9})
    void successorOfDrainingPrimaryIsFoundSoonAfterTheHandover(double handoverSeconds) {
        fixture.reportDraining(fixture.primary, Role.PRIMARY);
        double handedOverAt = fixture.now + handoverSeconds;
        Request read = fixture.request(fixture.primaryClass(Idempotency.IDEMPOTENT), 0);
        Decision first = fixture.policy.route(read, fixture.now);
        Decision waiting = routeWithChecks(read, first, handedOverAt, Map.of(fixture.primary, Role.PRIMARY));
        Decision decision =
                routeWithChecks(read, waiting, handedOverAt + 0.3, Map.of(fixture.otherReplica, Role.PRIMARY));
        assertEquals(RoutingAction.SEND, decision.action());
        assertEquals(fixture.otherReplica, decision.attempt().node);
    }

    /** Guards against reads that are rejected for seconds after an election that outlasts the budget for checks. */
    @ParameterizedTest
    @ValueSource(doubles = {0.5, 0.9, 1.2})
    void successorIsFoundByTheRequestThatWaitsForTheElection(double electionSeconds) {
        fixture.now += 0.1;
        fixture.reportDraining(fixture.primary, Role.REPLICA);
        double electedAt = fixture.now + electionSeconds;
        Request read = fixture.request(fixture.primaryClass(Idempotency.IDEMPOTENT), 0);
        Decision first = fixture.policy.route(read, fixture.now);
        Decision waiting = routeWithChecks(read, first, electedAt, Map.of());
        Decision decision = routeWithChecks(read, waiting, read.deadline, Map.of(fixture.otherReplica, Role.PRIMARY));
        assertEquals(RoutingAction.SEND, decision.action());
        assertEquals(fixture.otherReplica, decision.attempt().node);
    }
}
