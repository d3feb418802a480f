package clayhook.fleet.kinds;

import clayhook.fleet.ReplicatedType;
import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
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
public record Fate(Sent first, Witness ran, Witness notRun, double newest) {
    /** What is known. */
    public enum Knowledge {
        UNKNOWN,
        RAN,
        NOT_RUN,
        CONFLICT
    }

    /** Seconds: a day, in which an operator asks about charges in doubt. */
    private static final double DAY = 86_400;
    /** Some 400 bytes each; at the bound the oldest go. */
    private static final int MOST = 50_000;
    /** Of a label, in characters, and in bytes, so that a value fits a part of a packet. */
    private static final int LONGEST_LABEL = 128, LONGEST_LABEL_BYTES = 256;

    /**
     * A command as it was first sent. Of two words on one command the smaller counts: the earlier, then by group, name
     * and label, any label before none.
     *
     * @param at seconds since 1970
     * @param commandGroup name of the command group
     * @param label a short text for people; null for none
     */
    public record Sent(double at, int nodeGroup, String commandGroup, String label) implements Comparable<Sent> {
        private static final Comparator<Sent> ORDER = Comparator.comparingDouble(Sent::at)
                .thenComparingInt(Sent::nodeGroup)
                .thenComparing(Sent::commandGroup)
                .thenComparing(Sent::label, Comparator.nullsLast(Comparator.naturalOrder()));

        public Sent {
            at = Check.time(at);
            Check.that(nodeGroup >= 0 && nodeGroup < Check.MOST_GROUPS, "group");
            Check.text(commandGroup, Keys.LONGEST_NAME, "command group");
            Check.that(
                    label == null || label.length() <= LONGEST_LABEL && Check.bytes(label) <= LONGEST_LABEL_BYTES,
                    "label");
        }

        /** Of texts of any length, which are cut. */
        public static Sent of(double at, int nodeGroup, String commandGroup, String label) {
            return new Sent(
                    at, nodeGroup, Keys.name(commandGroup), label == null ? null : Keys.cut(label, LONGEST_LABEL));
        }

        @Override
        public int compareTo(Sent other) {
            return ORDER.compare(this, other);
        }
    }

    /**
     * Who knows: a router, from which node, and when it learned it. The smaller is the earlier, then by router and
     * node.
     */
    public record Witness(Sight sight, String node) implements Comparable<Witness> {
        private static final Comparator<Witness> ORDER =
                Comparator.comparing(Witness::sight).thenComparing(Witness::node);

        public Witness {
            Check.text(node, Keys.LONGEST_NAME, "node");
        }

        /** Of names of any length, which are cut. */
        public static Witness of(double at, String router, String node) {
            return new Witness(Sight.of(at, router), Keys.name(node));
        }

        @Override
        public int compareTo(Witness other) {
            return ORDER.compare(this, other);
        }
    }

    private static final class FateKind implements ReplicatedType<Fate> {
        private final double keep;

        private FateKind(double keep) {
            this.keep = keep;
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
        public Fate merge(Fate a, Fate b) {
            return new Fate(
                    earlier(a.first, b.first),
                    earlier(a.ran, b.ran),
                    earlier(a.notRun, b.notRun),
                    Math.max(a.newest, b.newest));
        }

        @Override
        public double timestamp(Fate value) {
            return value.newest;
        }

        @Override
        public double retentionSeconds() {
            return keep;
        }

        @Override
        public int maxEntries() {
            return MOST;
        }

        /** Knowledge holds whatever the clock of who has it; times only order witnesses. */
        @Override
        public boolean clockDependent() {
            return false;
        }

        @Override
        public void write(Fate value, FieldWriter out) {
            Sent first = value.first;
            out.writeDouble(first.at)
                    .writeLong(first.nodeGroup)
                    .writeNullableString(first.commandGroup)
                    .writeNullableString(first.label)
                    .writeDouble(value.newest);
            write(value.ran, out);
            write(value.notRun, out);
        }

        private static void write(Witness witness, FieldWriter out) {
            out.writeBoolean(witness != null);
            if (witness != null) {
                out.writeDouble(witness.sight.at()).writeNullableString(witness.sight.by()).writeNullableString(witness.node);
            }
        }

        @Override
        public Fate read(FieldReader in) {
            var first = new Sent(in.readDouble(), in.readIntBelow(Check.MOST_GROUPS), in.readNullableString(), in.readNullableString());
            double newest = in.readDouble();
            return new Fate(first, witness(in), witness(in), newest);
        }

        private static Witness witness(FieldReader in) {
            return in.readBoolean() ? new Witness(new Sight(in.readDouble(), in.readNonEmptyString()), in.readNullableString()) : null;
        }
    }

    public static final ReplicatedType<Fate> KIND = kept(DAY);

    public Fate {
        newest = Math.max(Check.time(newest), Math.max(first.at, Math.max(at(ran), at(notRun))));
    }

    private static double at(Witness witness) {
        return witness == null ? 0 : witness.sight.at();
    }

    /** Null stands for none, so that doubt is beaten by anything. */
    private static <T extends Comparable<T>> T earlier(T a, T b) {
        return a == null || b != null && b.compareTo(a) < 0 ? b : a;
    }

    /** The same kind where an operator has it kept for so many seconds. */
    public static ReplicatedType<Fate> kept(double seconds) {
        return new FateKind(seconds);
    }

    /** The key of a command of any mark. */
    public static String key(String mark) {
        return Keys.whole(mark);
    }

    /** It was sent, and nobody knows more. */
    public static Fate unknown(Sent first) {
        return new Fate(first, null, null, first.at);
    }

    /** It ran, as that one knows. */
    public static Fate ran(Sent first, Witness witness) {
        return new Fate(first, witness, null, first.at);
    }

    /** It has not run and will not, as that one knows. */
    public static Fate notRun(Sent first, Witness witness) {
        return new Fate(first, null, witness, first.at);
    }

    public Knowledge knowledge() {
        if (ran != null) {
            return notRun != null ? Knowledge.CONFLICT : Knowledge.RAN;
        }
        return notRun != null ? Knowledge.NOT_RUN : Knowledge.UNKNOWN;
    }
}
