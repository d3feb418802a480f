package clayhook.fleet.types;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.fleet.Member;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Tests the summaries of peer observations, the allocation of fleet-wide quotas, and the lists of in-doubt writes. */
class ReplicatedReadersTest {
    private static final double NEVER = Double.NEGATIVE_INFINITY;

    @Example
    void summaryCoversOtherRoutersOnTheLocalClockForTheListedIncarnation() {
        var store = new SharedMemoryStore();
        var others = List.of("ahead", "off", "b").stream()
                .map(name -> FixedMembershipView.peer(new Member(name, 1)))
                .toList();
        var peerObservations = new PeerObservations(store, new FixedMembershipView(new Member("a", 1), others));
        var observation = NodeObservation.empty(50)
                .withPosition(95, 1, new ObservationSource(99, "ahead"))
                .withRole(true, new ObservationSource(98, "a"))
                .withRole(false, new ObservationSource(97, "b"))
                .withResponse(new ObservationSource(96, "off"))
                .withLatencyRatio(0.5, new ObservationSource(96, "b"))
                .withLoad(3, new ObservationSource(96, "gone"))
                .withFailures(2, new ObservationSource(99, "b"))
                .withFailures(1, new ObservationSource(98, "a"))
                .withFailures(1, new ObservationSource(97, "gone"))
                .withFailures(3, new ObservationSource(95, "before its last answer"));
        store.merge(NodeObservation.TYPE, NodeObservation.key("n"), observation, 100);
        assertEquals(
                new PeerObservations.NodeSummary(50, 95, 96, 1, 96, NEVER, 97, NEVER, 99, 2, 0.5, 0.3, 3, 0.15),
                peerObservations.summarize("n", 50, 100));
        assertNull(peerObservations.summarize("n", 60, 100), "observations of an earlier incarnation are ignored");
        assertNull(peerObservations.summarize("m", 0, 100));
        assertEquals(
                50,
                peerObservations.summarize("n", 40, 100).incarnationStartedAt(),
                "an incarnation newer than the listed one");
        assertEquals(
                0,
                peerObservations.summarize("n", 50, 108).failedRouterCount() - 1,
                "one of the two failures is too old");
    }

    /**
     * Without new observations, no weight increases with time, and no time is later than that of the newest
     * observation.
     */
    @Property(tries = 300, seed = "27")
    void weightsNeverRiseWithoutNewObservations(@ForAll Random random) {
        var store = new SharedMemoryStore();
        var peerObservations = new PeerObservations(store, FixedMembershipView.of(0, List.of(1, 2)));
        var observation = NodeObservation.empty(0);
        double newest = 0;
        for (int i = 0; i < 8; i++) {
            var source = ObservationSource.of(100 + 4 * random.nextDouble(), "r" + random.nextInt(4));
            newest = Math.max(newest, source.observedAt());
            observation = switch (random.nextInt(3)) {
                case 0 ->
                    observation.withLatencyRatio(random.nextDouble(), source).withResponse(source);
                case 1 -> observation.withFailures(1, source);
                default ->
                    observation.withLoad(2, source).withPosition(99, 1, source).withRole(random.nextBoolean(), source);
            };
        }
        store.merge(NodeObservation.TYPE, "n", observation, 100);
        PeerObservations.NodeSummary last = peerObservations.summarize("n", 0, 104);
        for (double now = 104; now < 130; now += random.nextDouble()) {
            PeerObservations.NodeSummary summary = peerObservations.summarize("n", 0, now);
            assertTrue(
                    summary.latencyRatioWeight() <= last.latencyRatioWeight()
                            && summary.loadWeight() <= last.loadWeight()
                            && summary.failedRouterCount() <= last.failedRouterCount(),
                    summary + " after " + last);
            assertTrue(
                    summary.lastSeenAt() <= newest
                            && summary.primaryClaimedAt() <= newest
                            && summary.lastFailureAt() <= newest,
                    summary.toString());
            last = summary;
        }
    }

    /**
     * Routers use all or part of their remaining allocations and publish the usage; then some of them depart and the
     * others restart.
     */
    @Property(tries = 100, seed = "27")
    void connectedRoutersNeverExceedTheQuota(@ForAll Random random) {
        var quota = new FleetQuota.Quota(QuotaUsage.HEALTH_CHECKS, 100, 4);
        int routerCount = 2 + random.nextInt(7);
        var members = IntStream.range(0, routerCount).boxed().toList();
        var store = new SharedMemoryStore();
        var quotas = members.stream()
                .map(i -> new FleetQuota(store, FixedMembershipView.of(i, members), 1 + random.nextInt(routerCount)))
                .toList();
        var uses = new ArrayList<double[]>();
        for (double now = 100; now < 120; now += random.nextDouble()) {
            double at = now;
            FleetQuota fleetQuota = quotas.get(random.nextInt(routerCount));
            double units = fleetQuota.remaining(quota, at) * (random.nextBoolean() ? 1 : random.nextDouble());
            fleetQuota.recordUse(quota, units, at);
            fleetQuota.publish(at);
            uses.add(new double[] {at, units});
            double sum = uses.stream()
                    .filter(use -> use[0] > at - quota.windowSeconds())
                    .mapToDouble(use -> use[1])
                    .sum();
            assertTrue(sum <= quota.amount() * (1 + 1e-9), "used " + sum);
        }
        int remainingCount = 1 + random.nextInt(routerCount);
        double granted = members.subList(0, remainingCount).stream()
                .mapToDouble(i -> new FleetQuota(
                                store, FixedMembershipView.of(i, members.subList(0, remainingCount)), routerCount)
                        .allocation(quota, 120))
                .sum();
        assertTrue(granted <= quota.amount() * (1 + 1e-9), "granted " + granted);
        assertTrue(
                2 * remainingCount > routerCount || granted <= quota.amount() * remainingCount / routerCount + 1e-9,
                "a partitioned minority gets at most its configured share");
    }

