package clayhook.scattergather;

/** Memory shared by all gathers of a router. Called on the thread of the gather. */
public interface MemoryPool {
    /** Reserves that many bytes; returns false and reserves nothing if they are not available. */
    boolean tryReserve(long bytes);

    /** Releases reserved bytes. */
    void release(long bytes);

    /** A pool of that many bytes for gathers of a single thread. */
    static MemoryPool of(long bytes) {
        return new MemoryPool() {
            private long left = bytes;

            @Override
            public boolean tryReserve(long wanted) {
                boolean enough = wanted <= left;
                left -= enough ? wanted : 0;
                return enough;
            }

            @Override
            public void release(long unused) {
                left += unused;
            }
        };
    }
}
