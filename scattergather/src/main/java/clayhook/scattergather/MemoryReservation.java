package clayhook.scattergather;

/** What one gather holds, out of the router's allowance and under its own bound. */
final class MemoryReservation {
    private final MemoryPool allowance;
    private final long most;
    private long used;
    private long peak;

    MemoryReservation(MemoryPool allowance, long most) {
        this.allowance = allowance;
        this.most = most;
    }

    boolean take(long bytes) {
        if (bytes > most - used || !allowance.take(bytes)) {
            return false;
        }
        used += bytes;
        peak = Math.max(peak, used);
        return true;
    }

    void give(long bytes) {
        used -= bytes;
        allowance.give(bytes);
    }

    long used() {
        return used;
    }

    long peak() {
        return peak;
    }

    void close() {
        give(used);
    }
}
