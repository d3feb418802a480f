package clayhook.protocol;

/** Limits the total memory of long messages on all connections of one kind. Confined to the event loop. */
public final class MemoryBudget {
    /** Memory in bytes that a message occupies per byte of its length while it is received, kept and forwarded. */
    private static final int BYTES_PER_MESSAGE_BYTE = 4;

    private long availableBytes;

    /** Creates a budget of the given number of bytes. */
    public MemoryBudget(long bytes) {
        availableBytes = bytes;
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
            return false;
        }
        availableBytes -= bytes;
        return true;
    }

    /** Releases the memory that was reserved for messages with this total length in bytes. */
    public void release(int length) {
        availableBytes += (long) length * BYTES_PER_MESSAGE_BYTE;
    }
}
