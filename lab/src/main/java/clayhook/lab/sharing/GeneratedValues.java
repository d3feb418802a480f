package clayhook.lab.sharing;

import clayhook.fleet.ReplicatedType;
import clayhook.fleet.types.ListedEndpoint;
import clayhook.fleet.types.NodeObservation;
import clayhook.fleet.types.ObservationSource;
import clayhook.fleet.types.QuotaUsage;
import clayhook.fleet.types.SessionWrite;
import clayhook.fleet.types.WriteOutcome;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Generates what routers learn in a trial: values of each replicated type under few keys, so that several copies are
 * merged. The true state follows from the time and the seed of the trial; what a router reports of it carries its own
 * name and clock.
 */
final class GeneratedValues {
    /** Numbers of keys, small enough that several routers report on each key. */
    private static final int NODES = 10, SESSIONS = 100, COMMANDS = 60;
    /** Seconds between two starts of a node, and between two revisions of the endpoint list. */
    private static final double NODE_LIFETIME = 40, REVISION_INTERVAL = 2;

    /** A value that a router merged into its copy, with the true time. */
    record GeneratedValue<V>(
            ReplicatedType<V> type, String key, V value, PeeredRouter router, int incarnation, double at) {}

    private final SplittableRandom random;
    private final List<ReplicatedType<?>> types;

    /**
     * @param types the replicated types of the routers' copies, ordered by type number; their values are the standard
     *     ones
     */
    GeneratedValues(List<ReplicatedType<?>> types, long seed) {
        this.types = types;
        random = new SplittableRandom(seed);
    }

    /** Draws a value of a random type; returns null if the router's clock makes the value invalid. */
    GeneratedValue<?> next(PeeredRouter router, double now) {
        try {
            return switch (random.nextInt(types.size())) {
                case 0 -> generate(0, "n" + random.nextInt(NODES), key -> observation(key, router, now), router, now);
                case 1 ->
                    generate(1, "n" + random.nextInt(NODES), key -> listedEndpoint(key, router, now), router, now);
                case 2 -> generate(2, "s" + random.nextInt(SESSIONS), key -> new SessionWrite(now, 1), router, now);
                case 3 -> generate(3, "c" + random.nextInt(COMMANDS), key -> writeOutcome(key, router), router, now);
                default ->
                    generate(
                            4,
                            "probes of " + router + " " + router.incarnations(),
                            key -> new QuotaUsage(now, random.nextInt(9), router.now()),
                            router,
                            now);
            };
        } catch (IllegalArgumentException e) {
            return null;
        }
    }

    private interface ValueFactory<V> {
        V of(String key);
    }

    @SuppressWarnings("unchecked") // the types are ordered by type number
    private <V> GeneratedValue<V> generate(
            int type, String key, ValueFactory<V> factory, PeeredRouter router, double now) {
        return new GeneratedValue<>(
                (ReplicatedType<V>) types.get(type), key, factory.of(key), router, router.incarnations(), now);
    }

    private NodeObservation observation(String key, PeeredRouter router, double now) {
        double start = Math.floor(now / NODE_LIFETIME + key.hashCode() % 7 / 7.0) * NODE_LIFETIME - NODE_LIFETIME;
        ObservationSource source = ObservationSource.of(router.now(), router.toString());
        NodeObservation none = NodeObservation.empty(start);
        return switch (random.nextInt(5)) {
            case 0 -> none.withResponse(source).withPosition(now, random.nextDouble(), source);
            case 1 -> none.withResponse(source).withRole(random.nextBoolean(), source);
            case 2 -> none.withFailures(1 + random.nextInt(3), source);
            case 3 -> none.withLatencyRatio(random.nextDouble(), source);
            default -> none.withLoad(random.nextInt(20), source);
        };
    }

    /** Routers receive a revision at different times, but for one node and revision all receive the same entry. */
    private ListedEndpoint listedEndpoint(String key, PeeredRouter router, double now) {
        long revision = (long) (now / REVISION_INTERVAL) - random.nextInt(4);
        var state =
                ListedEndpoint.EndpointState.values()[Math.floorMod(Long.hashCode(revision * 31 + key.hashCode()), 3)];
        return new ListedEndpoint(revision, state, 0, false, "a", 1, "10.0.0.1", 1, router.now());
    }

    /** Generates the outcome of a write: each write has run or not, and its router knows or is in doubt. */
    private WriteOutcome writeOutcome(String key, PeeredRouter router) {
        String routerName = router.toString();
        var first = WriteOutcome.SentWrite.of(router.now(), 1, "pay", null);
        boolean ran = key.hashCode() % 2 == 0;
        return random.nextInt(3) > 0
                ? WriteOutcome.unknown(first)
                : ran
                        ? WriteOutcome.ran(first, WriteOutcome.OutcomeObservation.of(router.now(), routerName, "n1"))
                        : WriteOutcome.notRun(first, WriteOutcome.OutcomeObservation.of(router.now(), routerName, ""));
    }
}
