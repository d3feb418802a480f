package clayhook;

/**
 * The request class of a request: the properties of similar requests that the {@link RoutingPolicy} uses. Durations are
 * in seconds.
 *
 * @param name the name in the configuration
 * @param latencyObjectiveSeconds the time within which a response earns the full weight
 * @param clientTimeoutSeconds the longest time that clients wait for a response
 * @param priorityWeight the value of a response within the latency objective
 * @param lateWeightFraction the fraction of the weight that a response after the latency objective still earns
 * @param deduplicationScope the nodes that drop a duplicate of a request with an idempotency key, in addition to the
 *     node that executed it
 * @param deduplicationWindowSeconds how long they drop it after the first attempt that may have been executed
 * @param maxStalenessSeconds the staleness bound: the maximum age of the data of a bounded read when the read is sent
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

    /** Whether executing a request twice has a different effect from executing it once. */
    public enum Idempotency {
        /** A duplicate has no additional effect. */
        IDEMPOTENT,
        /** Nodes detect and drop a duplicate by its key, within the deduplication scope and window. */
        IDEMPOTENT_WITH_KEY,
        /** A duplicate is executed again. */
        NON_IDEMPOTENT
    }

    /** The nodes that deduplicate an idempotency key after one of them has executed the request. */
    public enum DeduplicationScope {
        /** All nodes. */
        ALL,
        /** All nodes of the same zone. */
        ZONE,
        /** The nodes of the same replica set. */
        REPLICA_SET
    }

    /** The consistency level of a request, in the usual terms of replicated databases. */
    public enum ConsistencyLevel {
        /** A write: only the primary executes it. */
        WRITE,
        /** A read of the newest data: only the primary serves it. */
        STRONG,
        /** A read that sees all earlier writes of its session (read your writes). */
        SESSION,
        /** A read of data of at most a maximum age. */
        BOUNDED_STALENESS,
        /** A read of data of any age. */
        EVENTUAL
    }

    /** Whether only the primary can execute requests of this class. */
    public boolean requiresPrimary() {
        return consistency == ConsistencyLevel.WRITE || consistency == ConsistencyLevel.STRONG;
    }
}
