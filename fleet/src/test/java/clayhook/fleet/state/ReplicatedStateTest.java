package clayhook.fleet.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.fleet.ReplicatedType;
import clayhook.fleet.state.FaultScenario.Action;
import clayhook.fleet.state.StateTestNetwork.SimulatedMember;
import clayhook.fleet.state.TimestampedNumberType.TimestampedNumber;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.BinaryOperator;
import java.util.function.ToLongFunction;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.RandomDistribution;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ReplicatedStateTest {
    private static final double FOREVER = Double.POSITIVE_INFINITY;
    private static final TimestampedNumberType REGISTERS =
            new TimestampedNumberType(1, 20, 1000, false, TimestampedNumberType.LATEST);
    private static final TimestampedNumberType SETS =
            new TimestampedNumberType(2, FOREVER, 1000, true, TimestampedNumberType.UNION);
    private static final TimestampedNumberType BOUNDED_REGISTERS =
            new TimestampedNumberType(3, FOREVER, 8, false, TimestampedNumberType.LATEST);

    @Provide
    Arbitrary<List<Action>> actions() {
        Arbitrary<Integer> number =
                Arbitraries.integers().between(0, 1000).withDistribution(RandomDistribution.uniform());
        return Combinators.combine(Arbitraries.integers().between(0, Action.ACTION_COUNT - 1), number, number, number)
                .as(Action::new)
                .list()
                .ofMinSize(10)
                .ofMaxSize(80);
    }

    /**
     * Runs random sequences of writes, lost, duplicated and reordered packets, partitions, restarts and frozen routers.
     */
    @Property(tries = 60, seed = "27")
    void replicasConvergeUnderFaultsAndNeverOverstateCompleteness(
            @ForAll("actions") List<Action> actions, @ForAll @IntRange(min = 5, max = 20) int size, @ForAll long seed) {
        var scenario = new FaultScenario(seed, size, List.of(REGISTERS, SETS, BOUNDED_REGISTERS));
        actions.forEach(scenario::perform);
        scenario.healAndCheckConvergence();
    }

    /**
     * Verifies that fault scenarios detect defects: they pass with a correct merge and fail with one that depends on
     * the order of arrival.
     */
    @ParameterizedTest
    @CsvSource({"true", "false"})
    void scenariosDetectOrderDependentMerge(boolean correct) {
        BinaryOperator<TimestampedNumber> rule =
                correct ? TimestampedNumberType.LATEST : TimestampedNumberType.LAST_RECEIVED;
        int detected = 0;
        for (int seed = 0; seed < 8; seed++) {
            var random = new SplittableRandom(seed);
            var scenario =
                    new FaultScenario(seed, 6, List.of(new TimestampedNumberType(1, FOREVER, 1000, false, rule)));
            try {
                for (int i = 0; i < 40; i++) {
                    scenario.perform(
                            new Action(random.nextInt(8), random.nextInt(6), random.nextInt(15), random.nextInt(1000)));
                }
                scenario.healAndCheckConvergence();
            } catch (AssertionError e) {
                detected++;
            }
        }
        assertEquals(correct ? 0 : 8, detected);
    }

    private static StateTestNetwork startNetwork(int size, TimestampedNumberType... types) {
        return new StateTestNetwork(1, size, List.<ReplicatedType<?>>of(types), StateSettings.DEFAULT).startAll();
    }

    private static TimestampedNumber write(SimulatedMember member, TimestampedNumberType type, String key, double age) {
        return member.state.merge(type, key, new TimestampedNumber(7, member.clock() - age), member.clock());
    }

    @ParameterizedTest
    @CsvSource({
        "20, 1, EXPIRED",
        "19.9, 1, ",
        "-2, 1, FUTURE",
        "-0.9, 1, ",
        "0, 0, INVALID_ENTRY",
        "0, 257, INVALID_ENTRY",
        "0, 256, ",
        "NaN, 1, FUTURE"
    })
    void rejectsExpiredAndFutureValuesAndInvalidKeys(double age, int length, ApplyResult reason) {
        SimulatedMember alone = startNetwork(1, REGISTERS).members.get(0);
        String key = "k".repeat(length);
        TimestampedNumber merged = write(alone, REGISTERS, key, age);
        assertEquals(reason == null, merged != null);
        assertEquals(merged, alone.state.get(REGISTERS, key));
        assertEquals(
                reason == null ? List.of() : List.of(reason),
                new ArrayList<>(alone.state.counters().rejections.keySet()));
    }

    @Test
    void fullTableEvictsOldestEntriesAndRaisesFloorOnAllReplicas() {
        StateTestNetwork network = startNetwork(3, BOUNDED_REGISTERS).awaitCompleteness();
        SimulatedMember member = network.members.get(0);
        double start = member.clock();
        for (int i = 0; i < 20; i++) {
            assertNotNull(member.state.merge(
                    BOUNDED_REGISTERS, "k" + i, new TimestampedNumber(i, start + i * 0.01), member.clock()));
        }
        network.run(3);
        for (SimulatedMember each : network.members) {
            assertEquals(8, each.state.size(BOUNDED_REGISTERS));
            assertEquals(start + 0.11, each.state.evictionFloor(BOUNDED_REGISTERS), 1e-9);
            assertNull(
                    each.state.merge(BOUNDED_REGISTERS, "old", new TimestampedNumber(1, start + 0.11), each.clock()));
            assertNotNull(each.state.get(BOUNDED_REGISTERS, "k12"));
        }
    }

    @Test
    void rejectsValuesAtOrBelowAdoptedFloor() {
        var table = new EntryTable<TimestampedNumber>(BOUNDED_REGISTERS, StateSettings.DEFAULT);
        table.merge("a", StableHash.ofKey("a"), new TimestampedNumber(1, 4), 9);
        table.merge("b", StableHash.ofKey("b"), new TimestampedNumber(1, 6), 9);
        table.raiseFloor(5, 9, 100);
        assertEquals(1, table.size());
        assertEquals(ApplyResult.BELOW_FLOOR, table.merge("a", StableHash.ofKey("a"), new TimestampedNumber(1, 5), 9));
        assertEquals(ApplyResult.CHANGED, table.merge("a", StableHash.ofKey("a"), new TimestampedNumber(1, 5.1), 9));
    }

    /**
     * Guards against the replication of expired entries by a replica that was stalled while they expired. Since there
     * are no tombstones, the stalled replica has to remove them itself.
     */
    @Test
    void stalledReplicaDoesNotReplicateExpiredEntries() {
        StateTestNetwork network = startNetwork(4, REGISTERS).awaitCompleteness();
        write(network.members.get(0), REGISTERS, "gone", 0);
        network.run(2);
        network.members.get(3).frozen = true;
        network.run(19);
        network.members.get(3).unfreeze();
        var changedKeys = new ArrayList<String>();
        network.members.forEach(
                member -> member.state.addListener(REGISTERS, (key, value, now) -> changedKeys.add(key)));
        network.run(3);
        assertEquals(
                List.of(0, 0, 0, 0),
                network.members.stream()
                        .map(member -> member.state.size(REGISTERS))
                        .toList());
        assertEquals(List.of(), changedKeys);
    }

    /**
     * Replicas with slightly different clocks remove the same entry at different times. This must not cause a transfer
     * of the entry by anti-entropy.
     */
    @Test
    void expiringEntriesCauseNoRangeTransfers() {
        StateTestNetwork network = startNetwork(4, REGISTERS).awaitCompleteness();
        for (int i = 0; i < 180; i++) {
            write(network.members.get(i % 4), REGISTERS, "key " + i, 0);
            network.run(0.1);
        }
        network.run(3);
        double bytes = -sum(network, counters -> counters.antiEntropyBytes);
        double sessions = -sum(network, counters -> counters.sessionsStarted);
        network.run(17);
        assertTrue(network.members.get(0).state.size(REGISTERS) < 10);
        bytes += sum(network, counters -> counters.antiEntropyBytes);
        sessions += sum(network, counters -> counters.sessionsStarted);
        assertEquals(
                2 * (EncodedSizes.HEADER_BYTES + EncodedSizes.ROOT_DIGEST_BYTES),
                bytes / sessions,
                20,
                "only root digests are exchanged");
    }

    private static long sum(StateTestNetwork network, ToLongFunction<StateCounters> counter) {
        return network.members.stream()
                .mapToLong(member -> counter.applyAsLong(member.state.counters()))
                .sum();
    }

    @Test
    void completeUpToIsNeverOverstated() {
        StateTestNetwork network = startNetwork(3, REGISTERS);
        SimulatedMember first = network.members.get(0);
        network.members.get(1).partition = 1;
        network.members.get(2).partition = 1;
        network.run(15);
        assertEquals(
                -FOREVER,
                first.state.completeUpTo(first.clock()),
                "has peers, but was not bootstrapped by any of them");
        network.members.get(1).partition = 0;
        network.members.get(2).partition = 0;
        network.members.forEach(SimulatedMember::start);
        network.run(5);
        assertEquals(-FOREVER, first.state.completeUpTo(first.clock()), "its peers are not bootstrapped either");
        network.awaitCompleteness();
        network.run(5);
        assertEquals(first.clock(), first.state.completeUpTo(first.clock()), 1.5);
        network.members.get(1).partition = 1;
        network.run(10);
        assertEquals(
                first.clock() - 10,
                first.state.completeUpTo(first.clock()),
                1.5,
                "a member that may be serving is not reachable");
        first.recentlyStalled = true;
        assertEquals(-FOREVER, first.state.completeUpTo(first.clock()), "the router itself stalled recently");
        SimulatedMember alone = startNetwork(1, REGISTERS).members.get(0);
        assertEquals(-FOREVER, alone.state.completeUpTo(alone.clock() + 9.9), "the bootstrap timeout has not elapsed");
        assertEquals(alone.clock() + 10.1, alone.state.completeUpTo(alone.clock() + 10.1));
    }

    /**
     * From a member whose clock is off by more than the bound, only values of types that are not clock-dependent are
     * accepted. As long as the member may be serving, no replica reports that it is complete.
     */
    @Test
    void rejectsClockDependentValuesOfMembersWithSkewedClocks() {
        StateTestNetwork network = new StateTestNetwork(1, 3, List.of(REGISTERS, SETS), StateSettings.DEFAULT);
        SimulatedMember skewed = network.members.get(2);
        skewed.clockLag = 5;
        network.startAll().run(15);
        write(skewed, REGISTERS, "timed", 0);
        write(skewed, SETS, "untimed", 0);
        write(network.members.get(0), REGISTERS, "right", 0);
        network.run(3);
        for (SimulatedMember member : network.members.subList(0, 2)) {
            assertNull(member.state.get(REGISTERS, "timed"));
            assertNotNull(member.state.get(REGISTERS, "right"));
            assertNotNull(member.state.get(SETS, "untimed"));
            assertEquals(-FOREVER, member.state.completeUpTo(member.clock()));
        }
    }

    /** Half of the routers run a release that supports one more replicated type. */
    @Test
    void skipsAndCountsUnknownTypes() {
        StateTestNetwork network = new StateTestNetwork(1, 4, List.of(REGISTERS, SETS), StateSettings.DEFAULT);
        network.members.subList(0, 2).forEach(member -> member.supportedTypes = List.of(REGISTERS));
        network.startAll().awaitCompleteness();
        network.members.forEach(member -> write(member, REGISTERS, member.address.host(), 0));
        write(network.members.get(3), SETS, "new", 0);
        network.run(5);
        for (SimulatedMember member : network.members) {
            assertEquals(4, member.state.size(REGISTERS));
            assertEquals(member.clock(), member.state.completeUpTo(member.clock()), 2);
            assertTrue(
                    member.supportedTypes.size() == 2
                            ? member.state.get(SETS, "new") != null
                            : member.state.counters().unknownTypes > 0);
        }
        SimulatedMember isolated = network.members.get(2);
        SimulatedMember source = network.members.get(3);
        isolated.partition = 1;
        double before = network.now;
        write(source, SETS, "newer", 0);
        network.run(3);
        source.frozen = true;
        isolated.partition = 0;
        network.run(3);
        assertTrue(
                isolated.state.completeUpTo(isolated.clock()) + isolated.clockLag < before,
                "members that do not support the type cannot confirm that it is complete");
        source.unfreeze();
        assertTrue(network.runUntil(5, () -> isolated.state.completeUpTo(isolated.clock()) + isolated.clockLag > before)
                < 5);
        assertNotNull(isolated.state.get(SETS, "newer"));
    }

    /**
     * A router without any entries is bootstrapped even if its peer is partitioned, frozen or restarted during the
     * transfer.
     */
    @ParameterizedTest
    @CsvSource({"cut", "frozen", "killed"})
    void bootstrapContinuesWithAnotherPeerIfPeerFails(String failure) {
        StateTestNetwork network = startNetwork(4, SETS).awaitCompleteness();
        for (int i = 0; i < 1000; i++) {
            write(network.members.get(i % 3), SETS, "key " + i, 0);
        }
        network.run(5);
        SimulatedMember restarted = network.members.get(3);
        network.delay = 0.02;
        Map<SimulatedMember, Long> before = new HashMap<>();
        network.members.forEach(member -> before.put(member, member.state.counters().antiEntropyBytes));
        restarted.start();
        network.runUntil(5, () -> restarted.state.size(SETS) > 300);
        assertTrue(restarted.state.size(SETS) < 1000 && restarted.state.completeUpTo(restarted.clock()) == -FOREVER);
        SimulatedMember responder = network.members.subList(0, 3).stream()
                .max(Comparator.comparing(member -> member.state.counters().antiEntropyBytes - before.get(member)))
                .orElseThrow();
        if (failure.equals("killed")) {
            responder.start();
        } else {
            responder.frozen = failure.equals("frozen");
            responder.partition = failure.equals("cut") ? 1 : 0;
        }
        assertTrue(network.runUntil(5, () -> restarted.state.size(SETS) == 1000) < 5);
        assertTrue(network.runUntil(5, () -> restarted.state.isBootstrapped(restarted.clock())) < 5);
    }
}
