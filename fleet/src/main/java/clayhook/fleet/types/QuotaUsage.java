package clayhook.fleet.types;

import clayhook.fleet.Member;
import clayhook.fleet.ReplicatedType;
import java.util.List;

/**
 * The usage of a quota by one incarnation of a router, where all routers share the quota. The key consists of quota,
 * router and incarnation, so that only that router writes the value and usage before a restart is never counted twice.
 *
 * @param totalUnits the units used since the router started; never decreases
 * @param unitsPerSecond the rate over the quota's window before {@code reportedAt}
 * @param reportedAt the time of the report in seconds since 1970 on the router's clock
 */
public record QuotaUsage(double totalUnits, double unitsPerSecond, double reportedAt) {
    /** Name of the quota of health checks. The text is part of the replicated key. */
    public static final String HEALTH_CHECKS = "probes";
    /** Name of the quota of retries and hedged requests. The text is part of the replicated key. */
    public static final String RETRIES = "repeats";
    /** Prefix of the name of a node's slow-start quota. The text is part of the replicated key. */
    private static final String SLOW_START_PREFIX = "cold ";

    static final int MAX_QUOTA_NAME_BYTES = 100;
    /** Largest number of units that is accepted; more than any quota allows. */
    private static final double MAX_UNITS = 1e15;
    /** Number of parts of a key: quota, router and incarnation. */
    private static final int KEY_PARTS = 3;

    /** The replicated type of these values. */
    public static final ReplicatedType<QuotaUsage> TYPE = new QuotaUsageType();

    /** @throws IllegalArgumentException for fields out of range */
    public QuotaUsage {
        totalUnits = FieldValidation.requireWithin(totalUnits, MAX_UNITS, "total use");
        unitsPerSecond = FieldValidation.requireWithin(unitsPerSecond, MAX_UNITS, "rate of use");
        reportedAt = FieldValidation.requireTime(reportedAt);
    }

    /**
     * Returns the name of the quota of work that a node may receive during slow start, in core seconds.
     *
     * @param incarnationStartedAt the start of the node's incarnation, in seconds since 1970
     */
    public static String slowStartQuotaName(String nodeId, double incarnationStartedAt) {
        return SLOW_START_PREFIX + ReplicatedKeys.truncateName(nodeId) + " " + incarnationStartedAt;
    }

    /**
     * Returns the key of a router's usage.
     *
     * @param quota the name of a {@link FleetQuota.Quota}
     */
    static String key(String quota, Member member) {
        return ReplicatedKeys.join(
                quota, ReplicatedKeys.truncateName(member.name()), Long.toString(member.incarnation()));
    }

    /** Returns the parts of a key; null for a key in the format of another release. */
    static UsageKey parseKey(String key) {
        List<String> parts = ReplicatedKeys.split(key);
        if (parts.size() != KEY_PARTS) {
            return null;
        }
        try {
            return new UsageKey(parts.get(0), new Member(parts.get(1), Long.parseLong(parts.get(2))));
        } catch (NumberFormatException e) {
            return null;
        }
    }

    /**
     * The parts of a key.
     *
     * @param quota the name of the quota
     * @param member the router, with its name truncated as in keys
     */
    record UsageKey(String quota, Member member) {}
}
