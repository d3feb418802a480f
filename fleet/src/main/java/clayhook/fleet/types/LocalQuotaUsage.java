package clayhook.fleet.types;

/**
 * Counts the units of one quota that this router has used since its start, in total and over a sliding window. Not
 * thread-safe.
 */
final class LocalQuotaUsage {
    /** Number of slots by which the window is counted. Units in the oldest slot count for up to one slot too long. */
    private static final int SLOTS_PER_WINDOW = 16;

    private final double windowSeconds;
    /** Units used in each slot: one slot more than the window has, as the current one is not complete. */
    private final double[] slots = new double[SLOTS_PER_WINDOW + 1];

    private long currentSlot;
    private double totalUnits;
    private double lastUsedAt;
    private double publishedUnits;
    private double publishedAt = Double.NEGATIVE_INFINITY;

    LocalQuotaUsage(double windowSeconds, double now) {
        this.windowSeconds = windowSeconds;
        lastUsedAt = now;
    }

    void add(double units, double now) {
        advanceTo(now);
        slots[slotIndex(currentSlot)] += units;
        totalUnits += units;
        lastUsedAt = now;
    }

    /** Returns the units used within the last window, and up to one slot before it. */
    double usedInWindow(double now) {
        advanceTo(now);
        double sum = 0;
        for (double units : slots) {
            sum += units;
        }
        return sum;
    }

    private void advanceTo(double now) {
        long slotOfNow = (long) (now * SLOTS_PER_WINDOW / windowSeconds);
        long firstExpired = Math.max(currentSlot + 1, slotOfNow - SLOTS_PER_WINDOW);
        for (long slot = firstExpired; slot <= slotOfNow; slot++) {
            slots[slotIndex(slot)] = 0;
        }
        currentSlot = Math.max(currentSlot, slotOfNow);
    }

    private int slotIndex(long slot) {
        return (int) (slot % slots.length);
    }

    boolean isUnusedSince(double time) {
        return lastUsedAt < time;
    }

    /**
     * Returns whether there is unpublished usage to publish now: at most twice per window, and at least
     * {@code minInterval} seconds after the previous publication.
     */
    boolean isPublicationDue(double minInterval, double now) {
        return totalUnits > publishedUnits && now >= publishedAt + Math.max(windowSeconds / 2, minInterval);
    }

    /** Returns the value to publish, and records it as published. */
    QuotaUsage publish(double now) {
        publishedUnits = totalUnits;
        publishedAt = now;
        return new QuotaUsage(totalUnits, usedInWindow(now) / windowSeconds, now);
    }
}
