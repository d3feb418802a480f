package clayhook.scattergather;

/** What one gather holds, out of the router's allowance and under its own bound. */
final class MemoryReservation {
    private final MemoryPool memoryPool;
    private final long limit;
    private long used;
    private long peak;

    MemoryReservation(MemoryPool memoryPool, long limit) {
        this.memoryPool = memoryPool;
        this.limit = limit;
    }

    boolean tryReserve(long bytes) {
        if (bytes > limit - used || !memoryPool.tryReserve(bytes)) {
            return false;
        }
        used += bytes;
        peak = Math.max(peak, used);
        return true;
    }

    void release(long bytes) {
        used -= bytes;
        memoryPool.release(bytes);
    }

    long used() {
        return used;
    }

    long peak() {
        return peak;
    }

    void close() {
        release(used);
    }
}
