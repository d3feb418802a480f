package clayhook.fleet.types;

import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
import clayhook.fleet.ReplicatedType;
import clayhook.fleet.types.NodeObservation.FailureStreak;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;

/** The replicated type of {@link NodeObservation}. */
final class NodeObservationType implements ReplicatedType<NodeObservation> {
    private static final int TYPE_NUMBER = 1;
    /** Retention in seconds; several times as long as any reader uses an observation. */
    private static final double RETENTION_SECONDS = 30;
    /** Bound of the entries: the nodes of the largest permitted endpoint list, at about 400 bytes each. */
    private static final int MAX_ENTRIES = 10_000;
    /** Bound of the sources in one value: a value has at most eleven; the rest is room for later releases. */
    private static final int MAX_SOURCES = 64;
    /** Number that encodes an absent source. Present sources are numbered from 1. */
    private static final int NO_SOURCE = 0;

    @Override
    public int typeNumber() {
        return TYPE_NUMBER;
    }

    @Override
    public String name() {
        return "evidence";
    }

    @Override
    public NodeObservation merge(NodeObservation a, NodeObservation b) {
        return a.merge(b);
    }

    @Override
    public double timestamp(NodeObservation value) {
        return value.newestAt();
    }

    @Override
    public double retentionSeconds() {
        return RETENTION_SECONDS;
    }

    @Override
    public int maxEntries() {
        return MAX_ENTRIES;
    }

    /**
     * Writes each distinct source once, and refers to it by number in the fields, as one response of a node sets most
     * fields with the same source.
     */
    @Override
    public void write(NodeObservation value, FieldWriter out) {
        List<ObservationSource> sources =
                new ArrayList<>(new LinkedHashSet<>(value.sources().toList()));
        out.writeDouble(value.incarnationStartedAt()).writeDouble(value.newestAt());
        writeSources(sources, out);
        writeTimedValue(value.appliedPosition(), sources, out);
        writeTimedValue(value.lag(), sources, out);
        writeTimedValue(value.latencyRatio(), sources, out);
        writeTimedValue(value.reportedLoad(), sources, out);
        out.writeLong(sourceNumber(value.primaryClaim(), sources));
        out.writeLong(sourceNumber(value.replicaClaim(), sources));
        out.writeLong(sourceNumber(value.lastSeen(), sources));
        out.beginList();
        for (FailureStreak streak : value.failureStreaks()) {
            out.beginList()
                    .writeLong(sourceNumber(streak.source(), sources))
                    .writeLong(streak.count())
                    .endList();
        }
        out.endList();
    }

    private static void writeSources(List<ObservationSource> sources, FieldWriter out) {
        out.beginList();
        for (ObservationSource source : sources) {
            out.beginList()
                    .writeDouble(source.observedAt())
                    .writeNullableString(source.router())
                    .endList();
        }
        out.endList();
    }

    private static void writeTimedValue(TimedValue observed, List<ObservationSource> sources, FieldWriter out) {
        if (observed == null) {
            out.writeLong(NO_SOURCE).writeDouble(0);
        } else {
            out.writeLong(sourceNumber(observed.source(), sources)).writeDouble(observed.value());
        }
    }

    private static int sourceNumber(ObservationSource source, List<ObservationSource> sources) {
        return source == null ? NO_SOURCE : 1 + sources.indexOf(source);
    }

    @Override
    public NodeObservation read(FieldReader in) {
        double incarnationStartedAt = in.readDouble();
        double newestAt = in.readDouble();
        List<ObservationSource> sources = in.readLists(MAX_SOURCES, NodeObservationType::readObservationSource);
        return new NodeObservation(
                incarnationStartedAt,
                newestAt,
                readTimedValue(in, sources),
                readTimedValue(in, sources),
                readTimedValue(in, sources),
                readTimedValue(in, sources),
                readSourceReference(in, sources),
                readSourceReference(in, sources),
                readSourceReference(in, sources),
                in.readLists(MAX_SOURCES, each -> readStreak(each, sources)));
    }

    private static ObservationSource readObservationSource(FieldReader in) {
        return new ObservationSource(in.readDouble(), in.readNonEmptyString());
    }

    private static TimedValue readTimedValue(FieldReader in, List<ObservationSource> sources) {
        ObservationSource source = readSourceReference(in, sources);
        double value = in.readDouble();
        return source == null ? null : new TimedValue(value, source);
    }

    private static ObservationSource readSourceReference(FieldReader in, List<ObservationSource> sources) {
        int number = in.readIntBelow(1 + sources.size());
        return number == NO_SOURCE ? null : sources.get(number - 1);
    }

    private static FailureStreak readStreak(FieldReader in, List<ObservationSource> sources) {
        ObservationSource source = readSourceReference(in, sources);
        FieldValidation.require(source != null, "failures without a source");
        return new FailureStreak(source, in.readIntBelow(1 + FailureStreak.MAX_COUNT));
    }
}
