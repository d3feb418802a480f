package clayhook.protocol;

import io.netty.buffer.ByteBuf;

/** Decodes what a node sends. */
public final class NodeMessageDecoder extends FrameDecoder {
    /** Some values that were written elsewhere are several times as long as those that clients may write here. */
    private static final int MAX_MESSAGE_LENGTH = 1 << 20;
    /** Shorter messages go without an allowance. */
    private static final int MAX_UNRESERVED_LENGTH = 4096;
    /** What describes a column after its name: table, number, type, size, modifier and format. */
    private static final int COLUMN_DESCRIPTION_BYTES = 18;
    /** The length of a column without a value. */
    private static final int NULL_VALUE_LENGTH = -1;

    /** Answers may have any columns. */
    private boolean freeFormResult;

    public NodeMessageDecoder(MemoryBudget allowance) {
        super(allowance, MAX_UNRESERVED_LENGTH);
    }

    /** Whether what comes next is the answer to a statement of any kind. */
    public void expectFreeFormResult(boolean answers) {
        freeFormResult = answers;
    }

    @Override
    boolean hasTypeByte() {
        return true;
    }

    @Override
    int maxMessageLength() {
        return MAX_MESSAGE_LENGTH;
    }

    @Override
    Object malformed(String why) {
        return new NodeMessage.Malformed(why);
    }

    @Override
    Object decodeBody(char type, ByteBuf body) {
        byte[] whole = "TDCEN".indexOf(type) < 0 && !(freeFormResult && type == 'I') ? null : copyMessage(body);
        Object message =
                switch (type) {
                    case 'R' ->
                        body.readInt() == 0 ? new NodeMessage.AuthenticationOk() : malformed("asks for a password");
                    case 'S' -> new NodeMessage.ParameterStatus(readString(body), readString(body));
                    case 'T', 'D', 'C' -> {
                        checkResultMessage(type, body);
                        yield new NodeMessage.Part(type, whole);
                    }
                    case 'I' ->
                        freeFormResult ? new NodeMessage.Part(type, whole) : malformed("an answer to an empty query");
                    case 'E' -> decodeError(body, whole);
                    case 'N' -> {
                        decodeError(body, whole);
                        yield new NodeMessage.Notice(whole);
                    }
                    case 'A' -> {
                        body.skipBytes(body.readableBytes());
                        yield freeFormResult ? new NodeMessage.Notification() : malformed("a notification");
                    }
                    case 'Z' -> {
                        require(body.readByte() == 'I');
                        yield new NodeMessage.ReadyForQuery();
                    }
                    case 'K' -> {
                        body.skipBytes(8);
                        yield new NodeMessage.CancelKey();
                    }
                    default -> malformed("an unknown message of type " + (int) type);
                };
        require(!body.isReadable() || message instanceof NodeMessage.Malformed);
        return message;
    }

    /** Checks a part of an answer: one column unless any may come, and lengths that fit. */
    private void checkResultMessage(char type, ByteBuf body) {
        if (type == 'C') {
            readString(body);
            return;
        }
        int columns = body.readUnsignedShort();
        require(freeFormResult || columns == 1);
        for (int i = 0; i < columns; i++) {
            if (type == 'T') {
                readString(body);
                body.skipBytes(COLUMN_DESCRIPTION_BYTES);
            } else {
                int length = body.readInt();
                require(length >= 0 || freeFormResult && length == NULL_VALUE_LENGTH);
                body.skipBytes(Math.max(0, length));
            }
        }
    }

    private static void require(boolean fits) {
        if (!fits) {
            throw new IllegalArgumentException("a message that does not fit its form");
        }
    }

    private static byte[] copyMessage(ByteBuf body) {
        byte[] message = new byte[body.writerIndex()];
        body.getBytes(0, message);
        return message;
    }

    private static NodeMessage decodeError(ByteBuf body, byte[] whole) {
        String code = "";
        String text = "";
        for (byte field = body.readByte(); field != 0; field = body.readByte()) {
            String value = readString(body);
            code = field == 'C' ? value : code;
            text = field == 'M' ? value : text;
        }
        return new NodeMessage.ErrorResponse(code, text, whole);
    }
}
