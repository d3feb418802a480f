package clayhook.fleet.types;

import clayhook.fleet.ReplicatedType;
import java.util.Comparator;

/**
 * What routers know about whether a non-idempotent write has run; the key is the write's idempotency key or id, see
 * {@link #key}. A witness that it ran and one that it did not are a conflict, which keeps both and is not resolved
 * here.
 *
 * @param firstSent the earliest known sending of the write
 * @param ran the earliest witness that the write ran; null for none
 * @param notRun the earliest witness that the write has not run and will not run; null for none. It is no witness that
 *     one attempt was never sent, as another router may have made another attempt
 * @param newestAt the time of the newest information, in seconds since 1970
 */
public record WriteOutcome(SentWrite firstSent, OutcomeWitness ran, OutcomeWitness notRun, double newestAt) {
    /** What is known about a write. The names are part of the router's log. */
    public enum OutcomeStatus {
        UNKNOWN,
        RAN,
        NOT_RUN,
        CONFLICT
    }

    /** A day, within which operators look into writes in doubt. */
    private static final double DEFAULT_RETENTION_SECONDS = 86_400;

    private static final int MAX_LABEL_LENGTH = 128;
    /** Keeps a value small enough for one message. */
    private static final int MAX_LABEL_BYTES = 256;

    /** The replicated type of these values, with the default retention of a day. */
    public static final ReplicatedType<WriteOutcome> TYPE = typeWithRetention(DEFAULT_RETENTION_SECONDS);

    /**
     * A sending of a write. Ordered by time, then by replica set, request class and label, with a missing label last;
     * the least one is kept.
     *
     * @param sentAt in seconds since 1970
     * @param replicaSet that the write was sent to
     * @param requestClass the name of its request class
     * @param label a short text for operators; null for none
     */
    public record SentWrite(double sentAt, int replicaSet, String requestClass, String label)
            implements Comparable<SentWrite> {
        private static final Comparator<SentWrite> ORDER = Comparator.comparingDouble(SentWrite::sentAt)
                .thenComparingInt(SentWrite::replicaSet)
                .thenComparing(SentWrite::requestClass)
                .thenComparing(SentWrite::label, Comparator.nullsLast(Comparator.naturalOrder()));

        /** @throws IllegalArgumentException for fields out of range */
        public SentWrite {
            sentAt = FieldValidation.requireTime(sentAt);
            FieldValidation.requireReplicaSet(replicaSet);
            FieldValidation.requireText(requestClass, ReplicatedKeys.MAX_NAME_BYTES, "request class");
            FieldValidation.require(label == null || isValidLabel(label), "label");
        }

        private static boolean isValidLabel(String label) {
            return label.length() <= MAX_LABEL_LENGTH && FieldValidation.utf8Length(label) <= MAX_LABEL_BYTES;
        }

        /** Creates a sending with texts of any length, which are truncated. */
        public static SentWrite of(double sentAt, int replicaSet, String requestClass, String label) {
            String truncatedLabel = label == null ? null : ReplicatedKeys.truncate(label, MAX_LABEL_LENGTH);
            return new SentWrite(sentAt, replicaSet, ReplicatedKeys.truncateName(requestClass), truncatedLabel);
        }

        @Override
        public int compareTo(SentWrite other) {
            return ORDER.compare(this, other);
        }
    }

    /**
     * A router that knows the outcome, and the node it learned it from. Ordered by time, then by router and node; the
     * least one is kept.
     */
    public record OutcomeWitness(ObservationSource source, String nodeId) implements Comparable<OutcomeWitness> {
        private static final Comparator<OutcomeWitness> ORDER =
                Comparator.comparing(OutcomeWitness::source).thenComparing(OutcomeWitness::nodeId);

        /** @throws IllegalArgumentException for a node id out of range */
        public OutcomeWitness {
            FieldValidation.requireText(nodeId, ReplicatedKeys.MAX_NAME_BYTES, "node");
        }

        /** Creates a witness with names of any length, which are truncated. */
        public static OutcomeWitness of(double observedAt, String router, String nodeId) {
            return new OutcomeWitness(ObservationSource.of(observedAt, router), ReplicatedKeys.truncateName(nodeId));
        }

        @Override
        public int compareTo(OutcomeWitness other) {
            return ORDER.compare(this, other);
        }
    }

    /** @throws IllegalArgumentException for a time out of range */
    public WriteOutcome {
        double newestWitness = Math.max(timeOf(ran), timeOf(notRun));
        newestAt = Math.max(FieldValidation.requireTime(newestAt), Math.max(firstSent.sentAt, newestWitness));
    }

    private static double timeOf(OutcomeWitness witness) {
        return witness == null ? 0 : witness.source.observedAt();
    }

    /** Returns the same replicated type with a retention in seconds as configured by the operator. */
    public static ReplicatedType<WriteOutcome> typeWithRetention(double seconds) {
        return new WriteOutcomeType(seconds);
    }

    /** Returns the key of a write with an idempotency key or id of any length. */
    public static String key(String writeKey) {
        return ReplicatedKeys.truncateKeyText(writeKey);
    }

    /** Returns the outcome of a write that was sent, and of which nobody knows more. */
    public static WriteOutcome unknown(SentWrite sent) {
        return new WriteOutcome(sent, null, null, sent.sentAt);
    }

    /** Returns the outcome of a write that ran. */
    public static WriteOutcome ran(SentWrite sent, OutcomeWitness witness) {
        return new WriteOutcome(sent, witness, null, sent.sentAt);
    }

    /** Returns the outcome of a write that has not run and will not run. */
    public static WriteOutcome notRun(SentWrite sent, OutcomeWitness witness) {
        return new WriteOutcome(sent, null, witness, sent.sentAt);
    }

    /** Returns what is known about the write. */
    public OutcomeStatus status() {
        if (ran != null) {
            return notRun != null ? OutcomeStatus.CONFLICT : OutcomeStatus.RAN;
        }
        return notRun != null ? OutcomeStatus.NOT_RUN : OutcomeStatus.UNKNOWN;
    }
}
