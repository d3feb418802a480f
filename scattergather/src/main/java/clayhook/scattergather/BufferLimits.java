package clayhook.scattergather;

/**
 * What one gather may hold.
 *
 * @param bufferRows read ahead of each part
 * @param bufferBytes read ahead of all parts together; each has an equal share, of at least one row
 * @param maxRowBytes bytes of a row's message
 * @param maxPartRows after so many a part counts as one that never ends
 * @param maxHeldRows rows, or groups, that have to be held until the end
 * @param maxHeldBytes memory for these
 */
public record BufferLimits(
        int bufferRows, long bufferBytes, int maxRowBytes, long maxPartRows, long maxHeldRows, long maxHeldBytes) {
    /**
     * For a heap of 72 MB. What is read ahead of ten parts stays in a processor's caches; to read further ahead gains
     * nothing, as what is not read yet waits in the sockets.
     */
    public static final BufferLimits DEFAULT = new BufferLimits(64, 2 << 20, 16 << 10, 10_000_000, 100_000, 8 << 20);
}
