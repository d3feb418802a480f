package clayhook.fleet.types;

import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
import clayhook.fleet.ReplicatedType;

/** The replicated type of {@link QuotaUsage}: merges to the largest total and the latest reported rate. */
final class QuotaUsageType implements ReplicatedType<QuotaUsage> {
    private static final int TYPE_NUMBER = 5;
    /**
     * Retention in seconds; at least two windows of any quota, after which the usage of a departed router no longer
     * counts.
     */
    private static final double RETENTION_SECONDS = 60;
    /** Bound of the entries: 1000 routers, each with the two fixed quotas and about 30 nodes in slow start. */
    private static final int MAX_ENTRIES = 32_768;

    @Override
    public int typeNumber() {
        return TYPE_NUMBER;
    }

    @Override
    public String name() {
        return "use";
    }

    @Override
    public QuotaUsage merge(QuotaUsage a, QuotaUsage b) {
        QuotaUsage newest = isReportedBefore(a, b) ? b : a;
        double totalUnits = Math.max(a.totalUnits(), b.totalUnits());
        return new QuotaUsage(totalUnits, newest.unitsPerSecond(), newest.reportedAt());
    }

    /**
     * Returns whether the report {@code a} precedes {@code b}. Of two reports of the same time, the one with the lower
     * rate precedes.
     */
    private static boolean isReportedBefore(QuotaUsage a, QuotaUsage b) {
        int order = Double.compare(a.reportedAt(), b.reportedAt());
        return (order != 0 ? order : Double.compare(a.unitsPerSecond(), b.unitsPerSecond())) < 0;
    }

    @Override
    public double timestamp(QuotaUsage value) {
        return value.reportedAt();
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
    public void write(QuotaUsage value, FieldWriter out) {
        out.writeDouble(value.totalUnits()).writeDouble(value.unitsPerSecond()).writeDouble(value.reportedAt());
    }

    @Override
    public QuotaUsage read(FieldReader in) {
        return new QuotaUsage(in.readDouble(), in.readDouble(), in.readDouble());
    }
}
