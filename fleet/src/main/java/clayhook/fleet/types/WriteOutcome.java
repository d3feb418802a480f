package clayhook.fleet.types;

import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
import clayhook.fleet.ReplicatedType;
import java.util.Comparator;

/**
 * What routers know of whether a keyed or mutating command has run; the key is the command's mark or id. Knowledge
 * beats doubt; one witness that it ran against one that it did not is a conflict, which is kept with both and never
 * decided here.
 *
 * @param first its first dispatch as known, with what it was
 * @param ran the earliest witness that it ran; null for none
 * @param notRun the earliest witness that it has not run and will not: of the command, not of one attempt that never
 *     left, as another router may have made another attempt; null for none
 * @param newest time of any word on it, seconds since 1970
 */
public record WriteOutcome(SentWrite firstSent, OutcomeWitness ran, OutcomeWitness notRun, double newestAt) {
    /** What is known. */
    public enum OutcomeStatus {
        UNKNOWN,
        RAN,
        NOT_RUN,
        CONFLICT
    }

    /** Seconds: a day, in which an operator asks about charges in doubt. */
    private static final double DEFAULT_RETENTION_SECONDS = 86_400;
    /** Some 400 bytes each; at the bound the oldest go. */
    private static final int MAX_ENTRIES = 50_000;
    /** Of a label, in characters, and in bytes, so that a value fits a part of a packet. */
    private static final int MAX_LABEL_LENGTH = 128, MAX_LABEL_BYTES = 256;

    /**
     * A command as it was first sent. Of two words on one command the smaller counts: the earlier, then by group, name
     * and label, any label before none.
     *
     * @param at seconds since 1970
     * @param commandGroup name of the command group
     * @param label a short text for people; null for none
     */
    public record SentWrite(double sentAt, int replicaSet, String requestClass, String label)
            implements Comparable<SentWrite> {
        private static final Comparator<SentWrite> ORDER = Comparator.comparingDouble(SentWrite::sentAt)
                .thenComparingInt(SentWrite::replicaSet)
                .thenComparing(SentWrite::requestClass)
                .thenComparing(SentWrite::label, Comparator.nullsLast(Comparator.naturalOrder()));

        public SentWrite {
            sentAt = FieldValidation.requireTime(sentAt);
            FieldValidation.require(replicaSet >= 0 && replicaSet < FieldValidation.MAX_REPLICA_SETS, "group");
            FieldValidation.requireText(requestClass, ReplicatedKeys.MAX_NAME_BYTES, "command group");
            FieldValidation.require(
                    label == null
                            || label.length() <= MAX_LABEL_LENGTH
                                    && FieldValidation.utf8Length(label) <= MAX_LABEL_BYTES,
                    "label");
        }

        /** Of texts of any length, which are cut. */
        public static SentWrite of(double at, int nodeGroup, String commandGroup, String label) {
            return new SentWrite(
                    at,
                    nodeGroup,
                    ReplicatedKeys.truncateName(commandGroup),
                    label == null ? null : ReplicatedKeys.truncate(label, MAX_LABEL_LENGTH));
        }

        @Override
        public int compareTo(SentWrite other) {
            return ORDER.compare(this, other);
        }
    }

    /**
     * Who knows: a router, from which node, and when it learned it. The smaller is the earlier, then by router and
     * node.
     */
    public record OutcomeWitness(ObservationSource source, String nodeId) implements Comparable<OutcomeWitness> {
        private static final Comparator<OutcomeWitness> ORDER =
                Comparator.comparing(OutcomeWitness::source).thenComparing(OutcomeWitness::nodeId);

        public OutcomeWitness {
            FieldValidation.requireText(nodeId, ReplicatedKeys.MAX_NAME_BYTES, "node");
        }

        /** Of names of any length, which are cut. */
        public static OutcomeWitness of(double at, String router, String node) {
            return new OutcomeWitness(ObservationSource.of(at, router), ReplicatedKeys.truncateName(node));
        }

        @Override
        public int compareTo(OutcomeWitness other) {
            return ORDER.compare(this, other);
        }
    }

    private static final class WriteOutcomeType implements ReplicatedType<WriteOutcome> {
        private final double retentionSeconds;

