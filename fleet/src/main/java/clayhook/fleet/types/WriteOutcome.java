package clayhook.fleet.types;

import clayhook.fleet.ReplicatedType;
import java.util.Comparator;

/**
 * The knowledge of routers about whether a non-idempotent write ran; the key is the write's idempotency key or id, see
 * {@link #key}. An observation that it ran and one that it did not are a conflict; both are kept, and the conflict is
 * not resolved here.
 *
 * @param firstSent the earliest known sending of the write
 * @param ran the earliest observation that the write ran; null for none
 * @param notRun the earliest observation that the write has not run and will not run; null for none. That one attempt
 *     was never sent is no such observation, as another router may have made another attempt
 * @param newestAt the time of the newest information, in seconds since 1970
 */
public record WriteOutcome(SentWrite firstSent, OutcomeObservation ran, OutcomeObservation notRun, double newestAt) {
    /** The known status of a write. The names are part of the router's log. */
    public enum OutcomeStatus {
        UNKNOWN,
        RAN,
        NOT_RUN,
        CONFLICT
    }

    /** Default retention in seconds: one day, within which operators investigate in-doubt writes. */
    private static final double DEFAULT_RETENTION_SECONDS = 86_400;

    private static final int MAX_LABEL_LENGTH = 128;
    /** Longest label in bytes of UTF-8, so that a value fits into one message. */
    private static final int MAX_LABEL_BYTES = 256;

    /** The replicated type of these values, with the default retention of one day. */
    public static final ReplicatedType<WriteOutcome> TYPE = typeWithRetention(DEFAULT_RETENTION_SECONDS);

    /**
     * A sending of a write. Ordered by time, then by replica set, request class and label, with a missing label last; a
     * merge keeps the least one.
     *
     * @param sentAt the time of the sending in seconds since 1970
     * @param replicaSet the replica set that the write was sent to
     * @param requestClass the name of the write's request class
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

        /** Creates a sending; texts may have any length and are truncated. */
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
     * A router's observation of the outcome. Ordered by time, then by router and node; a merge keeps the least one.
     *
     * @param source the router that knows the outcome, and the time at which it learned it
     * @param nodeId the node that reported the outcome to the router
     */
    public record OutcomeObservation(ObservationSource source, String nodeId)
            implements Comparable<OutcomeObservation> {
        private static final Comparator<OutcomeObservation> ORDER =
                Comparator.comparing(OutcomeObservation::source).thenComparing(OutcomeObservation::nodeId);

        /** @throws IllegalArgumentException for a node id out of range */
        public OutcomeObservation {
            FieldValidation.requireText(nodeId, ReplicatedKeys.MAX_NAME_BYTES, "node");
        }

        /** Creates an observation; names may have any length and are truncated. */
        public static OutcomeObservation of(double observedAt, String router, String nodeId) {
            return new OutcomeObservation(
                    ObservationSource.of(observedAt, router), ReplicatedKeys.truncateName(nodeId));
        }

        @Override
        public int compareTo(OutcomeObservation other) {
            return ORDER.compare(this, other);
        }
    }

    /** @throws IllegalArgumentException for a time out of range */
    public WriteOutcome {
        double newestObservedAt = Math.max(timeOf(ran), timeOf(notRun));
        newestAt = Math.max(FieldValidation.requireTime(newestAt), Math.max(firstSent.sentAt, newestObservedAt));
    }

    private static double timeOf(OutcomeObservation observation) {
        return observation == null ? 0 : observation.source.observedAt();
    }

    /** Returns the replicated type with the retention in seconds that the operator has configured. */
    public static ReplicatedType<WriteOutcome> typeWithRetention(double seconds) {
        return new WriteOutcomeType(seconds);
    }

    /** Returns the key of a write; the idempotency key or id may have any length. */
    public static String key(String writeKey) {
        return ReplicatedKeys.truncateKeyText(writeKey);
    }

    /** Returns the outcome of a write that was sent, without any further information. */
    public static WriteOutcome unknown(SentWrite sent) {
        return new WriteOutcome(sent, null, null, sent.sentAt);
    }

    /** Returns the outcome of a write that ran. */
    public static WriteOutcome ran(SentWrite sent, OutcomeObservation observation) {
        return new WriteOutcome(sent, observation, null, sent.sentAt);
    }

    /** Returns the outcome of a write that has not run and will not run. */
    public static WriteOutcome notRun(SentWrite sent, OutcomeObservation observation) {
        return new WriteOutcome(sent, null, observation, sent.sentAt);
    }

    /** Returns the status that follows from the known observations. */
    public OutcomeStatus status() {
        if (ran != null) {
            return notRun != null ? OutcomeStatus.CONFLICT : OutcomeStatus.RAN;
        }
        return notRun != null ? OutcomeStatus.NOT_RUN : OutcomeStatus.UNKNOWN;
    }
}
