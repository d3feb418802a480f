package clayhook.protocol;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Cuts the stream into messages: a type, a length that counts itself, a body. Holds only what has come. */
abstract class FrameDecoder extends ByteToMessageDecoder {
    private boolean broken;
    /** The message in hand has been let in. */
    private boolean coming;

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

    /** Whether there is memory for a message of that length. */
    boolean mayCome(int length) {
        return true;
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
