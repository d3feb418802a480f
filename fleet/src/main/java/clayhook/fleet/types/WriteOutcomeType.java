package clayhook.fleet.types;

import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
import clayhook.fleet.ReplicatedType;
import clayhook.fleet.types.WriteOutcome.OutcomeObservation;
import clayhook.fleet.types.WriteOutcome.SentWrite;

/**
 * The replicated type of {@link WriteOutcome}: merges to the earliest sending, and to the earliest observation of
 * either outcome.
 */
final class WriteOutcomeType implements ReplicatedType<WriteOutcome> {
    private static final int TYPE_NUMBER = 4;
    /** Bound of the entries, at about 400 bytes each. */
    private static final int MAX_ENTRIES = 50_000;

    private final double retentionSeconds;

    WriteOutcomeType(double retentionSeconds) {
        this.retentionSeconds = retentionSeconds;
    }

    @Override
    public int typeNumber() {
        return TYPE_NUMBER;
    }

    @Override
    public String name() {
        return "fates";
    }

    @Override
    public WriteOutcome merge(WriteOutcome a, WriteOutcome b) {
        return new WriteOutcome(
                earliest(a.firstSent(), b.firstSent()),
                earliest(a.ran(), b.ran()),
                earliest(a.notRun(), b.notRun()),
                Math.max(a.newestAt(), b.newestAt()));
    }

    /**
     * Returns the lesser of two values; null is greater than any other value, so that any observation wins over none.
     */
    private static <T extends Comparable<T>> T earliest(T a, T b) {
        return a == null || (b != null && b.compareTo(a) < 0) ? b : a;
    }

    @Override
    public double timestamp(WriteOutcome value) {
        return value.newestAt();
    }

    @Override
    public double retentionSeconds() {
        return retentionSeconds;
    }

    @Override
    public int maxEntries() {
        return MAX_ENTRIES;
    }

    /** Returns false, as an outcome is valid whatever the clock of its observer; times only order observations. */
    @Override
    public boolean clockDependent() {
        return false;
    }

    @Override
    public void write(WriteOutcome value, FieldWriter out) {
        SentWrite sent = value.firstSent();
        out.writeDouble(sent.sentAt())
                .writeLong(sent.replicaSet())
                .writeNullableString(sent.requestClass())
                .writeNullableString(sent.label())
                .writeDouble(value.newestAt());
        writeObservation(value.ran(), out);
        writeObservation(value.notRun(), out);
    }

    private static void writeObservation(OutcomeObservation observation, FieldWriter out) {
        out.writeBoolean(observation != null);
        if (observation != null) {
            out.writeDouble(observation.source().observedAt())
                    .writeNullableString(observation.source().router())
                    .writeNullableString(observation.nodeId());
        }
    }

    @Override
    public WriteOutcome read(FieldReader in) {
        var sent = new SentWrite(
                in.readDouble(),
                in.readIntBelow(FieldValidation.MAX_REPLICA_SETS),
                in.readNullableString(),
                in.readNullableString());
        double newestAt = in.readDouble();
        return new WriteOutcome(sent, readObservation(in), readObservation(in), newestAt);
    }

    private static OutcomeObservation readObservation(FieldReader in) {
        if (!in.readBoolean()) {
            return null;
        }
        var source = new ObservationSource(in.readDouble(), in.readNonEmptyString());
        return new OutcomeObservation(source, in.readNullableString());
    }
}
