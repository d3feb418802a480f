package clayhook;

/**
 * What the decisions need to know of one command group. Times are seconds.
 *
 * @param lateShare the part of the benefit that an answer after the response target still earns
 * @param repeatScope which nodes drop a repeat of a keyed command: those like the node that may have run it
 * @param repeatWindow how long a repeat of a keyed command is dropped, from the first send that may have run
 * @param bound the greatest age of the data of a bounded read when it is sent
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

    public enum Idempotency {
        IDEMPOTENT,
        IDEMPOTENT_WITH_KEY,
        NON_IDEMPOTENT
    }

    public enum DeduplicationScope {
        ALL,
        ZONE,
        REPLICA_SET
    }

    public enum ConsistencyLevel {
        WRITE,
        STRONG,
        SESSION,
        BOUNDED_STALENESS,
        EVENTUAL
    }

    /** Only the primary may take such a command. */
    public boolean requiresPrimary() {
        return consistency == ConsistencyLevel.WRITE || consistency == ConsistencyLevel.STRONG;
    }
}
