package clayhook.scattergather;

/**
 * Limits of the memory of one gather.
 *
 * @param bufferRows maximum number of rows read ahead from each part
 * @param bufferBytes maximum bytes read ahead from all parts together; each part has an equal share, which holds at
 *     least one row
 * @param maxRowBytes maximum bytes of one row message
 * @param maxPartRows maximum number of rows of a part; a part with more is treated as endless
 * @param maxHeldRows maximum number of rows, or groups, buffered until the end
 * @param maxHeldBytes maximum memory for buffered rows or groups, in bytes
 */
public record BufferLimits(
        int bufferRows, long bufferBytes, int maxRowBytes, long maxPartRows, long maxHeldRows, long maxHeldBytes) {
    /**
     * Limits for a heap of 72 MB. The read-ahead of ten parts stays in the processor caches; reading further ahead
     * gains nothing, as unread rows wait in the sockets.
     */
    public static final BufferLimits DEFAULT = new BufferLimits(64, 2 << 20, 16 << 10, 10_000_000, 100_000, 8 << 20);
}
