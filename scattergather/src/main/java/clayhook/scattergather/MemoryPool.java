package clayhook.scattergather;

/** Memory that all gathers of a router share. Called from the gathers' own thread. */
public interface MemoryPool {
    /** Takes that many bytes, or nothing and returns false. */
    boolean tryReserve(long bytes);

    /** Gives back what was taken. */
    void release(long bytes);

    /** That many bytes in all, for gathers of one thread. */
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
