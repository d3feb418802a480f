package clayhook.rollout;

import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * A bound on what the candidate may do to a command group. It halts only where the figures prove that the candidate is
 * worse than the old version at the same time; both bounds say how much of that is bearable.
 *
 * @param group the command group, or {@link #ALL} for all taken together
 * @param most absolute: share of commands, or seconds at the 99th percentile for {@link Measure#SLOW}; infinite for
 *     none
 * @param worse against the old version: share of commands more, or for {@link Measure#SLOW} the part by which the 99th
 *     percentile is longer, 0.2 for a fifth; infinite for none
 */
public record Guard(String group, Measure measure, double most, double worse) {
    /** All command groups together. */
    public static final String ALL = "*";
    /** Bytes of a command group's name in UTF-8; it stands in keys of shared values. */
    static final int LONGEST_GROUP = 64;

    void check(String key, List<Fault> faults) {
        if (group.isEmpty() || group.getBytes(StandardCharsets.UTF_8).length > LONGEST_GROUP) {
            faults.add(new Fault(key + ".group", "must have 1 to " + LONGEST_GROUP + " bytes"));
        }
        double end = measure == Measure.SLOW ? Double.POSITIVE_INFINITY : 1;
        if (!(most > 0) || most != Double.POSITIVE_INFINITY && most > end) {
            faults.add(new Fault(key + ".most", "must be above 0" + (measure == Measure.SLOW ? "" : " and at most 1")));
        }
        if (!(worse >= 0) || worse != Double.POSITIVE_INFINITY && worse > end) {
            faults.add(
                    new Fault(key + ".worse", "must not be below 0" + (measure == Measure.SLOW ? "" : " nor above 1")));
        }
        if (most == Double.POSITIVE_INFINITY && worse == Double.POSITIVE_INFINITY) {
            faults.add(new Fault(key, "needs most or worse"));
        }
    }

    void write(FieldWriter out) {
        out.beginList()
                .writeNullableString(group)
                .writeLong(measure.ordinal())
                .writeDouble(most)
                .writeDouble(worse)
                .endList();
    }

    static Guard read(FieldReader in) {
        return new Guard(in.readNonEmptyString(), Measure.values()[in.readIntBelow(Measure.values().length)], in.readDouble(), in.readDouble());
    }
}
