package clayhook.fleet.types;

import clayhook.fleet.Member;
import clayhook.fleet.ReplicatedType;
import java.util.List;

/**
 * How much of a quota one incarnation of a router has used, where all routers share the quota. The key consists of
 * quota, router and incarnation, so that only that router writes the value and a restart is never counted twice.
 *
 * @param totalUnits since the router has started; never decreases
 * @param unitsPerSecond over the quota's window before {@code reportedAt}
 * @param reportedAt in seconds since 1970 on the router's clock
 */
public record QuotaUsage(double totalUnits, double unitsPerSecond, double reportedAt) {
    /** The quota of health checks. The text is part of the replicated key. */
    public static final String HEALTH_CHECKS = "probes";
    /** The quota of retries and hedged requests. The text is part of the replicated key. */
    public static final String RETRIES = "repeats";
    /** Begins the quota of a node's slow start. The text is part of the replicated key. */
    private static final String SLOW_START_PREFIX = "cold ";

    static final int MAX_QUOTA_NAME_BYTES = 100;
    /** More than any quota allows. */
    private static final double MAX_UNITS = 1e15;
    /** Quota, router and incarnation. */
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
     * Returns the name of the quota of work for a node during slow start, in core seconds.
     *
     * @param incarnationStartedAt of the node, in seconds since 1970
     */
    public static String slowStart(String nodeId, double incarnationStartedAt) {
        return SLOW_START_PREFIX + ReplicatedKeys.truncateName(nodeId) + " " + incarnationStartedAt;
    }

    /** @param quota the name of a {@link FleetQuota.Quota} */
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
     * @param member with its name as keys hold it
     */
    record UsageKey(String quota, Member member) {}
}
