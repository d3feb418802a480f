package clayhook.protocol;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Cuts the stream into messages: a type, a length that counts itself, a body. Holds only what has come. */
abstract class FrameDecoder extends ByteToMessageDecoder {
    private final Allowance allowance;
    /** Shorter messages go without an allowance. */
    private final int untaken;
    /** What the messages that came take of it until they are done with, or the connection ends. */
    private int taken;

    private boolean broken;
    /** The message in hand has been let in. */
    private boolean coming;

    FrameDecoder(Allowance allowance, int untaken) {
        this.allowance = allowance;
        this.untaken = untaken;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
        if (broken) {
            in.skipBytes(in.readableBytes());
            return;
        }
        int header = typed() ? 1 : 0;
        if (in.readableBytes() < header + 4) {
            return;
        }
        int length = in.getInt(in.readerIndex() + header);
        if (length < 4 || length > longest()) {
            broken = true;
            in.skipBytes(in.readableBytes());
            out.add(malformed("a message of length " + Integer.toUnsignedString(length)));
            return;
        }
        if (!coming && !mayCome(length)) {
            broken = true;
            in.skipBytes(in.readableBytes());
            out.add(tooMuch());
            return;
        }
        coming = in.readableBytes() < header + length;
        if (coming) {
            return;
        }
        ByteBuf message = in.readSlice(header + length);
        char type = typed() ? (char) (message.readByte() & 0xff) : 0;
        message.skipBytes(4);
        try {
            out.add(message(type, message));
        } catch (IndexOutOfBoundsException | IllegalArgumentException e) {
            broken = true;
            out.add(malformed("a message of type '" + type + "' that cannot be read"));
        }
    }

    /** Nothing that comes is to be understood any more. */
    public final void discard() {
        broken = true;
    }

    /** Part of a message has come. */
    public final boolean holdsPart() {
        return actualReadableBytes() > 0;
    }

    /** Whether the next message has a type. */
    abstract boolean typed();

    /** The longest message that may come next. */
    abstract int longest();

    /** The message whose body is to be read; its header has been. */
    abstract Object message(char type, ByteBuf body);

    abstract Object malformed(String why);

    private boolean mayCome(int length) {
        boolean may = length <= untaken || allowance.take(length);
        taken += may && length > untaken ? length : 0;
        return may;
    }

    /** All messages that came are done with. */
    public final void release() {
        allowance.give(taken);
        taken = 0;
    }

    @Override
    protected final void handlerRemoved0(ChannelHandlerContext context) {
        release();
    }

    /** What is told of a message that there is no memory for. */
    Object tooMuch() {
        return malformed("a message too long for now");
    }

    /** Text up to its closing zero. */
    static String text(ByteBuf body) {
        int length = body.bytesBefore((byte) 0);
        if (length < 0) {
            throw new IllegalArgumentException("text without its end");
        }
        String text = body.readCharSequence(length, StandardCharsets.UTF_8).toString();
        body.skipBytes(1);
        return text;
    }
}
