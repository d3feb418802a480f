package clayhook.fleet.types;

import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
import clayhook.fleet.ReplicatedType;
import clayhook.fleet.types.WriteOutcome.OutcomeWitness;
import clayhook.fleet.types.WriteOutcome.SentWrite;

/** The replicated type of {@link WriteOutcome}: the earliest sending, and the earliest witness of either outcome. */
final class WriteOutcomeType implements ReplicatedType<WriteOutcome> {
    private static final int TYPE_NUMBER = 4;
    /** Some 400 bytes each. */
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

    /** Returns the lesser of two values, where null is greater than any: any witness wins over none. */
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

    /** False, as an outcome holds whatever the clock of its witness; times only order witnesses. */
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
        writeWitness(value.ran(), out);
        writeWitness(value.notRun(), out);
    }

    private static void writeWitness(OutcomeWitness witness, FieldWriter out) {
        out.writeBoolean(witness != null);
        if (witness != null) {
            out.writeDouble(witness.source().observedAt())
                    .writeNullableString(witness.source().router())
                    .writeNullableString(witness.nodeId());
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
        return new WriteOutcome(sent, readWitness(in), readWitness(in), newestAt);
    }

    private static OutcomeWitness readWitness(FieldReader in) {
        if (!in.readBoolean()) {
            return null;
        }
        var source = new ObservationSource(in.readDouble(), in.readNonEmptyString());
        return new OutcomeWitness(source, in.readNullableString());
    }
}
