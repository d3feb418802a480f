package clayhook.protocol;

import java.util.ArrayDeque;

/**
 * The memory of the messages that one connection has received and whose owner still uses them. Each reservation belongs
 * to one message, and is kept until that message is released or the connection ends. Messages are released in the order
 * in which they were received. Confined to the event loop.
 */
final class MessageMemory {
    /**
     * The memory of one message.
     *
     * @param message the number of the message on its connection, from 0
     * @param length the length of the message in bytes
     * @param reserved whether the length is reserved in the budget; if not, it counts as unreserved
     */
    private record Entry(long message, int length, boolean reserved) {}

    private final MemoryBudget budget;
    /** Messages up to this length in bytes need no reservation. */
    private final int maxUnreservedLength;
    /** The number of bytes that need no reservation, summed over the messages in use. */
    private final int maxUnreservedBytes;
    /**
     * The messages in use, the oldest first; those that count neither as reserved nor as unreserved are left out.
     * Emptied as messages are released and at the end of the connection; bounded by the budget and the unreserved
     * bytes.
     */
    private final ArrayDeque<Entry> entries = new ArrayDeque<>();

    private long completeMessages;
    private int unreservedBytes;

    /**
     * Creates the memory of one connection.
     *
     * @param maxUnreservedBytes the number of bytes that need no reservation, summed over the messages in use; without
     *     a limit if it is {@code Integer.MAX_VALUE}
     */
    MessageMemory(MemoryBudget budget, int maxUnreservedLength, int maxUnreservedBytes) {
        this.budget = budget;
        this.maxUnreservedLength = maxUnreservedLength;
        this.maxUnreservedBytes = maxUnreservedBytes;
    }

    /** Reserves memory for the message being received; returns false if too little is available. */
    boolean tryReserve(int length) {
        boolean uncounted = length <= maxUnreservedLength && maxUnreservedBytes == Integer.MAX_VALUE;
        if (uncounted || budget.isUnlimited()) {
            return true;
        }
        boolean unreserved = length <= maxUnreservedLength && length <= maxUnreservedBytes - unreservedBytes;
        if (!unreserved && !budget.tryReserve(length)) {
            return false;
        }
        unreservedBytes += unreserved ? length : 0;
        entries.add(new Entry(completeMessages, length, !unreserved));
        return true;
    }

    /** Ends the message being received; the next reservation is for the message after it. */
    void onMessageComplete() {
        completeMessages++;
    }

    /**
     * Releases the memory of all complete messages except the newest ones, which are still in use. The message being
     * received keeps its memory.
     */
    void releaseAllBut(int newestMessages) {
        long firstInUse = completeMessages - newestMessages;
        while (!entries.isEmpty() && entries.peek().message < firstInUse) {
            release(entries.poll());
        }
    }

    /** Releases the memory of all messages, including the one being received. */
    void releaseAll() {
        while (!entries.isEmpty()) {
            release(entries.poll());
        }
    }

    private void release(Entry entry) {
        if (entry.reserved) {
            budget.release(entry.length);
        } else {
            unreservedBytes -= entry.length;
        }
    }
}
