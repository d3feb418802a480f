package clayhook.fleet.types;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.fleet.Member;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** What this router may believe of nodes, of its share of limits, and of commands in doubt. */
class ReplicatedReadersTest {
    private static final double NEVER = Double.NEGATIVE_INFINITY;

    @Example
    void summaryCoversOtherRoutersOnTheLocalClockForTheListedIncarnation() {
        var shared = new SharedMemoryStore();
        var others = List.of("ahead", "off", "b").stream()
                .map(name -> FixedMembershipView.peer(new Member(name, 1)))
                .toList();
        var hearsay = new PeerObservations(shared, new FixedMembershipView(new Member("a", 1), others));
        var evidence = NodeObservation.empty(50)
                .withPosition(95, 1, new ObservationSource(99, "ahead"))
                .withRole(true, new ObservationSource(98, "a"))
                .withRole(false, new ObservationSource(97, "b"))
                .withResponse(new ObservationSource(96, "off"))
                .withLatencyRatio(0.5, new ObservationSource(96, "b"))
                .withLoad(3, new ObservationSource(96, "gone"))
                .withFailures(2, new ObservationSource(99, "b"))
                .withFailures(1, new ObservationSource(98, "a"))
                .withFailures(1, new ObservationSource(97, "gone"))
                .withFailures(3, new ObservationSource(95, "before it was heard"));
        shared.merge(NodeObservation.TYPE, NodeObservation.key("n"), evidence, 100);
        assertEquals(
                new PeerObservations.NodeSummary(50, 95, 96, 1, 96, NEVER, 97, NEVER, 99, 2, 0.5, 0.3, 3, 0.15),
                hearsay.summarize("n", 50, 100));
        assertNull(hearsay.summarize("n", 60, 100), "of an earlier life");
        assertNull(hearsay.summarize("m", 0, 100));
        assertEquals(50, hearsay.summarize("n", 40, 100).incarnationStartedAt(), "the list is late");
        assertEquals(0, hearsay.summarize("n", 50, 108).failedRouterCount() - 1, "one strike is ten seconds old");
    }

    /** As time goes by without news nothing weighs more or gets younger than whoever saw it said. */
    @Property(tries = 300, seed = "27")
    void weightsNeverRiseWithoutNewObservations(@ForAll Random random) {
        var shared = new SharedMemoryStore();
        var hearsay = new PeerObservations(shared, FixedMembershipView.of(0, List.of(1, 2)));
        var evidence = NodeObservation.empty(0);
        double newest = 0;
        for (int i = 0; i < 8; i++) {
            var sight = ObservationSource.of(100 + 4 * random.nextDouble(), "r" + random.nextInt(4));
            newest = Math.max(newest, sight.observedAt());
            evidence = switch (random.nextInt(3)) {
                case 0 -> evidence.withLatencyRatio(random.nextDouble(), sight).withResponse(sight);
                case 1 -> evidence.withFailures(1, sight);
                default ->
                    evidence.withLoad(2, sight).withPosition(99, 1, sight).withRole(random.nextBoolean(), sight);
            };
        }
        shared.merge(NodeObservation.TYPE, "n", evidence, 100);
        PeerObservations.NodeSummary last = hearsay.summarize("n", 0, 104);
        for (double now = 104; now < 130; now += random.nextDouble()) {
            PeerObservations.NodeSummary word = hearsay.summarize("n", 0, now);
            assertTrue(
                    word.latencyRatioWeight() <= last.latencyRatioWeight()
                            && word.loadWeight() <= last.loadWeight()
                            && word.failedRouterCount() <= last.failedRouterCount(),
                    word + " after " + last);
            assertTrue(
                    word.lastSeenAt() <= newest && word.primaryClaimedAt() <= newest && word.lastFailureAt() <= newest,
                    word.toString());
            last = word;
        }
    }

    /**
     * Routers in two halves of a split use all they are left with, tell it or not, while some vanish and others start
     * anew.
     */
    @Property(tries = 100, seed = "27")
    void connectedRoutersNeverExceedTheQuota(@ForAll Random random) {
        var limit = new FleetQuota.Quota(QuotaUsage.HEALTH_CHECKS, 100, 4);
        int fleet = 2 + random.nextInt(7);
        var seen = IntStream.range(0, fleet).boxed().toList();
        var shared = new SharedMemoryStore();
        var shares = seen.stream()
                .map(i -> new FleetQuota(shared, FixedMembershipView.of(i, seen), 1 + random.nextInt(fleet)))
                .toList();
        var uses = new java.util.ArrayList<double[]>();
        for (double now = 100; now < 120; now += random.nextDouble()) {
            double at = now;
            FleetQuota one = shares.get(random.nextInt(fleet));
            double units = one.remaining(limit, at) * (random.nextBoolean() ? 1 : random.nextDouble());
            one.recordUse(limit, units, at);
            one.publish(at);
            uses.add(new double[] {at, units});
            double sum = uses.stream()
                    .filter(use -> use[0] > at - limit.windowSeconds())
                    .mapToDouble(use -> use[1])
                    .sum();
            assertTrue(sum <= limit.amount() * (1 + 1e-9), "used " + sum);
        }
        int rest = 1 + random.nextInt(fleet);
        double granted = seen.subList(0, rest).stream()
                .mapToDouble(i -> new FleetQuota(shared, FixedMembershipView.of(i, seen.subList(0, rest)), fleet)
                        .allocation(limit, 120))
                .sum();
        assertTrue(granted <= limit.amount() * (1 + 1e-9), "granted " + granted);
        assertTrue(
                2 * rest > fleet || granted <= limit.amount() * rest / fleet + 1e-9,
                "a small side has its configured share");
    }

