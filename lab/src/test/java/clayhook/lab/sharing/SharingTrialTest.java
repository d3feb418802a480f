package clayhook.lab.sharing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.RequestClass;
import clayhook.RequestClass.ConsistencyLevel;
import clayhook.RequestClass.DeduplicationScope;
import clayhook.RequestClass.Idempotency;
import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
import clayhook.lab.model.Failure;
import clayhook.lab.model.FleetSpec;
import clayhook.lab.model.MachineSpec;
import clayhook.lab.model.PeerLinkFactory;
import clayhook.lab.model.RuleAudit.RuleKept;
import clayhook.lab.model.RunMetrics;
import clayhook.lab.model.SimulatedFleet;
import clayhook.lab.model.VirtualScheduler;
import clayhook.lab.sharing.SharingFault.Kind;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class SharingTrialTest {
    private static final SharingTrial.Spec SPEC =
            new SharingTrial.Spec(new SimulatedPeerGroup.Spec(12, 0.0005, 0), 45, 30, 10);
    private static final int FAULTS = 8;
    /** Number of seeds in CI; {@code lab run} takes any number. */
    private static final int SEEDS = 200;

    private static List<Integer> seeds(int count) {
        return IntStream.rangeClosed(1, count).boxed().toList();
    }

    @Test
    void routersAgreeAfterAnyFaults() {
        SharingSweep.Result result =
                new SharingSweep(SPEC, SharingTrial.TYPES, FaultPlan.NONE, FAULTS).play(seeds(SEEDS));
        assertEquals(List.of(), result.shrunkFailures(), result::toString);
        assertEquals(0, result.failed());
    }

    /** A broken type whose merge keeps the second value, so that it is not commutative. */
    private static final class LastValueWins<V> implements clayhook.fleet.ReplicatedType<V> {
        private final clayhook.fleet.ReplicatedType<V> type;

        LastValueWins(clayhook.fleet.ReplicatedType<V> type) {
            this.type = type;
        }

        @Override
        public int typeNumber() {
            return type.typeNumber();
        }

        @Override
        public String name() {
            return type.name();
        }

        @Override
        public V merge(V a, V b) {
            return b;
        }

        @Override
        public double timestamp(V value) {
            return type.timestamp(value);
        }

        @Override
        public double retentionSeconds() {
            return type.retentionSeconds();
        }

        @Override
        public int maxEntries() {
            return type.maxEntries();
        }

        @Override
        public boolean urgent() {
            return type.urgent();
        }

        @Override
        public boolean clockDependent() {
            return type.clockDependent();
        }

        @Override
        public void write(V value, FieldWriter out) {
            type.write(value, out);
        }

        @Override
        public V read(FieldReader in) {
            return type.read(in);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2, 3, 4})
    void nonCommutativeMergeIsFoundAndShrunkReproducibly(int typeIndex) {
        var types = new ArrayList<>(SharingTrial.TYPES);
        types.set(typeIndex, new LastValueWins<>(types.get(typeIndex)));
        SharingSweep.Result result = new SharingSweep(SPEC, types, FaultPlan.NONE, FAULTS).play(seeds(2));
        assertTrue(result.failed() > 0, result::toString);
        SharingSweep.ShrunkFailure found = result.shrunkFailures().get(0);
        assertTrue(
                found.violation().contains(types.get(typeIndex).name())
                        && found.plan().faults().size() < FAULTS,
                found::toString);
        assertEquals(
                found.violation(),
                SharingTrial.play(SPEC, types, found.plan(), found.seed()).violation());
    }

    @Test
    void planIsShrunkToTheFaultsThatTheFailureNeeds() {
        FaultPlan drawn = FaultPlan.draw(5, 40, 12, 90);
        assertEquals(drawn, FaultPlan.draw(5, 40, 12, 90));
        assertTrue(drawn.end() <= 90);
        FaultPlan least =
                drawn.shrink(plan -> plan.faults().stream().anyMatch(f -> f.kind() == Kind.SPLIT && f.lasts() > 1)
                        && plan.faults().stream().anyMatch(f -> f.kind() == Kind.KILL));
        assertEquals(2, least.faults().size(), least::toString);
        assertTrue(
                least.faults().stream().allMatch(f -> f.kind() == Kind.KILL ? f.lasts() < 0.1 : f.lasts() <= 2),
                least::toString);
    }

    /**
     * Sends a thousand packets from router 0 to router 1. The parameters are the expected number of delivered and of
     * corrupted packets, and the latest delivery in seconds.
     */
    @ParameterizedTest
    @CsvSource({
        "LOSS, 0, 0.3, 700, 0, 0.004",
        "LOSS, 2, 0.3, 1000, 0, 0.004",
        "DOUBLE, 0, 0.2, 1200, 0, 0.004",
        "CUT, 0 1, 0, 0, 0, 0",
        "CUT, 1 0, 0, 1000, 0, 0.004",
        "SPLIT, 0 2, 0, 0, 0, 0",
        "SPLIT, 0 1, 0, 1000, 0, 0.004",
        "GARBLE, '', 0.5, 1000, 500, 0.004",
        "REORDER, 0, 0.5, 1000, 0, 0.5",
        "SLOW, 0, 10000, 1000, 0, 1.1",
        "FREEZE, 2, 0, 1000, 0, 0.004"
    })
    void networkAppliesTheFault(
            Kind kind, String routerNumbers, double amount, int delivered, int corrupted, double latest) {
        var scheduler = new VirtualScheduler(100);
        var network = new SimulatedNetwork(scheduler, 3, 0.0005, 0, 7);
        int[] counts = new int[2];
        double[] last = new double[1];
        for (int i = 0; i < 3; i++) {
            network.register(PeeredRouter.address(i), i, (from, bytes) -> {
                counts[0]++;
                counts[1] += bytes[0] == 1 && bytes[1] == 1 ? 0 : 1;
                last[0] = Math.max(last[0], scheduler.now() - 100);
            });
        }
        List<Integer> routers = routerNumbers.isEmpty()
                ? List.of()
                : java.util.Arrays.stream(routerNumbers.split(" "))
                        .map(Integer::valueOf)
                        .toList();
        network.startFault(new SharingFault(0, kind, routers, 10, amount));
        for (int i = 0; i < 1000; i++) {
            network.send(PeeredRouter.address(0), PeeredRouter.address(1), new byte[] {1, 1, 1, 1, 1, 1, 1, 1, 1, 1});
        }
        scheduler.runUntil(200);
        assertEquals(delivered, counts[0], 60);
        assertEquals(corrupted * 2 / 10.0, counts[1], 30); // only two of ten bytes are checked
        assertTrue(last[0] <= latest && last[0] >= latest / 4, "" + last[0]);
        assertEquals(10_000.0 / 3, network.traffic().bytes(0, 1), 1e-9);
    }

    // ---- a modelled fleet whose routers are peers ----

    private static RequestClass requestClass(String name, Idempotency effect, ConsistencyLevel level) {
        return new RequestClass(name, effect, level, 0.25, 2, 1, 0, DeduplicationScope.REPLICA_SET, 1, 0.2);
    }

    private static FleetSpec fleet(boolean shares) {
        return new FleetSpec(
                2,
                2,
                6,
                List.of("a", "b", "c"),
                new MachineSpec(2, 50, 0.02, 0.02, 0.005, 0.3, 5),
                0.0005,
                2,
                0.5,
                true,
                false,
                List.of(
                        new FleetSpec.Kind(
                                requestClass("own", Idempotency.IDEMPOTENT, ConsistencyLevel.SESSION), 4, 0.004, 0.5),
                        new FleetSpec.Kind(
                                requestClass("pay", Idempotency.IDEMPOTENT_WITH_KEY, ConsistencyLevel.WRITE),
                                1,
                                0.003,
                                0.5)),
                300,
                List.of(),
                50,
                new FleetSpec.Contact(shares, false, 3, 0.5));
    }

    /**
     * Sessions move between routers without carrying last-write positions, while replicas lag by seconds and routers
     * are partitioned, killed and frozen.
     */
    @Test
    void roamingSessionsReadTheirOwnWritesOnlyWithPeers() {
        var failures = List.of(
                new Failure(Failure.Kind.SLOW_LOG, "1r1", 3, 20, 5),
                new Failure(Failure.Kind.SLOW_LOG, "2r2", 3, 20, 5),
                new Failure(Failure.Kind.DRAIN, "1r2", 10, 4, 0),
                new Failure(Failure.Kind.CRASH, "2p", 18, 4, 0));
        var plan = new FaultPlan(List.of(
                new SharingFault(8, Kind.SPLIT, List.of(0, 1, 2), 6, 0),
                new SharingFault(16, Kind.LOSS, List.of(), 6, 0.3),
                new SharingFault(17, Kind.KILL, List.of(1), 2, 0),
                new SharingFault(19, Kind.FREEZE, List.of(4), 3, 0)));
        RunMetrics alone = new SimulatedFleet(fleet(false), failures, 1, PeerLinkFactory.NONE).run(30);
        assertTrue(alone.violations().getOrDefault(RuleKept.NO_STALE_READ, 0) > 10, alone::firstViolation);
        FleetSpec spec = fleet(true);
        var sharing = new PeeredFleet(spec.contact(), 0.0005, 0, plan);
        RunMetrics shared = new SimulatedFleet(spec, failures, 1, sharing).run(30);
        assertEquals(Map.of(), shared.violations(), shared::firstViolation);
        assertNotNull(sharing.peerGroup());
        assertEquals(null, sharing.peerGroup().disagreement(List.of()));
    }
}
