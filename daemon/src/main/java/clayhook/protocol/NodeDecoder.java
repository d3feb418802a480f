package clayhook.protocol;

import io.netty.buffer.ByteBuf;

/** Decodes what a node sends. */
public final class NodeDecoder extends FrameDecoder {
    /** Some values that were written elsewhere are several times as long as those that clients may write here. */
    private static final int LONGEST = 1 << 20;
    /** Shorter messages go without an allowance. */
    private static final int SHORT = 4096;
    /** What describes a column after its name: table, number, type, size, modifier and format. */
    private static final int COLUMN = 18;
    /** The length of a column without a value. */
    private static final int NULL = -1;

    /** Answers may have any columns. */
    private boolean free;

    public NodeDecoder(Allowance allowance) {
        super(allowance, SHORT);
    }

    /** Whether what comes next is the answer to a statement of any kind. */
    public void free(boolean answers) {
        free = answers;
    }

    @Override
    boolean typed() {
        return true;
    }

    @Override
    int longest() {
        return LONGEST;
    }

    @Override
    Object malformed(String why) {
        return new NodeMessage.Malformed(why);
    }

    @Override
    Object message(char type, ByteBuf body) {
        byte[] whole = "TDCEN".indexOf(type) < 0 && !(free && type == 'I') ? null : whole(body);
        Object message =
                switch (type) {
                    case 'R' ->
                        body.readInt() == 0 ? new NodeMessage.AuthenticationOk() : malformed("asks for a password");
                    case 'S' -> new NodeMessage.ParameterStatus(text(body), text(body));
                    case 'T', 'D', 'C' -> {
                        part(type, body);
                        yield new NodeMessage.Part(type, whole);
                    }
                    case 'I' -> free ? new NodeMessage.Part(type, whole) : malformed("an answer to an empty query");
                    case 'E' -> error(body, whole);
                    case 'N' -> {
                        error(body, whole);
                        yield new NodeMessage.Notice(whole);
                    }
                    case 'A' -> {
                        body.skipBytes(body.readableBytes());
                        yield free ? new NodeMessage.Notification() : malformed("a notification");
                    }
                    case 'Z' -> {
                        check(body.readByte() == 'I');
                        yield new NodeMessage.ReadyForQuery();
                    }
                    case 'K' -> {
                        body.skipBytes(8);
                        yield new NodeMessage.CancelKey();
                    }
                    default -> malformed("an unknown message of type " + (int) type);
                };
        check(!body.isReadable() || message instanceof NodeMessage.Malformed);
        return message;
    }

    /** Checks a part of an answer: one column unless any may come, and lengths that fit. */
    private void part(char type, ByteBuf body) {
        if (type == 'C') {
            text(body);
            return;
        }
        int columns = body.readUnsignedShort();
        check(free || columns == 1);
        for (int i = 0; i < columns; i++) {
            if (type == 'T') {
                text(body);
                body.skipBytes(COLUMN);
            } else {
                int length = body.readInt();
                check(length >= 0 || free && length == NULL);
                body.skipBytes(Math.max(0, length));
            }
        }
    }

    private static void check(boolean fits) {
        if (!fits) {
            throw new IllegalArgumentException("a message that does not fit its form");
        }
    }

    private static byte[] whole(ByteBuf body) {
        byte[] message = new byte[body.writerIndex()];
        body.getBytes(0, message);
        return message;
    }

    private static NodeMessage error(ByteBuf body, byte[] whole) {
        String code = "";
        String text = "";
        for (byte field = body.readByte(); field != 0; field = body.readByte()) {
            String value = text(body);
            code = field == 'C' ? value : code;
            text = field == 'M' ? value : text;
        }
        return new NodeMessage.ErrorResponse(code, text, whole);
    }
}
