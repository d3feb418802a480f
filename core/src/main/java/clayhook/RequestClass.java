package clayhook;

/**
 * The service class of a request: what the {@link RoutingPolicy} needs to know of requests of one kind. Durations are
 * seconds.
 *
 * @param name the name in the configuration
 * @param latencyObjectiveSeconds responses within this time count in full
 * @param clientTimeoutSeconds how long clients wait at most
 * @param priorityWeight what a response in time is worth
 * @param lateWeightFraction the fraction of the weight that a response after the latency objective still earns
 * @param deduplicationScope which nodes drop a duplicate of a request with an idempotency key, beside the one that
 *     executed it
 * @param deduplicationWindowSeconds how long they drop it, counted from the first attempt that may have been executed
 * @param maxStalenessSeconds the greatest age of the data that a bounded read may see, when it is sent
 */
public record RequestClass(
        String name,
        Idempotency idempotency,
        ConsistencyLevel consistency,
        double latencyObjectiveSeconds,
        double clientTimeoutSeconds,
        double priorityWeight,
        double lateWeightFraction,
        DeduplicationScope deduplicationScope,
        double deduplicationWindowSeconds,
        double maxStalenessSeconds) {

    /** Whether executing a request twice differs from executing it once. */
    public enum Idempotency {
        /** A duplicate has no effect of its own. */
        IDEMPOTENT,
        /** Nodes recognize a duplicate by its key, within a scope and a time window. */
        IDEMPOTENT_WITH_KEY,
        /** A duplicate would be executed once more. */
        NON_IDEMPOTENT
    }

    /** The nodes that know an idempotency key once one of them has executed the request. */
    public enum DeduplicationScope {
        /** All nodes. */
        ALL,
        /** All nodes of the same zone. */
        ZONE,
        /** The nodes of the same replica set. */
        REPLICA_SET
    }

    /** What a request has to see, in the usual terms of replicated databases. */
    public enum ConsistencyLevel {
        /** A write: only the primary executes it. */
        WRITE,
        /** A read of the newest data: only the primary serves it. */
        STRONG,
        /** A read that sees all earlier writes of its session (read your writes). */
        SESSION,
        /** A read of data of a bounded age. */
        BOUNDED_STALENESS,
        /** A read of data of any age. */
        EVENTUAL
    }

    /** Whether only the primary can take such a request. */
    public boolean requiresPrimary() {
        return consistency == ConsistencyLevel.WRITE || consistency == ConsistencyLevel.STRONG;
    }
}
