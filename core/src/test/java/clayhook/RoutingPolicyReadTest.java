package clayhook;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.Decision.RoutingAction;
import clayhook.Endpoint.State;
import java.util.HashSet;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests which node serves a read: consistency levels, lag gates, rotation and peer observations. */
class RoutingPolicyReadTest {
    private final RoutingFixture fixture = RoutingFixture.builder().build();

    @Test
    void boundedReadsRotateOverReplicasAndAvoidThePrimary() {
        Set<Node> chosen = new HashSet<>();
        for (int i = 0; i < 4; i++) {
            chosen.add(fixture.send(fixture.bounded).node);
        }
        assertEquals(Set.of(fixture.replica, fixture.otherReplica), chosen);
    }

    @ParameterizedTest
    @CsvSource({"0.2, true", "0.24, false", "0.9, false"})
    void replicaServesBoundedReadsOnlyWithinTheLagGate(double lag, boolean expectServed) {
        fixture.now += 1;
        fixture.reportPosition(fixture.primary, Role.PRIMARY, fixture.now);
        fixture.reportPosition(fixture.otherReplica, Role.REPLICA, fixture.now - 1);
        fixture.reportPosition(fixture.replica, Role.REPLICA, fixture.now - lag);
        assertEquals(expectServed ? fixture.replica : fixture.primary, fixture.send(fixture.bounded).node);
    }

    @ParameterizedTest
    @CsvSource({"0.25, true", "0.28, false", "0.35, false"})
    void appliedPositionSatisfiesBoundedReadsUntilMaxStaleness(double secondsLater, boolean expectServed) {
        fixture.now += secondsLater;
        fixture.reportPosition(fixture.primary, Role.PRIMARY, fixture.now);
        assertEquals(!expectServed, fixture.send(fixture.bounded).node.equals(fixture.primary));
    }

    @Test
    void staleReplicaServesSatisfiedReadsWhenHealthCheckBudgetIsLow() {
        for (int i = 0; i < 30; i++) {
            fixture.now += 0.2;
            fixture.policy.route(fixture.request(fixture.bounded, 0), fixture.now);
            fixture.policy.tick(fixture.now);
        }
        Decision decision = fixture.policy.route(fixture.request(fixture.session, 0), fixture.now);
        assertEquals(RoutingAction.SEND, decision.action());
        assertNotEquals(fixture.primary, decision.attempt().node);
    }

    @ParameterizedTest
    @CsvSource({"-0.1, true", "0.1, false"})
    void sessionReadNeedsTheCarriedLastWritePosition(double wroteAfterPosition, boolean expectServed) {
        Request read = fixture.request(fixture.session, fixture.now + wroteAfterPosition);
        assertEquals(!expectServed, fixture.route(read).attempt().node.equals(fixture.primary));
    }

    @ParameterizedTest
    @CsvSource({"1, true", "60, true"})
    void sessionReadNeedsTheRecordedWritePosition(double secondsLater, boolean expectPrimary) {
        RoutingFixture recording =
                RoutingFixture.builder().requestsCarryLastWrite(false).build();
        Attempt write = recording.send(recording.write);
        double position = recording.now + secondsLater;
        recording.finish(write, AttemptOutcome.ANSWERED, Role.PRIMARY, position);
        recording.now += secondsLater;
        recording.reportAllPositions(position - 0.01);
        recording.finish(recording.send(recording.write), AttemptOutcome.ANSWERED, Role.PRIMARY, position);
        Node node = recording.send(recording.session).node;
        assertEquals(expectPrimary, node.equals(recording.primary));
    }

    @ParameterizedTest
    @CsvSource({"1, 2", "0, 1"})
    void eventualReadsPreferReplicasOutsideTheLagGate(double lag, int nodes) {
        fixture.now += 9;
        fixture.reportPosition(fixture.primary, Role.PRIMARY, fixture.now);
        fixture.reportPosition(fixture.replica, Role.REPLICA, fixture.now - lag);
        fixture.reportPosition(fixture.otherReplica, Role.REPLICA, fixture.now - 9);
        Set<Node> chosen = fixture.nodesChosenFor(fixture.eventual, 4);
        assertTrue(chosen.contains(fixture.otherReplica) && chosen.size() == nodes, chosen.toString());
    }

    @ParameterizedTest
    @CsvSource({"0.1, true", "0.9, false"})
    void eventualReadsUseAllReplicasOnceLaggingReplicasAreSlow(double latencyRatio, boolean expectOnlyLagging) {
        for (int i = 0; i < 30; i++) {
            fixture.now += 0.5;
            fixture.reportPosition(fixture.primary, Role.PRIMARY, fixture.now);
            fixture.reportPosition(fixture.replica, Role.REPLICA, fixture.now);
            fixture.reportPosition(fixture.otherReplica, Role.REPLICA, fixture.now - 9);
            Decision decision = fixture.route(fixture.request(fixture.eventual, 0));
            if (decision.action() == RoutingAction.SEND) {
                boolean sentToLagging = decision.attempt().node.equals(fixture.otherReplica);
                fixture.answer(
                        decision.attempt(),
                        0.4 * (sentToLagging ? latencyRatio : 0.1),
                        Role.REPLICA,
                        fixture.now - (sentToLagging ? 9 : 0));
            }
        }
        Set<Node> chosen = fixture.nodesChosenFor(fixture.eventual, 3);
        assertEquals(expectOnlyLagging, chosen.equals(Set.of(fixture.otherReplica)), chosen.toString());
    }

