package clayhook.scattergather;

/** Memory reserved by one gather from the shared pool, up to a limit of its own. */
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
