package clayhook.fleet.types;

/** How much of one quota this router has used since its start, counted over a sliding window. Not thread-safe. */
final class LocalQuotaUsage {
    /** Use is counted by slot; what falls into the oldest slot counts up to one slot too long. */
    private static final int SLOTS_PER_WINDOW = 16;

    private final double windowSeconds;
    /** One more than a window has, as the current slot is not over. */
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
        slots[index(currentSlot)] += units;
        totalUnits += units;
        lastUsedAt = now;
    }

    /** Returns the units used within the last window, or a little more. */
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
            slots[index(slot)] = 0;
        }
        currentSlot = Math.max(currentSlot, slotOfNow);
    }

    private int index(long slot) {
        return (int) (slot % slots.length);
    }

    boolean isUnusedSince(double time) {
        return lastUsedAt < time;
    }

    /** Whether there is use to publish, twice a window at most and not before {@code minInterval} has passed. */
    boolean isPublicationDue(double minInterval, double now) {
        return totalUnits > publishedUnits && now >= publishedAt + Math.max(windowSeconds / 2, minInterval);
    }

    /** Returns the value to publish, and notes that it is published. */
    QuotaUsage publish(double now) {
        publishedUnits = totalUnits;
        publishedAt = now;
        return new QuotaUsage(totalUnits, usedInWindow(now) / windowSeconds, now);
    }
}