    @ParameterizedTest
    @CsvSource({"12, 3, 0, a", "0, 100, 70, ab"})
    void rareLongReadsAreKeptOnOneReplica(int others, int reads, int from, String nodes) {
        var chosen = new TreeSet<String>();
        for (int i = -others; i < reads; i++) {
            Attempt read = fixture.send(i < 0 ? fixture.eventual : fixture.longRead);
            fixture.now += i < 0 ? 0 : 0.9;
            fixture.reportAllPositions(fixture.now);
            fixture.finish(read, AttemptOutcome.ANSWERED, Role.REPLICA, fixture.now);
            chosen.addAll(i < from ? Set.of() : Set.of(read.node.id()));
        }
        assertEquals(nodes, String.join("", chosen));
    }

    /**
     * The last measured lag decides, not the time of the report: one of many routers rarely gets a report of a replica.
     */
    @ParameterizedTest
    @CsvSource({"5, 4, 0, 5", "3, 0.01, 2, 1"})
    void leastLaggingReplicaIsTriedFirstWhenReplicasRejectStaleReads(
            double idleSeconds, double lag, double secondsBetweenReports, double otherLag) {
        RoutingFixture rejecting =
                RoutingFixture.builder().replicasRejectStaleReads(true).build();
        rejecting.now += idleSeconds;
        rejecting.reportPosition(rejecting.replica, Role.REPLICA, rejecting.now - lag);
        rejecting.now += secondsBetweenReports;
        rejecting.reportPosition(rejecting.otherReplica, Role.REPLICA, rejecting.now - otherLag);
        rejecting.reportPosition(rejecting.primary, Role.PRIMARY, rejecting.now);
        assertEquals(rejecting.replica, rejecting.send(rejecting.bounded).node);
    }

    @ParameterizedTest
    @CsvSource({"0, false", "1, true"})
    void rejectedReadEjectsReplicaUntilItReportsThatItCaughtUp(double secondsLater, boolean expectUsedAgain) {
        RoutingFixture rejecting =
                RoutingFixture.builder().replicasRejectStaleReads(true).build();
        rejecting.now += 2;
        rejecting.reportPosition(rejecting.primary, Role.PRIMARY, rejecting.now);
        rejecting.reportPosition(rejecting.replica, Role.REPLICA, rejecting.now - 1);
        Attempt rejectedRead = rejecting.send(rejecting.bounded);
        rejecting.finish(rejectedRead, AttemptOutcome.REJECTED, Role.REPLICA, rejecting.now - 1);
        rejecting.now += secondsLater;
        rejecting.reportPosition(rejecting.primary, Role.PRIMARY, rejecting.now);
        rejecting.reportPosition(rejectedRead.node, Role.REPLICA, secondsLater > 0 ? rejecting.now : rejecting.now - 1);
        assertEquals(
                expectUsedAgain, rejecting.nodesChosenFor(rejecting.bounded, 3).contains(rejectedRead.node));
    }

    /**
     * Returns an observation of a replica that answered a peer without lag {@code secondsSinceSeen} ago and failed at
     * the peer {@code secondsSinceFailure} ago.
     */
    private static PeerObservation peerObservation(
            double startedAt, double now, double secondsSinceSeen, double secondsSinceFailure) {
        double seen = now - secondsSinceSeen;
        return new PeerObservation(
                startedAt,
                seen,
                seen,
                0,
                seen,
                Double.NEGATIVE_INFINITY,
                seen,
                seen,
                now - secondsSinceFailure,
                secondsSinceFailure < secondsSinceSeen ? 1 : 0,
                0,
                0,
                0,
                0);
    }

    /** Without peer observations neither of the two reads would be sent to the replica at once. */
    @ParameterizedTest
    @CsvSource({"0.1, Infinity, 2", "0.1, 0.2, 2", "3, Infinity, 0", "0.2, 0.1, 1"})
    void peerObservationsCountByTheirAge(double secondsSinceSeen, double secondsSinceFailure, int expectedReads) {
        fixture.now += 30;
        fixture.policy.onPeerObservation(
                fixture.replica, peerObservation(0, fixture.now, secondsSinceSeen, secondsSinceFailure), fixture.now);
        assertEquals(expectedReads, fixture.countSentTo(fixture.replica, fixture.bounded, 2));
    }

    @ParameterizedTest
    @CsvSource({"0, 0", "1010, 2"})
    void peerObservationsOfAnEarlierIncarnationAreIgnored(double incarnationStartedAt, int expectedReads) {
        fixture.now += 30;
        fixture.updateEndpoint(fixture.replica, State.READY, 1010);
        fixture.policy.onPeerObservation(
                fixture.replica,
                peerObservation(incarnationStartedAt, fixture.now, 0.1, Double.POSITIVE_INFINITY),
                fixture.now);
        assertEquals(expectedReads, fixture.countSentTo(fixture.replica, fixture.bounded, 2));
    }

    /** If requests do not carry the last-write position, it may be known from peers. */
    @Test
    void sessionReadNeedsTheLastWritePositionKnownToPeers() {
        RoutingFixture notCarrying =
                RoutingFixture.builder().requestsCarryLastWrite(false).build();
        Request readWithKnownPosition = notCarrying.request(notCarrying.session, notCarrying.now + 0.1);
        assertEquals(
                notCarrying.primary, notCarrying.route(readWithKnownPosition).attempt().node);
        assertNotEquals(notCarrying.primary, notCarrying.send(notCarrying.session).node);
    }
}
