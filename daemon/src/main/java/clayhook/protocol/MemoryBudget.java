package clayhook.protocol;

/** The memory that long messages of all connections of a kind together may take. */
public final class MemoryBudget {
    /** What a message takes while it is read, held and passed on, for each byte of it. */
    private static final int BYTES_PER_MESSAGE_BYTE = 4;

    private long availableBytes;

    public MemoryBudget(long bytes) {
        availableBytes = bytes;
    }

    public boolean tryReserve(int length) {
        boolean enough = availableBytes >= (long) length * BYTES_PER_MESSAGE_BYTE;
        availableBytes -= enough ? (long) length * BYTES_PER_MESSAGE_BYTE : 0;
        return enough;
    }

    public void release(int length) {
        availableBytes += (long) length * BYTES_PER_MESSAGE_BYTE;
    }
}
