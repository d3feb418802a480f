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
 * What routers come to know in a trial: of each kind some values under few keys, so that copies meet. What is so in the
 * world follows from time and the trial's seed; what a router says of it is its own, at its own clock.
 */
final class GeneratedValues {
    /** Few enough that several routers speak of each. */
    private static final int NODES = 10, SESSIONS = 100, COMMANDS = 60;
    /** Seconds between two starts of a node, and between two revisions of the list. */
    private static final double NODE_LIVES = 40, REVISION = 2;

    /** One value that a router put in, at the true time. */
    record Said<V>(ReplicatedType<V> kind, String key, V value, PeeredRouter by, int life, double at) {}

    private final SplittableRandom random;
    private final List<ReplicatedType<?>> kinds;

    /** {@code kinds} as the routers' copies have them, in order of their numbers; their values are the usual ones. */
    GeneratedValues(List<ReplicatedType<?>> kinds, long seed) {
        this.kinds = kinds;
        random = new SplittableRandom(seed);
    }

    /** Some value of some kind; null where that router's clock makes no sense of it. */
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

    @SuppressWarnings("unchecked") // the kinds stand in order of their numbers
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

    /** Routers hear of a revision at different times; of one node and revision all hear the same. */
    private ListedEndpoint listed(String key, PeeredRouter by, double now) {
        long revision = (long) (now / REVISION) - random.nextInt(4);
        var state =
                ListedEndpoint.EndpointState.values()[Math.floorMod(Long.hashCode(revision * 31 + key.hashCode()), 3)];
        return new ListedEndpoint(revision, state, 0, false, "a", 1, "10.0.0.1", 1, by.now());
    }

    /** Each command has run or not; its router may know or be in doubt. */
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