    @Example
    void allocationDependsOnLiveRoutersAndDecayingUsageOfDepartedOnes() {
        var quota = new FleetQuota.Quota(QuotaUsage.RETRIES, 90, 10);
        var store = new SharedMemoryStore();
        var beforeRestart = new FleetQuota(
                store,
                new FixedMembershipView(
                        new Member("r9", 1),
                        FixedMembershipView.of(9, List.of(1, 2)).livePeers()),
                3);
        assertEquals(30, beforeRestart.remaining(quota, 100), 1e-9);
        beforeRestart.recordUse(quota, 30, 100);
        assertEquals(0, beforeRestart.remaining(quota, 100), 1e-9);
        beforeRestart.publish(100);
        beforeRestart.recordUse(quota, 5, 100.5);
        beforeRestart.publish(100.5); // not published, as the minimum interval has not passed
        assertEquals(
                3,
                store.get(QuotaUsage.TYPE, QuotaUsage.key(QuotaUsage.RETRIES, new Member("r9", 1)))
                        .unitsPerSecond(),
                1e-9);
        assertEquals(30, beforeRestart.remaining(quota, 120), 1e-9, "the window with the usage has passed");
        var afterDeparture = new FleetQuota(store, FixedMembershipView.of(1, List.of(2)), 3);
        double[] ages = {5, 10, 15, 20};
        double[] allocations = {30, 30, 37.5, 45};
        IntStream.range(0, 4)
                .forEach(i -> assertEquals(
                        allocations[i], afterDeparture.allocation(quota, 100 + ages[i]), 1e-9, "after " + ages[i]));
        var afterRestart = new FleetQuota(
                store,
                new FixedMembershipView(
                        new Member("r9", 2),
                        FixedMembershipView.of(9, List.of(1, 2)).livePeers()),
                3);
        assertEquals(20, afterRestart.remaining(quota, 105), 1e-9, "usage before the router's own restart counts");
        var peerOfRestarted = new FleetQuota(
                store,
                new FixedMembershipView(
                        FixedMembershipView.member(1), List.of(FixedMembershipView.peer(new Member("r9", 2)))),
                2);
        assertEquals(
                20,
                peerOfRestarted.allocation(new FleetQuota.Quota(QuotaUsage.RETRIES, 70, 10), 105),
                1e-9,
                "usage before the restart counts at other routers too");
        assertEquals(
                90 / 9.0,
                new FleetQuota(store, FixedMembershipView.of(1, List.of(2, 3, 4)), 9).allocation(quota, 200),
                1e-9,
                "a router that sees too few others has its configured share");
    }

    @Example
    void outcomesAreSortedAndConflictsReportedOnce() {
        var store = new SharedMemoryStore();
        var outcomes = new WriteOutcomes(store, WriteOutcome.TYPE);
        var early = WriteOutcome.SentWrite.of(100, 1, "pay", "label 1");
        var late = WriteOutcome.SentWrite.of(200, 1, "pay", null);
        store.merge(WriteOutcome.TYPE, "k2", WriteOutcome.unknown(late), 200);
        store.merge(
                WriteOutcome.TYPE,
                "k9",
                WriteOutcome.ran(early, WriteOutcome.OutcomeObservation.of(150, "b", "n1")),
                200);
        store.merge(WriteOutcome.TYPE, "k3", WriteOutcome.unknown(late), 200);
        store.merge(
                WriteOutcome.TYPE,
                "k3",
                WriteOutcome.notRun(late, WriteOutcome.OutcomeObservation.of(220, "b", "n1")),
                200);
        assertEquals(
                List.of("k9", "k2", "k3"),
                outcomes.entriesSentBetween(0, 300).stream()
                        .map(WriteOutcomes.WriteOutcomeEntry::key)
                        .toList());
        assertEquals(
                List.of("k2", "k3"),
                outcomes.entriesSentBetween(200, 300).stream()
                        .map(WriteOutcomes.WriteOutcomeEntry::key)
                        .toList());
        assertEquals(List.of(), outcomes.takeNewConflicts());
        for (int i = 0; i < 2; i++) {
            store.merge(
                    WriteOutcome.TYPE,
                    "k9",
                    WriteOutcome.notRun(early, WriteOutcome.OutcomeObservation.of(140 + i, "c", "n2")),
                    201);
        }
        var conflict = outcomes.takeNewConflicts();
        assertEquals(
                List.of("k9"),
                conflict.stream().map(WriteOutcomes.WriteOutcomeEntry::key).toList());
        WriteOutcome conflicting = conflict.get(0).outcome();
        assertEquals(
                List.of(new ObservationSource(150, "b"), new ObservationSource(140, "c")),
                List.of(conflicting.ran().source(), conflicting.notRun().source()));
        store.merge(
                WriteOutcome.TYPE,
                "k9",
                WriteOutcome.ran(early, WriteOutcome.OutcomeObservation.of(149, "b", "n1")),
                202);
        assertEquals(List.of(), outcomes.takeNewConflicts());
        assertEquals(List.of(1, 0, 1, 1), List.copyOf(outcomes.counts().values()));
        store.evictionFloor = 150;
        assertEquals(150, outcomes.missingBefore(300));
    }
}
