package clayhook;

import static org.junit.jupiter.api.Assertions.assertEquals;

import clayhook.Decision.RoutingAction;
import clayhook.Endpoint.State;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Which node writes go to, and what happens while there is no primary. */
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
        Decision decision =
                fixture.finish(fixture.send(fixture.write), AttemptOutcome.REJECTED, Role.REPLICA, fixture.now);
        assertEquals(RoutingAction.WAIT, decision.action());
        fixture.now += 0.1;
        fixture.report(fixture.otherReplica, Role.PRIMARY, fixture.now);
        assertEquals(fixture.otherReplica, fixture.send(fixture.write).node);
    }
}
