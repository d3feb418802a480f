package clayhook.protocol;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Cuts the stream into messages: a type, a length that counts itself, a body. Holds only what has come. */
abstract class FrameDecoder extends ByteToMessageDecoder {
    private final MemoryBudget memoryBudget;
    /** Shorter messages go without an allowance. */
    private final int maxUnreservedLength;
    /** What the messages that came take of it until they are done with, or the connection ends. */
    private int reservedBytes;

    private boolean discarding;
    /** The message in hand has been let in. */
    private boolean admitted;

    FrameDecoder(MemoryBudget allowance, int untaken) {
        this.memoryBudget = allowance;
        this.maxUnreservedLength = untaken;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
        if (discarding) {
            in.skipBytes(in.readableBytes());
            return;
        }
        int header = hasTypeByte() ? 1 : 0;
        if (in.readableBytes() < header + 4) {
            return;
        }
        int length = in.getInt(in.readerIndex() + header);
        if (length < 4 || length > maxMessageLength()) {
            discarding = true;
            in.skipBytes(in.readableBytes());
            out.add(malformed("a message of length " + Integer.toUnsignedString(length)));
            return;
        }
        if (!admitted && !reserveMemory(length)) {
            discarding = true;
            in.skipBytes(in.readableBytes());
            out.add(outOfMemory());
            return;
        }
        admitted = in.readableBytes() < header + length;
        if (admitted) {
            return;
        }
        ByteBuf message = in.readSlice(header + length);
        char type = hasTypeByte() ? (char) (message.readByte() & 0xff) : 0;
        message.skipBytes(4);
        try {
            out.add(decodeBody(type, message));
        } catch (IndexOutOfBoundsException | IllegalArgumentException e) {
            discarding = true;
            out.add(malformed("a message of type '" + type + "' that cannot be read"));
        }
    }

    /** Nothing that comes is to be understood any more. */
    public final void discardInput() {
        discarding = true;
    }

    /** Part of a message has come. */
    public final boolean hasPartialMessage() {
        return actualReadableBytes() > 0;
    }

    /** Whether the next message has a type. */
    abstract boolean hasTypeByte();

    /** The longest message that may come next. */
    abstract int maxMessageLength();

    /** The message whose body is to be read; its header has been. */
    abstract Object decodeBody(char type, ByteBuf body);

    abstract Object malformed(String why);

    private boolean reserveMemory(int length) {
        boolean may = length <= maxUnreservedLength || memoryBudget.tryReserve(length);
        reservedBytes += may && length > maxUnreservedLength ? length : 0;
        return may;
    }

    /** All messages that came are done with. */
    public final void releaseMemory() {
        memoryBudget.release(reservedBytes);
        reservedBytes = 0;
    }

    @Override
    protected final void handlerRemoved0(ChannelHandlerContext context) {
        releaseMemory();
    }

    /** What is told of a message that there is no memory for. */
    Object outOfMemory() {
        return malformed("a message too long for now");
    }

    /** Text up to its closing zero. */
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