    @Example
    void allocationDependsOnLiveRoutersAndUsageOfVanishedOnesFades() {
        var limit = new FleetQuota.Quota(QuotaUsage.RETRIES, 90, 10);
        var shared = new SharedMemoryStore();
        var before = new FleetQuota(
                shared,
                new FixedMembershipView(
                        new Member("r9", 1),
                        FixedMembershipView.of(9, List.of(1, 2)).livePeers()),
                3);
        assertEquals(30, before.remaining(limit, 100), 1e-9);
        before.recordUse(limit, 30, 100);
        assertEquals(0, before.remaining(limit, 100), 1e-9);
        before.publish(100);
        before.recordUse(limit, 5, 100.5);
        before.publish(100.5); // too soon to be told
        assertEquals(
                3,
                shared.get(QuotaUsage.TYPE, QuotaUsage.key(QuotaUsage.RETRIES, new Member("r9", 1)))
                        .unitsPerSecond(),
                1e-9);
        assertEquals(30, before.remaining(limit, 120), 1e-9, "its window is over");
        var alone = new FleetQuota(shared, FixedMembershipView.of(1, List.of(2)), 3);
        double[] ages = {5, 10, 15, 20}, left = {30, 30, 37.5, 45};
        IntStream.range(0, 4)
                .forEach(i -> assertEquals(left[i], alone.allocation(limit, 100 + ages[i]), 1e-9, "after " + ages[i]));
        var again = new FleetQuota(
                shared,
                new FixedMembershipView(
                        new Member("r9", 2),
                        FixedMembershipView.of(9, List.of(1, 2)).livePeers()),
                3);
        assertEquals(20, again.remaining(limit, 105), 1e-9, "use before its own restart counts");
        var peers = new FleetQuota(
                shared,
                new FixedMembershipView(
                        FixedMembershipView.member(1), List.of(FixedMembershipView.peer(new Member("r9", 2)))),
                2);
        assertEquals(
                20, peers.allocation(new FleetQuota.Quota(QuotaUsage.RETRIES, 70, 10), 105), 1e-9, "and at others");
        assertEquals(
                90 / 9.0,
                new FleetQuota(shared, FixedMembershipView.of(1, List.of(2, 3, 4)), 9).allocation(limit, 200),
                1e-9,
                "just started");
    }

    @Example
    void outcomesAreSortedAndConflictsReportedOnce() {
        var shared = new SharedMemoryStore();
        var fates = new WriteOutcomes(shared, WriteOutcome.TYPE);
        var early = WriteOutcome.SentWrite.of(100, 1, "pay", "toll 1");
        var late = WriteOutcome.SentWrite.of(200, 1, "pay", null);
        shared.merge(WriteOutcome.TYPE, "k2", WriteOutcome.unknown(late), 200);
        shared.merge(
                WriteOutcome.TYPE, "k9", WriteOutcome.ran(early, WriteOutcome.OutcomeWitness.of(150, "b", "n1")), 200);
        shared.merge(WriteOutcome.TYPE, "k3", WriteOutcome.unknown(late), 200);
        shared.merge(
                WriteOutcome.TYPE,
                "k3",
                WriteOutcome.notRun(late, WriteOutcome.OutcomeWitness.of(220, "b", "n1")),
                200);
        assertEquals(
                List.of("k9", "k2", "k3"),
                fates.entriesSentBetween(0, 300).stream()
                        .map(WriteOutcomes.WriteOutcomeEntry::key)
                        .toList());
        assertEquals(
                List.of("k2", "k3"),
                fates.entriesSentBetween(200, 300).stream()
                        .map(WriteOutcomes.WriteOutcomeEntry::key)
                        .toList());
        assertEquals(List.of(), fates.takeNewConflicts());
        for (int i = 0; i < 2; i++) {
            shared.merge(
                    WriteOutcome.TYPE,
                    "k9",
                    WriteOutcome.notRun(early, WriteOutcome.OutcomeWitness.of(140 + i, "c", "n2")),
                    201);
        }
        var conflict = fates.takeNewConflicts();
        assertEquals(
                List.of("k9"),
                conflict.stream().map(WriteOutcomes.WriteOutcomeEntry::key).toList());
        WriteOutcome both = conflict.get(0).outcome();
        assertEquals(
                List.of(new ObservationSource(150, "b"), new ObservationSource(140, "c")),
                List.of(both.ran().source(), both.notRun().source()));
        shared.merge(
                WriteOutcome.TYPE, "k9", WriteOutcome.ran(early, WriteOutcome.OutcomeWitness.of(149, "b", "n1")), 202);
        assertEquals(List.of(), fates.takeNewConflicts());
        assertEquals(List.of(1, 0, 1, 1), List.copyOf(fates.counts().values()));
        shared.floor = 150;
        assertEquals(150, fates.missingBefore(300));
    }
}
