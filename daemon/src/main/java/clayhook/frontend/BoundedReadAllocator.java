package clayhook.frontend;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;
import java.util.function.IntSupplier;

/**
 * Allocates receive buffers that are no longer than what the connection may read, and ends a series of socket reads
 * when it may read no more. Tells whether the last read found neither input nor a close. Confined to the event loop.
 */
final class BoundedReadAllocator implements RecvByteBufAllocator {
    /** Socket reads per event loop iteration: two for a long statement, and one that detects a close after it. */
    private static final int READS_PER_ITERATION = 3;
    /** The length of the buffer for a read that was due before the connection reached its limit. */
    private static final int MIN_BUFFER_BYTES = 64;
    /**
     * Reads until the socket is empty. If a client disconnects during a stall of this process, its close is then read
     * together with its requests, before any of them is handled.
     */
    private static final RecvByteBufAllocator READ_UNTIL_EMPTY =
            new AdaptiveRecvByteBufAllocator().respectMaybeMoreData(false).maxMessagesPerRead(READS_PER_ITERATION);

    private final IntSupplier readableBytes;
    private boolean lastReadEmpty = true;

    /**
     * Creates the allocator of one connection.
     *
     * @param readableBytes the number of bytes that the connection may read; 0 or negative for none
     */
    BoundedReadAllocator(IntSupplier readableBytes) {
        this.readableBytes = readableBytes;
    }

    /** Whether the last read found nothing, so that the client had not closed the connection by then. */
    boolean isLastReadEmpty() {
        return lastReadEmpty;
    }

    @Override
    @SuppressWarnings("deprecation") // Netty has no other way to bound the length of a read
    public Handle newHandle() {
        return new DelegatingHandle(READ_UNTIL_EMPTY.newHandle()) {
            @Override
            public ByteBuf allocate(ByteBufAllocator allocator) {
                return allocator.ioBuffer(guess());
            }

            @Override
            public int guess() {
                int limit = readableBytes.getAsInt();
                return Math.min(super.guess(), limit > 0 ? limit : MIN_BUFFER_BYTES);
            }

            @Override
            public void lastBytesRead(int bytes) {
                super.lastBytesRead(bytes);
                lastReadEmpty = bytes <= 0;
            }

            @Override
            public boolean continueReading() {
                return readableBytes.getAsInt() > 0 && super.continueReading();
            }
        };
    }
}
