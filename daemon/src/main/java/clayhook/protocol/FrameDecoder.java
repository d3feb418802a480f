package clayhook.protocol;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Splits a byte stream into messages, each of which consists of an optional type byte, a length that includes itself,
 * and a body. Buffers only bytes that have been received. For a message that cannot be decoded it emits a message that
 * describes the error, and then discards all further input. Confined to the event loop.
 */
abstract class FrameDecoder extends ByteToMessageDecoder {
    private static final int LENGTH_BYTES = 4;

    private final MemoryBudget memoryBudget;
    /** Messages up to this length in bytes need no reservation. */
    private final int maxUnreservedLength;
    /** The number of bytes that need no reservation, summed over all messages since the memory was last released. */
    private final int maxUnreservedBytes;
    /** Bytes of received messages with reserved memory; the owner of the connection releases it. */
    private int reservedBytes;

    private int unreservedBytes;

    /** Bytes still to be received of a message that is being skipped. */
    private int bytesToSkip;

    private boolean discarding;
    /** Whether the header of the current message has been checked and memory has been reserved for it. */
    private boolean headerAccepted;

    FrameDecoder(MemoryBudget memoryBudget, int maxUnreservedLength, int maxUnreservedBytes) {
        this.memoryBudget = memoryBudget;
        this.maxUnreservedLength = maxUnreservedLength;
        this.maxUnreservedBytes = maxUnreservedBytes;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
        if (discarding) {
            in.skipBytes(in.readableBytes());
            return;
        }
        if (bytesToSkip > 0) {
            skip(in, out);
            return;
        }
        int typeBytes = hasTypeByte() ? 1 : 0;
        if (in.readableBytes() < typeBytes + LENGTH_BYTES) {
            return;
        }
        int length = in.getInt(in.readerIndex() + typeBytes);
        if (length < LENGTH_BYTES || length > maxMessageLength()) {
            emitAndDiscardInput(malformed("a message of length " + Integer.toUnsignedString(length)), in, out);
            return;
        }
        if (!headerAccepted && !reserveMemory(length)) {
            skipOrDiscard(typeBytes + length, in, out);
            return;
        }
        headerAccepted = in.readableBytes() < typeBytes + length;
        if (!headerAccepted) {
            out.add(decodeMessage(in.readSlice(typeBytes + length)));
        }
    }

    private void skipOrDiscard(int messageBytes, ByteBuf in, List<Object> out) {
        if (hasTypeByte() && maySkip(in.getByte(in.readerIndex()))) {
            bytesToSkip = messageBytes;
            skip(in, out);
        } else {
            emitAndDiscardInput(outOfMemory(), in, out);
        }
    }

    /** Drops the bytes of a message as they are received; emits {@link #skipped} in its place after the last one. */
    private void skip(ByteBuf in, List<Object> out) {
        int length = Math.min(bytesToSkip, in.readableBytes());
        in.skipBytes(length);
        bytesToSkip -= length;
        if (bytesToSkip == 0) {
            out.add(skipped());
        }
    }

    private void emitAndDiscardInput(Object lastMessage, ByteBuf in, List<Object> out) {
        discarding = true;
        in.skipBytes(in.readableBytes());
        out.add(lastMessage);
    }

    private Object decodeMessage(ByteBuf message) {
        char type = hasTypeByte() ? (char) (message.readByte() & 0xff) : 0;
        message.skipBytes(LENGTH_BYTES);
        try {
            return decodeBody(type, message);
        } catch (IndexOutOfBoundsException | IllegalArgumentException e) {
            discarding = true;
            return malformed("a message of type '" + type + "' that cannot be read");
        }
    }

    private boolean reserveMemory(int length) {
        if (length <= maxUnreservedLength && length <= maxUnreservedBytes - unreservedBytes) {
            unreservedBytes += length;
            return true;
        }
        boolean reserved = memoryBudget.tryReserve(length);
        reservedBytes += reserved ? length : 0;
        return reserved;
    }

    /** Releases the memory of all received messages, which the caller no longer uses. */
    public final void releaseMemory() {
        memoryBudget.release(reservedBytes);
        reservedBytes = 0;
        unreservedBytes = 0;
    }

    /** Discards all further input. */
    public final void discardInput() {
        discarding = true;
    }

    /** Whether a message has been received only in part. */
    public final boolean hasPartialMessage() {
        return actualReadableBytes() > 0 || bytesToSkip > 0;
    }

    @Override
    protected final void handlerRemoved0(ChannelHandlerContext context) {
        releaseMemory();
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
