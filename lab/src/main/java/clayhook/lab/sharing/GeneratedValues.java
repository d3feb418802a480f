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
    private static final double NODE_LIVES = 40, REVISION = 2;

    /** A value that a router merged into its copy, with the true time. */
    record Said<V>(ReplicatedType<V> kind, String key, V value, PeeredRouter by, int life, double at) {}

    private final SplittableRandom random;
    private final List<ReplicatedType<?>> kinds;

    /**
     * @param kinds the replicated types of the routers' copies, ordered by type number; their values are the standard
     *     ones
     */
    GeneratedValues(List<ReplicatedType<?>> kinds, long seed) {
        this.kinds = kinds;
        random = new SplittableRandom(seed);
    }

    /** Draws a value of a random type; returns null if the router's clock makes the value invalid. */
    Said<?> next(PeeredRouter by, double now) {
        try {
            return switch (random.nextInt(kinds.size())) {
                case 0 -> said(0, "n" + random.nextInt(NODES), key -> evidence(key, by, now), by, now);
                case 1 -> said(1, "n" + random.nextInt(NODES), key -> listed(key, by, now), by, now);
                case 2 -> said(2, "s" + random.nextInt(SESSIONS), key -> new SessionWrite(now, 1), by, now);
                case 3 -> said(3, "c" + random.nextInt(COMMANDS), key -> writeOutcome(key, by), by, now);
                default ->
                    said(
                            4,
                            "probes of " + by + " " + by.lives(),
                            key -> new QuotaUsage(now, random.nextInt(9), by.now()),
                            by,
                            now);
            };
        } catch (IllegalArgumentException e) {
            return null;
        }
    }

    private interface Maker<V> {
        V of(String key);
    }

    @SuppressWarnings("unchecked") // the types are ordered by type number
    private <V> Said<V> said(int kind, String key, Maker<V> maker, PeeredRouter by, double now) {
        return new Said<>((ReplicatedType<V>) kinds.get(kind), key, maker.of(key), by, by.lives(), now);
    }

    private NodeObservation evidence(String key, PeeredRouter by, double now) {
        double start = Math.floor(now / NODE_LIVES + key.hashCode() % 7 / 7.0) * NODE_LIVES - NODE_LIVES;
        ObservationSource sight = ObservationSource.of(by.now(), by.toString());
        NodeObservation none = NodeObservation.empty(start);
        return switch (random.nextInt(5)) {
            case 0 -> none.withResponse(sight).withPosition(now, random.nextDouble(), sight);
            case 1 -> none.withResponse(sight).withRole(random.nextBoolean(), sight);
            case 2 -> none.withFailures(1 + random.nextInt(3), sight);
            case 3 -> none.withLatencyRatio(random.nextDouble(), sight);
            default -> none.withLoad(random.nextInt(20), sight);
        };
    }

    /** Routers receive a revision at different times, but for one node and revision all receive the same entry. */
    private ListedEndpoint listed(String key, PeeredRouter by, double now) {
        long revision = (long) (now / REVISION) - random.nextInt(4);
        var state =
                ListedEndpoint.EndpointState.values()[Math.floorMod(Long.hashCode(revision * 31 + key.hashCode()), 3)];
        return new ListedEndpoint(revision, state, 0, false, "a", 1, "10.0.0.1", 1, by.now());
    }

    /** Generates the outcome of a write: each write has run or not, and its router knows or is in doubt. */
    private WriteOutcome writeOutcome(String key, PeeredRouter by) {
        String router = by.toString();
        var first = WriteOutcome.SentWrite.of(by.now(), 1, "pay", null);
        boolean ran = key.hashCode() % 2 == 0;
        return random.nextInt(3) > 0
                ? WriteOutcome.unknown(first)
                : ran
                        ? WriteOutcome.ran(first, WriteOutcome.OutcomeObservation.of(by.now(), router, "n1"))
                        : WriteOutcome.notRun(first, WriteOutcome.OutcomeObservation.of(by.now(), router, ""));
    }
}
