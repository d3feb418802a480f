package clayhook.rollout;

import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
import clayhook.fleet.ReplicatedType;
import java.util.Arrays;

/** Replicated type of {@link MemberCounters} with a fixed number of counts. */
final class MemberCountersType implements ReplicatedType<MemberCounters> {
    /** Two days. In a stage that takes longer, the counters of routers that departed before that no longer count. */
    private static final double RETENTION_SECONDS = 2 * 86_400;
    /** Enough for 1,024 routers with eight request classes in two stages, twice over. */
    private static final int MAX_ENTRIES = 32_768;

    private final int typeNumber;
    private final String name;
    private final int size;

    /**
     * Defines a type of counters.
     *
     * @param typeNumber number of the type on the wire
     * @param name name of the type for logs
     * @param size number of counts in each value
     */
    MemberCountersType(int typeNumber, String name, int size) {
        this.typeNumber = typeNumber;
        this.name = name;
        this.size = size;
    }

    @Override
    public int typeNumber() {
        return typeNumber;
    }

    @Override
    public String name() {
        return name;
    }

    @Override
    public MemberCounters merge(MemberCounters a, MemberCounters b) {
        int order = Long.compare(a.revision(), b.revision());
        boolean firstIsNewer = order > 0 || (order == 0 && Arrays.compare(a.counts(), b.counts()) >= 0);
        MemberCounters newer = firstIsNewer ? a : b;
        return new MemberCounters(newer.revision(), Math.max(a.recordedAt(), b.recordedAt()), newer.counts());
    }

    @Override
    public double timestamp(MemberCounters counters) {
        return counters.recordedAt();
    }

    @Override
    public double retentionSeconds() {
        return RETENTION_SECONDS;
    }

    @Override
    public int maxEntries() {
        return MAX_ENTRIES;
    }

    @Override
    public void write(MemberCounters counters, FieldWriter out) {
        out.writeLong(counters.revision()).writeDouble(counters.recordedAt()).beginList();
        for (long count : counters.counts()) {
            out.writeLong(count);
        }
        out.endList();
    }

    @Override
    public MemberCounters read(FieldReader in) {
        var counters = new MemberCounters(in.readLong(), in.readDouble(), in.readLongs(size));
        if (counters.counts().length != size) {
            throw new IllegalArgumentException(counters.counts().length + " counts, fewer than expected");
        }
        return counters;
    }
}
