package clayhook.protocol;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * Splits a byte stream into messages, each of which consists of an optional type byte, a length that includes itself,
 * and a body. For a message that cannot be decoded it emits a message that describes the error, and then discards all
 * further input. Confined to the event loop.
 *
 * <p>A message is decoded only while the receiver takes another one. Until then its bytes are kept as they were
 * received, on the heap, since a decoded message takes many times the memory of a short one. The owner of the
 * connection has to limit what it reads by {@link #undecodedBytes}.
 *
 * <p>A message that arrives in parts is copied into a heap buffer of its own length, once memory is reserved for it.
 * Netty would append the parts to the receive buffer instead, which grows by doubling and lies in direct memory, so
 * that a connection would hold several times the bytes of its message.
 */
abstract class FrameDecoder extends ChannelInboundHandlerAdapter {
    private static final int LENGTH_BYTES = 4;
    /** The buffer of undecoded bytes grows by multiples of this number of bytes. */
    private static final int BUFFER_STEP_BYTES = 4096;

    private final MessageMemory memory;
    private final List<Object> decodedMessages = new ArrayList<>(1);
    private ChannelHandlerContext context;
    /** Whether the receiver takes another message now. */
    private BooleanSupplier demand = () -> true;
    /** The bytes received and not decoded yet, in a heap buffer. Emptied by {@link #decodeUndecoded}. */
    private ByteBuf undecoded = Unpooled.EMPTY_BUFFER;

    /** The bytes received of a message that arrives in parts: its header, or all of it; null between messages. */
    private ByteBuf partialMessage;
    /** The number of bytes of {@link #partialMessage} to receive. */
    private int partialMessageBytes;

    /** Bytes still to be received of a message that is being skipped. */
    private int bytesToSkip;

    private boolean discarding;

    /**
     * Creates the decoder of one connection.
     *
     * @param memoryBudget limits the memory of all connections of one kind
     * @param maxUnreservedLength messages up to this length in bytes need no reservation
     * @param maxUnreservedBytes the number of bytes that need no reservation, summed over the messages in use; without
     *     a limit if it is {@code Integer.MAX_VALUE}
     */
    FrameDecoder(MemoryBudget memoryBudget, int maxUnreservedLength, int maxUnreservedBytes) {
        memory = new MessageMemory(memoryBudget, maxUnreservedLength, maxUnreservedBytes);
    }

    /**
     * Sets whether the receiver takes another message. It is asked before each message; if it returns false, the input
     * is kept until {@link #decodeUndecoded} is called.
     */
    public final void setDemand(BooleanSupplier newDemand) {
        demand = newDemand;
    }

    @Override
    public final void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    @Override
    public final void channelRead(ChannelHandlerContext ctx, Object message) {
        var in = (ByteBuf) message;
        try {
            if (!undecoded.isReadable()) {
                decodeOnDemand(in);
            }
            if (in.isReadable() && !discarding) {
                keep(in);
            }
        } finally {
            in.release();
        }
    }

    /**
     * Decodes the input that was kept for lack of demand, and passes it on message by message while there is demand.
     */
    public final void decodeUndecoded() {
        decodeOnDemand(undecoded);
        if (!undecoded.isReadable()) {
            undecoded = Unpooled.EMPTY_BUFFER;
        }
    }

    /** The number of bytes received that were not decoded for lack of demand. */
    public final int undecodedBytes() {
        return undecoded.readableBytes();
    }

    private void decodeOnDemand(ByteBuf in) {
        while (!discarding && in.isReadable() && demand.getAsBoolean()) {
            decode(in, decodedMessages);
            while (!decodedMessages.isEmpty()) {
                context.fireChannelRead(decodedMessages.remove(0));
            }
        }
    }

    private void keep(ByteBuf in) {
        int neededBytes = undecoded.readableBytes() + in.readableBytes();
        if (undecoded.writableBytes() < in.readableBytes()) {
            ByteBuf larger = Unpooled.buffer((neededBytes / BUFFER_STEP_BYTES + 1) * BUFFER_STEP_BYTES);
            undecoded = larger.writeBytes(undecoded);
        }
        undecoded.writeBytes(in);
    }

    private void decode(ByteBuf in, List<Object> out) {
        if (bytesToSkip > 0) {
            skip(in, out);
        } else if (partialMessage != null) {
            continueMessage(in, out);
        } else {
            beginMessage(in, out);
        }
    }

    private void beginMessage(ByteBuf in, List<Object> out) {
        int headerBytes = headerBytes();
        if (in.readableBytes() < headerBytes) {
            partialMessageBytes = headerBytes;
            partialMessage = Unpooled.buffer(headerBytes);
            continueMessage(in, out);
            return;
        }
        int messageBytes = acceptHeader(in, out);
        if (messageBytes == 0) {
            return;
        }
        if (in.readableBytes() >= messageBytes) {
            emit(decodeMessage(in.readSlice(messageBytes)), out);
        } else {
            partialMessageBytes = messageBytes;
            partialMessage = Unpooled.buffer(messageBytes);
            continueMessage(in, out);
        }
    }

    /** Copies further bytes of the message that arrives in parts, and decodes it once it is complete. */
    private void continueMessage(ByteBuf in, List<Object> out) {
        copyPart(in);
        if (partialMessage.readableBytes() < partialMessageBytes) {
            return;
        }
        if (partialMessageBytes == headerBytes() && !acceptPartialHeader(out)) {
            return;
        }
        copyPart(in);
        if (partialMessage.readableBytes() == partialMessageBytes) {
            ByteBuf message = partialMessage;
            partialMessage = null;
            emit(decodeMessage(message), out);
        }
    }

    private void copyPart(ByteBuf in) {
        int missingBytes = partialMessageBytes - partialMessage.readableBytes();
        partialMessage.writeBytes(in, Math.min(missingBytes, in.readableBytes()));
    }

    /** Handles a header that arrived in parts; returns whether the rest of its message is to be received. */
    private boolean acceptPartialHeader(List<Object> out) {
        ByteBuf header = partialMessage;
        int messageBytes = acceptHeader(header, out);
        if (messageBytes == 0) {
            partialMessage = null;
            return false;
        }
        partialMessageBytes = messageBytes;
        partialMessage.capacity(messageBytes);
        return true;
    }

    /**
     * Checks the header of a message and reserves memory for the message. If either fails, skips the message or
     * discards all further input.
     *
     * @param header the buffer that starts with the header: the input, or the bytes received before it
     * @return the length of the message in bytes, including its header; 0 if it is not to be received
     */
    private int acceptHeader(ByteBuf header, List<Object> out) {
        int typeBytes = hasTypeByte() ? 1 : 0;
        int length = header.getInt(header.readerIndex() + typeBytes);
        if (length < LENGTH_BYTES || length > maxMessageLength()) {
            emitAndDiscardInput(malformed("a message of length " + Integer.toUnsignedString(length)), out);
            return 0;
        }
        if (memory.tryReserve(length)) {
            return typeBytes + length;
        }
        if (hasTypeByte() && maySkip(header.getByte(header.readerIndex()))) {
            bytesToSkip = typeBytes + length;
            skip(header, out);
        } else {
            emitAndDiscardInput(outOfMemory(), out);
        }
        return 0;
    }

    /** Drops the bytes of a message as they are received; emits {@link #skipped} in its place after the last one. */
    private void skip(ByteBuf in, List<Object> out) {
        int length = Math.min(bytesToSkip, in.readableBytes());
        in.skipBytes(length);
        bytesToSkip -= length;
        if (bytesToSkip == 0) {
            emit(skipped(), out);
        }
    }

    private void emitAndDiscardInput(Object lastMessage, List<Object> out) {
        discardInput();
        emit(lastMessage, out);
    }

    private void emit(Object message, List<Object> out) {
        memory.onMessageComplete();
        out.add(message);
    }

    private Object decodeMessage(ByteBuf message) {
        char type = hasTypeByte() ? (char) (message.readByte() & 0xff) : 0;
        message.skipBytes(LENGTH_BYTES);
        try {
            return decodeBody(type, message);
        } catch (IndexOutOfBoundsException | IllegalArgumentException e) {
            discardInput();
            return malformed("a message of type '" + type + "' that cannot be read");
        }
    }

    private int headerBytes() {
        return (hasTypeByte() ? 1 : 0) + LENGTH_BYTES;
    }

    /**
     * Releases the memory of all complete messages except the newest ones, which the caller still uses. A message that
     * has been received only in part keeps its memory.
     */
    public final void releaseMemoryOfAllBut(int newestMessages) {
        memory.releaseAllBut(newestMessages);
    }

    /** Discards all further input, including the part received of a message, and releases all memory. */
    public final void discardInputAndReleaseMemory() {
        discardInput();
        memory.releaseAll();
    }

    /** Discards all further input, including the part received of a message. */
    public final void discardInput() {
        discarding = true;
        partialMessage = null;
        undecoded = Unpooled.EMPTY_BUFFER;
    }

    /** Whether a message has been received only in part; says nothing of the input that is not decoded yet. */
    public final boolean hasPartialMessage() {
        return partialMessage != null || bytesToSkip > 0;
    }

    @Override
    public final void handlerRemoved(ChannelHandlerContext ctx) {
        discardInputAndReleaseMemory();
    }

    /** Whether the next message starts with a type byte. */
    abstract boolean hasTypeByte();

    /** The greatest length in bytes that the header of the next message may specify. */
    abstract int maxMessageLength();

    /**
     * Decodes a message whose header has been read.
     *
     * @param type the type byte, or 0 if the message has none
     * @param body the message, positioned after its header; valid only during the call
     * @throws IndexOutOfBoundsException if the body is too short
     * @throws IllegalArgumentException if the body is malformed
     */
    abstract Object decodeBody(char type, ByteBuf body);

    /** The message emitted in place of one that cannot be decoded. */
    abstract Object malformed(String reason);

    /** The message emitted in place of one that exceeds the memory budget; all input after it is discarded. */
    Object outOfMemory() {
        return malformed("a message too long for now");
    }

    /** Whether a message of this type is skipped and replaced by {@link #skipped} if the memory budget is exhausted. */
    boolean maySkip(byte type) {
        return false;
    }

    /** The message emitted in place of one that was skipped. */
    Object skipped() {
        throw new IllegalStateException("this decoder skips no messages");
    }

    /**
     * Reads a zero-terminated string including its terminator.
     *
     * @throws IllegalArgumentException if there is no terminator
     */
    static String readString(ByteBuf body) {
        int length = body.bytesBefore((byte) 0);
        if (length < 0) {
            throw new IllegalArgumentException("text without its end");
        }
        String text = body.readCharSequence(length, StandardCharsets.UTF_8).toString();
        body.skipBytes(1);
        return text;
    }
}
