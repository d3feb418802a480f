package clayhook.frontend;

import clayhook.log.Log;
import clayhook.protocol.ClientMessageDecoder;
import io.netty.buffer.ByteBuf;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.util.concurrent.EventExecutor;
import java.io.IOException;
import java.util.concurrent.TimeUnit;

/**
 * The I/O of one client connection: passes decoded messages and channel events to the {@link ClientSession}, writes
 * responses and closes the channel. Makes no decisions of its own. All methods must be called on the event loop.
 */
@SuppressWarnings("FutureReturnValueIgnored") // closes end in channelInactive, and no code waits for scheduled tasks
final class ClientConnection extends ChannelInboundHandlerAdapter {
    /** Socket reads per event loop iteration: two for a long statement, and one that detects a close after it. */
    private static final int READS_PER_TICK = 3;
    /**
     * Reads until the socket is empty. If a client disconnects during a stall of this process, its close is then read
     * together with its requests, before any of them is handled.
     */
    private static final RecvByteBufAllocator READ_UNTIL_EMPTY =
            new AdaptiveRecvByteBufAllocator().respectMaybeMoreData(false).maxMessagesPerRead(READS_PER_TICK);

    private static final double NANOS_PER_SECOND = 1e9;

    private final ClientMessageDecoder decoder;
    private final ClientSession session;
    private final ChannelFutureListener onWritten;
    private ChannelHandlerContext context;
    /** The number of writes that are not completely in the socket buffer yet. */
    private int pendingWrites;
    /** Discards the input of the connection; null until {@link #discardInput} is called. */
    private LingeringClose lingeringClose;

    ClientConnection(ClientMessageDecoder decoder, ClientSession session) {
        this.decoder = decoder;
        this.session = session;
        onWritten = done -> {
            pendingWrites--;
            session.onWritten();
        };
    }

    // ---- channel events ----

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
        ctx.channel().config().setRecvByteBufAllocator(READ_UNTIL_EMPTY);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (lingeringClose == null) {
            session.onMessage(message);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        session.onReadComplete();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        session.onWritabilityChanged();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        session.onDisconnect();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof IOException) {
            ctx.close();
        } else {
            Log.error("a client session failed", cause);
            session.onException();
        }
    }

    // ---- methods for the session ----

    /** The id of this connection, unique among the connections of this process. */
    String id() {
        return context.channel().id().asLongText();
    }

    /**
     * Whether the connection is open; false after a close, even before {@link ClientSession#onDisconnect} is called.
     */
    boolean isOpen() {
        return context.channel().isActive();
    }

    /** The address of the client, for the log. */
    String clientAddress() {
        return String.valueOf(context.channel().remoteAddress());
    }

    /** The number of bytes that have been read and discarded. */
    int discardedBytes() {
        return lingeringClose == null ? 0 : lingeringClose.discardedBytes();
    }

    /** Whether more bytes may be written; false while the client does not read its responses. */
    boolean isWritable() {
        return context.channel().isWritable();
    }

    /** Whether all writes have completed or failed. */
    boolean isFlushed() {
        return pendingWrites == 0;
    }

    /** Whether part of a message has been received. */
    boolean hasPartialMessage() {
        return decoder.hasPartialMessage();
    }

    /** Releases the memory of all messages received so far except the newest ones, which the session still needs. */
    void releaseMemoryOfAllBut(int newestMessages) {
        decoder.releaseMemoryOfAllBut(newestMessages);
    }

    /**
     * Runs a task after all input in the socket buffer has been read. Scheduled tasks run after the reads of an event
     * loop iteration.
     */
    void runAfterPendingReads(Runnable task) {
        EventExecutor loop = context.executor();
        loop.execute(() -> loop.schedule(task, 0, TimeUnit.NANOSECONDS));
    }

    // ---- output ----

    /** Writes bytes after all earlier ones, and takes ownership of the buffer. */
    void write(ByteBuf bytes) {
        pendingWrites++;
        context.writeAndFlush(bytes).addListener(onWritten);
    }

    /** Reads and discards all further input; responses may still be written. */
    void discardInput() {
        if (lingeringClose == null) {
            lingeringClose = LingeringClose.begin(context.channel());
            decoder.discardInput();
        }
    }

    /**
     * Discards further input, writes the last bytes, shuts down the output, and closes the connection once the client
     * has closed its side or after a time limit.
     */
    void closeDiscardingInput(ByteBuf lastBytes) {
        discardInput();
        decoder.discardInputAndReleaseMemory();
        pendingWrites++;
        lingeringClose.finish(lastBytes, () -> pendingWrites--);
    }

    /** Stops reading, writes the last bytes, shuts down the output, and closes the connection after a short delay. */
    void closeWithoutReading(ByteBuf lastBytes) {
        decoder.discardInputAndReleaseMemory();
        pendingWrites++;
        CloseWithoutReading.begin(context.channel(), lastBytes, () -> pendingWrites--);
    }

    /** Runs a task after a delay in seconds. */
    void runAfterDelay(double seconds, Runnable task) {
        context.executor().schedule(task, (long) Math.ceil(seconds * NANOS_PER_SECOND), TimeUnit.NANOSECONDS);
    }

    /** Runs a task in the next event loop iteration. */
    void runInNextIteration(Runnable task) {
        context.executor().execute(task);
    }

    /** Closes the connection immediately and discards pending writes. */
    void closeNow() {
        context.close();
    }
}
