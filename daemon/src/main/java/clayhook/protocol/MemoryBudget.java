package clayhook.protocol;

/** Limits the total memory of long messages on all connections of one kind. Confined to the event loop. */
public final class MemoryBudget {
    /**
     * Memory in bytes that a message occupies per byte of its length while it is received, kept and forwarded: the
     * received bytes, a decoded copy, and the bytes to send on up to two connections.
     */
    private static final int BYTES_PER_MESSAGE_BYTE = 4;

    private static final int BYTES_PER_KIB = 1024;

    /** The limit of a budget that never refuses a reservation. */
    private static final long UNLIMITED = Long.MAX_VALUE;

    private final long limitBytes;
    private long availableBytes;
    /** The least number of available bytes since the last {@link #takeSummary}. */
    private long leastAvailableBytes;
    /** The number of reservations refused since the last {@link #takeSummary}. */
    private int refusals;

    /** Creates a budget of the given number of bytes; without a limit if it is {@code Long.MAX_VALUE}. */
    public MemoryBudget(long bytes) {
        limitBytes = bytes;
        availableBytes = bytes;
        leastAvailableBytes = bytes;
    }

    /** Whether the budget never refuses a reservation, so that none needs to be recorded. */
    boolean isUnlimited() {
        return limitBytes == UNLIMITED;
    }

    /**
     * Reserves memory for a message.
     *
     * @param length the length of the message in bytes
     * @return false if too little memory is available, in which case none is reserved
     */
    public boolean tryReserve(int length) {
        long bytes = (long) length * BYTES_PER_MESSAGE_BYTE;
        if (availableBytes < bytes) {
            refusals++;
            return false;
        }
        availableBytes -= bytes;
        leastAvailableBytes = Math.min(leastAvailableBytes, availableBytes);
        return true;
    }

    /** Releases the memory that was reserved for messages with this total length in bytes. */
    public void release(int length) {
        availableBytes += (long) length * BYTES_PER_MESSAGE_BYTE;
    }

    /** The bytes reserved now and at most since the last call, and the refused reservations since then, for the log. */
    public String takeSummary() {
        String summary = kib(limitBytes - availableBytes) + " KiB reserved, at most "
                + kib(limitBytes - leastAvailableBytes) + " of " + kib(limitBytes) + ", refused " + refusals;
        leastAvailableBytes = availableBytes;
        refusals = 0;
        return summary;
    }

    private static long kib(long bytes) {
        return bytes / BYTES_PER_KIB;
    }
}
