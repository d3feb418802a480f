package clayhook.fleet.types;

import clayhook.fleet.FieldReader;
import clayhook.fleet.FieldWriter;
import clayhook.fleet.Member;
import clayhook.fleet.ReplicatedType;
import java.util.List;

/**
 * How much one life of a router has used of a limit that all routers share; the key is the limit, the router and its
 * boot, so that only that router writes it and a restart never counts twice.
 *
 * @param total units since its boot; only grows
 * @param rate units a second over the limit's window before {@code at}
 * @param at when the router told so, seconds since 1970 on its clock
 */
public record QuotaUsage(double totalUnits, double unitsPerSecond, double reportedAt) {
    /** Probes that routers send. */
    public static final String HEALTH_CHECKS = "probes";
    /** Repeats and second copies, out of the store of extras. */
    public static final String RETRIES = "repeats";
    /** Bytes of the name of a limit. */
    static final int MAX_QUOTA_NAME_BYTES = 100;
    /** Units beyond any limit. */
    private static final double MAX_UNITS = 1e15;

    public static final ReplicatedType<QuotaUsage> TYPE = new ReplicatedType<>() {
        @Override
        public int typeNumber() {
            return 5;
        }

        @Override
        public String name() {
            return "use";
        }

        @Override
        public QuotaUsage merge(QuotaUsage a, QuotaUsage b) {
            int later = a.reportedAt != b.reportedAt
                    ? Double.compare(a.reportedAt, b.reportedAt)
                    : Double.compare(a.unitsPerSecond, b.unitsPerSecond);
            QuotaUsage rate = later >= 0 ? a : b;
            return new QuotaUsage(Math.max(a.totalUnits, b.totalUnits), rate.unitsPerSecond, rate.reportedAt);
        }

        @Override
        public double timestamp(QuotaUsage value) {
            return value.reportedAt;
        }

        /**
         * Seconds: more than two windows of any limit, after which what a router that vanished has used counts no more.
         */
        @Override
        public double retentionSeconds() {
            return 60;
        }

        /**
         * A thousand routers with the two standing limits and some thirty cold nodes; at the bound the longest untold
         * go.
         */
        @Override
        public int maxEntries() {
            return 32_768;
        }

        @Override
        public void write(QuotaUsage value, FieldWriter out) {
            out.writeDouble(value.totalUnits).writeDouble(value.unitsPerSecond).writeDouble(value.reportedAt);
        }

        @Override
        public QuotaUsage read(FieldReader in) {
            return new QuotaUsage(in.readDouble(), in.readDouble(), in.readDouble());
        }
    };

    public QuotaUsage {
        totalUnits = FieldValidation.requireWithin(totalUnits, MAX_UNITS, "use");
        unitsPerSecond = FieldValidation.requireWithin(unitsPerSecond, MAX_UNITS, "rate");
        reportedAt = FieldValidation.requireTime(reportedAt);
    }

    /** Work sent to a node while it is cold, in that life of it; in seconds of a core. */
    public static String slowStart(String node, double nodeStart) {
        return "cold " + ReplicatedKeys.truncateName(node) + " " + nodeStart;
    }

    /** {@code limit}: the name of a {@link FleetQuota.Quota}. */
    static String key(String limit, Member member) {
        return ReplicatedKeys.join(
                limit, ReplicatedKeys.truncateName(member.name()), Long.toString(member.incarnation()));
    }

    /** The limit within a key, and whose use it is; null where another release made the key. */
    static UsageKey parseKey(String key) {
        List<String> parts = ReplicatedKeys.split(key);
        try {
            return parts.size() != 3
                    ? null
                    : new UsageKey(parts.get(0), new Member(parts.get(1), Long.parseLong(parts.get(2))));
        } catch (NumberFormatException e) {
            return null;
        }
    }

    /** @param member its name as keys have it */
    record UsageKey(String quota, Member member) {}
}
