package clayhook.protocol;

/** The memory that the long messages of all connections of one kind may take together. Event loop only. */
public final class MemoryBudget {
    /** What a message takes in all while it is read, held and forwarded, for each byte of it. */
    private static final int BYTES_PER_MESSAGE_BYTE = 4;

    private long availableBytes;

    /** A budget of so many bytes. */
    public MemoryBudget(long bytes) {
        availableBytes = bytes;
    }

    /** Reserves memory for a message of that length in bytes; false, and nothing reserved, if there is not enough. */
    public boolean tryReserve(int length) {
        long bytes = (long) length * BYTES_PER_MESSAGE_BYTE;
        if (availableBytes < bytes) {
            return false;
        }
        availableBytes -= bytes;
        return true;
    }

    /** Returns what was reserved for messages of that length in bytes. */
    public void release(int length) {
        availableBytes += (long) length * BYTES_PER_MESSAGE_BYTE;
    }
}