        private WriteOutcomeType(double keep) {
            this.retentionSeconds = keep;
        }

        @Override
        public int typeNumber() {
            return 4;
        }

        @Override
        public String name() {
            return "fates";
        }

        @Override
        public WriteOutcome merge(WriteOutcome a, WriteOutcome b) {
            return new WriteOutcome(
                    earliest(a.firstSent, b.firstSent),
                    earliest(a.ran, b.ran),
                    earliest(a.notRun, b.notRun),
                    Math.max(a.newestAt, b.newestAt));
        }

        @Override
        public double timestamp(WriteOutcome value) {
            return value.newestAt;
        }

        @Override
        public double retentionSeconds() {
            return retentionSeconds;
        }

        @Override
        public int maxEntries() {
            return MAX_ENTRIES;
        }

        /** Knowledge holds whatever the clock of who has it; times only order witnesses. */
        @Override
        public boolean clockDependent() {
            return false;
        }

        @Override
        public void write(WriteOutcome value, FieldWriter out) {
            SentWrite first = value.firstSent;
            out.writeDouble(first.sentAt)
                    .writeLong(first.replicaSet)
                    .writeNullableString(first.requestClass)
                    .writeNullableString(first.label)
                    .writeDouble(value.newestAt);
            write(value.ran, out);
            write(value.notRun, out);
        }

        private static void write(OutcomeWitness witness, FieldWriter out) {
            out.writeBoolean(witness != null);
            if (witness != null) {
                out.writeDouble(witness.source.observedAt())
                        .writeNullableString(witness.source.router())
                        .writeNullableString(witness.nodeId);
            }
        }

        @Override
        public WriteOutcome read(FieldReader in) {
            var first = new SentWrite(
                    in.readDouble(),
                    in.readIntBelow(FieldValidation.MAX_REPLICA_SETS),
                    in.readNullableString(),
                    in.readNullableString());
            double newest = in.readDouble();
            return new WriteOutcome(first, readWitness(in), readWitness(in), newest);
        }

        private static OutcomeWitness readWitness(FieldReader in) {
            return in.readBoolean()
                    ? new OutcomeWitness(
                            new ObservationSource(in.readDouble(), in.readNonEmptyString()), in.readNullableString())
                    : null;
        }
    }

    public static final ReplicatedType<WriteOutcome> TYPE = typeWithRetention(DEFAULT_RETENTION_SECONDS);

    public WriteOutcome {
        newestAt = Math.max(
                FieldValidation.requireTime(newestAt),
                Math.max(firstSent.sentAt, Math.max(timeOf(ran), timeOf(notRun))));
    }

    private static double timeOf(OutcomeWitness witness) {
        return witness == null ? 0 : witness.source.observedAt();
    }

    /** Null stands for none, so that doubt is beaten by anything. */
    private static <T extends Comparable<T>> T earliest(T a, T b) {
        return a == null || b != null && b.compareTo(a) < 0 ? b : a;
    }

    /** The same kind where an operator has it kept for so many seconds. */
    public static ReplicatedType<WriteOutcome> typeWithRetention(double seconds) {
        return new WriteOutcomeType(seconds);
    }

    /** The key of a command of any mark. */
    public static String key(String mark) {
        return ReplicatedKeys.truncateKeyText(mark);
    }

    /** It was sent, and nobody knows more. */
    public static WriteOutcome unknown(SentWrite first) {
        return new WriteOutcome(first, null, null, first.sentAt);
    }

    /** It ran, as that one knows. */
    public static WriteOutcome ran(SentWrite first, OutcomeWitness witness) {
        return new WriteOutcome(first, witness, null, first.sentAt);
    }

    /** It has not run and will not, as that one knows. */
    public static WriteOutcome notRun(SentWrite first, OutcomeWitness witness) {
        return new WriteOutcome(first, null, witness, first.sentAt);
    }

    public OutcomeStatus status() {
        if (ran != null) {
            return notRun != null ? OutcomeStatus.CONFLICT : OutcomeStatus.RAN;
        }
        return notRun != null ? OutcomeStatus.NOT_RUN : OutcomeStatus.UNKNOWN;
    }
}
