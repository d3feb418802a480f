package clayhook.protocol;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Splits a byte stream into messages: a type byte where there is one, a length that includes itself, and a body.
 * Buffers no more than what has arrived. After a message that cannot be read it emits one that says so, and discards
 * all further input. Event loop only.
 */
abstract class FrameDecoder extends ByteToMessageDecoder {
    private static final int LENGTH_BYTES = 4;

    private final MemoryBudget memoryBudget;
    /** Messages up to this length in bytes need no reservation. */
    private final int maxUnreservedLength;
    /** Of all messages since the memory was last released, the first so many bytes need no reservation. */
    private final int maxUnreservedBytes;
    /** Reserved for the messages that have arrived, until the owner of the connection releases it. */
    private int reservedBytes;

    private int unreservedBytes;

    /** Bytes that are still to come of a message that is skipped. */
    private int bytesToSkip;

    private boolean discarding;
    /** The header of the current message has been checked, and its memory reserved. */
    private boolean admitted;

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
            discardAfter(malformed("a message of length " + Integer.toUnsignedString(length)), in, out);
            return;
        }
        if (!admitted && !reserveMemory(length)) {
            skipOrDiscard(typeBytes + length, in, out);
            return;
        }
        admitted = in.readableBytes() < typeBytes + length;
        if (!admitted) {
            out.add(decodeMessage(in.readSlice(typeBytes + length)));
        }
    }

    private void skipOrDiscard(int messageBytes, ByteBuf in, List<Object> out) {
        if (hasTypeByte() && maySkip(in.getByte(in.readerIndex()))) {
            bytesToSkip = messageBytes;
            skip(in, out);
        } else {
            discardAfter(outOfMemory(), in, out);
        }
    }

    /** Drops a message without keeping any of it; once it has come whole, another stands in its place. */
    private void skip(ByteBuf in, List<Object> out) {
        int length = Math.min(bytesToSkip, in.readableBytes());
        in.skipBytes(length);
        bytesToSkip -= length;
        if (bytesToSkip == 0) {
            out.add(skipped());
        }
    }

    private void discardAfter(Object lastMessage, ByteBuf in, List<Object> out) {
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

    /** Returns the memory of all messages that have arrived: the caller is done with them. */
    public final void releaseMemory() {
        memoryBudget.release(reservedBytes);
        reservedBytes = 0;
        unreservedBytes = 0;
    }

    /** Decodes nothing that arrives from now on. */
    public final void discardInput() {
        discarding = true;
    }

    /** Whether part of a message has arrived. */
    public final boolean hasPartialMessage() {
        return actualReadableBytes() > 0 || bytesToSkip > 0;
    }

    @Override
    protected final void handlerRemoved0(ChannelHandlerContext context) {
        releaseMemory();
    }

    /** Whether the next message begins with a type byte. */
    abstract boolean hasTypeByte();

    /** The greatest length in bytes that the next message may state. */
    abstract int maxMessageLength();

    /**
     * Decodes a message whose header has been read.
     *
     * @param type 0 where the message has no type byte
     * @param body the message, at its first byte after the header; valid during the call only
     * @throws IndexOutOfBoundsException if the body is too short
     * @throws IllegalArgumentException if the body has no valid form
     */
    abstract Object decodeBody(char type, ByteBuf body);

    /** The message that is emitted in place of one that cannot be read. */
    abstract Object malformed(String reason);

    /** The message that is emitted in place of one for which no memory is left and after which nothing is read. */
    Object outOfMemory() {
        return malformed("a message too long for now");
    }

    /** Whether a message of that type may be skipped where no memory is left for it; {@link #skipped} then follows. */
    boolean maySkip(byte type) {
        return false;
    }

    /** The message that is emitted in place of one that was skipped. */
    Object skipped() {
        throw new IllegalStateException("no message is skipped");
    }

    /** Reads text up to and with its closing zero; throws IllegalArgumentException if there is none. */
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
