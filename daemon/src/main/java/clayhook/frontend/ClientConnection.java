package clayhook.frontend;

import clayhook.log.Log;
import clayhook.protocol.ClientMessageDecoder;
import clayhook.protocol.MessageEncoder;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelConfig;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.concurrent.EventExecutor;
import java.io.IOException;
import java.util.concurrent.TimeUnit;

/**
 * The I/O of one client connection: passes decoded messages and channel events to the {@link ClientSession}, writes
 * responses and closes the channel. Makes no decisions of its own. All methods must be called on the event loop.
 *
 * <p>Responses that are written while the session handles input are flushed together at the end of its time slice.
 * While the session keeps as much input as its {@link InputBudget} allows, the connection is not read, so that the
 * client waits; a {@link DisconnectProbe} then detects the client's close.
 */
@SuppressWarnings("FutureReturnValueIgnored") // closes end in channelInactive, and no code waits for scheduled tasks
final class ClientConnection extends ChannelInboundHandlerAdapter {
    private static final double NANOS_PER_SECOND = 1e9;

    private final ClientMessageDecoder decoder;
    private final ClientSession session;
    private final InputBudget.Share inputShare;
    private final BoundedReadAllocator readAllocator;
    private final CloseDetector closeDetector;
    private final ChannelFutureListener onWritten;
    private ChannelHandlerContext context;
    private DisconnectProbe disconnectProbe;
    /** Whether the session is handling input, at the end of which the responses written meanwhile are flushed. */
    private boolean inSlice;
    /** Whether the connection is no longer read for the session, because it closes. */
    private boolean closing;
    /** The number of writes that are not completely in the socket buffer yet. */
    private int pendingWrites;
    /** Discards the input of the connection; null until {@link #discardInput} is called. */
    private LingeringClose lingeringClose;

    ClientConnection(ClientMessageDecoder decoder, ClientSession session, InputBudget.Share inputShare) {
        this.decoder = decoder;
        this.session = session;
        this.inputShare = inputShare;
        readAllocator = new BoundedReadAllocator(this::readableBytes);
        closeDetector = new CloseDetector(this, readAllocator);
        decoder.setDemand(session::wantsMessage);
        onWritten = done -> {
            pendingWrites--;
            session.onWritten();
        };
    }

    // ---- channel events ----

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
        disconnectProbe = new DisconnectProbe(ctx.executor(), this::isUnread, this::probe);
        ctx.channel().config().setRecvByteBufAllocator(readAllocator);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (!closing) {
            inSlice = true;
            session.onMessage(message);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        session.onReadComplete();
        endSlice();
        closeDetector.onReadComplete();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        session.onWritabilityChanged();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        closing = true;
        inputShare.update(0);
        session.onDisconnect();
        closeDetector.onClosed();
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

    /** The number of bytes that have been received and not decoded yet. */
    int undecodedBytes() {
        return decoder.undecodedBytes();
    }

    /** Passes input that was not decoded yet to the session, as far as it wants messages. */
    void decodeInSlice() {
        inSlice = true;
        decoder.decodeUndecoded();
    }

    /**
     * Flushes the responses of the time slice, and reads the connection or stops reading it by what the session has
     * left.
     */
    void endSlice() {
        inSlice = false;
        context.flush();
        updateReading();
    }

    private void updateReading() {
        if (closing) {
            return;
        }
        inputShare.update(decoder.undecodedBytes());
        ChannelConfig config = context.channel().config();
        if (config.isAutoRead() && readableBytes() <= 0) {
            config.setAutoRead(false);
            closeDetector.onReadingStopped();
            disconnectProbe.start();
        } else if (!config.isAutoRead() && inputShare.isBelowHalf()) {
            config.setAutoRead(true);
        }
    }

    private int readableBytes() {
        // What a closing connection receives is discarded.
        return closing ? InputBudget.MAX_BYTES : inputShare.readableBytes() - newBytes();
    }

    /** The number of bytes received since the last update of the share. */
    private int newBytes() {
        return decoder.undecodedBytes() - inputShare.keptBytes();
    }

    private boolean isUnread() {
        return !closing && isOpen() && !context.channel().config().isAutoRead();
    }

    private void probe() {
        if (isFlushed() && session.isAwaitingResponse()) {
            write(MessageEncoder.livenessProbe());
        }
        closeDetector.onProbe();
    }

    /** The detection of the client's close. */
    CloseDetector closeDetector() {
        return closeDetector;
    }

    /** Whether the connection is read for the session. */
    boolean isRead() {
        return !closing && context.channel().config().isAutoRead();
    }

    /** Whether the connection is no longer read for the session, because it closes. */
    boolean isClosing() {
        return closing;
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

    /**
     * Writes bytes after all earlier ones, and takes ownership of the buffer. They are flushed at the end of the time
     * slice in which they are written, or at once outside of one.
     */
    void write(ByteBuf bytes) {
        pendingWrites++;
        context.write(bytes).addListener(onWritten);
        if (!inSlice) {
            context.flush();
        }
    }

    private void discardInput() {
        closing = true;
        decoder.discardInputAndReleaseMemory();
        inputShare.update(0);
    }

    /**
     * Discards further input, writes the last bytes, shuts down the output, and closes the connection once the client
     * has closed its side or after a time limit.
     */
    void closeDiscardingInput(ByteBuf lastBytes) {
        discardInput();
        lingeringClose = LingeringClose.begin(context.channel());
        pendingWrites++;
        lingeringClose.finish(lastBytes, () -> pendingWrites--);
    }

    /** Stops reading, writes the last bytes, shuts down the output, and closes the connection after a short delay. */
    void closeWithoutReading(ByteBuf lastBytes) {
        discardInput();
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
