package clayhook.protocol;

import io.netty.buffer.ByteBuf;

/** Decodes the messages of one node connection into {@link NodeMessage}s. Confined to the event loop. */
public final class NodeMessageDecoder extends FrameDecoder {
    /**
     * Longest message in bytes. Values that were not written through a router can be several times as long as those
     * that clients may write through one.
     */
    private static final int MAX_MESSAGE_LENGTH = 1 << 20;
    /** Messages longer than this number of bytes need memory from the budget. */
    private static final int MAX_UNRESERVED_LENGTH = 4096;
    /** Bytes of a RowDescription column after its name: table, number, type, size, modifier and format. */
    private static final int COLUMN_DESCRIPTION_BYTES = 18;
    /** The length in a DataRow that marks a null value. */
    private static final int NULL_VALUE_LENGTH = -1;
    /** The ReadyForQuery status of a session outside a transaction. */
    private static final byte NO_TRANSACTION = 'I';

    private static final int CANCEL_KEY_BYTES = 8;

    private boolean freeFormResult;

    /** Creates the decoder of one connection, which at first expects results of one column without null values. */
    public NodeMessageDecoder(MemoryBudget memoryBudget) {
        super(memoryBudget, MAX_UNRESERVED_LENGTH, Integer.MAX_VALUE);
    }

    /** Sets whether the next response may have any number of columns and null values, as with arbitrary SQL. */
    public void expectFreeFormResult(boolean expected) {
        freeFormResult = expected;
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
    Object malformed(String reason) {
        return new NodeMessage.Malformed(reason);
    }

    @Override
    Object decodeBody(char type, ByteBuf body) {
        Object message =
                switch (type) {
                    case 'R' -> decodeAuthentication(body);
                    case 'S' -> new NodeMessage.ParameterStatus(readString(body), readString(body));
                    case 'T', 'D', 'C', 'I' -> decodeResult(type, body);
                    case 'E' -> decodeError(body);
                    case 'N' -> new NodeMessage.Notice(decodeError(body).message());
                    case 'A' -> freeFormResult ? decodeNotification(body) : malformed("a notification");
                    case 'Z' -> decodeReadyForQuery(body);
                    case 'K' -> decodeCancelKey(body);
                    default -> malformed("an unknown message of type " + (int) type);
                };
        require(!body.isReadable() || message instanceof NodeMessage.Malformed);
        return message;
    }

    private Object decodeAuthentication(ByteBuf body) {
        return body.readInt() == 0 ? new NodeMessage.AuthenticationOk() : malformed("asks for a password");
    }

    private static Object decodeNotification(ByteBuf body) {
        body.skipBytes(body.readableBytes());
        return new NodeMessage.Notification();
    }

    private static Object decodeReadyForQuery(ByteBuf body) {
        require(body.readByte() == NO_TRANSACTION);
        return new NodeMessage.ReadyForQuery();
    }

    private static Object decodeCancelKey(ByteBuf body) {
        body.skipBytes(CANCEL_KEY_BYTES);
        return new NodeMessage.CancelKey();
    }

    private Object decodeResult(char type, ByteBuf body) {
        byte[] message = copyMessage(body);
        switch (type) {
            case 'T' -> checkRowDescription(body);
            case 'D' -> checkDataRow(body);
            case 'C' -> readString(body);
            default -> {} // an EmptyQueryResponse has no body
        }
        return new NodeMessage.ResultMessage(type, message);
    }

    private void checkRowDescription(ByteBuf body) {
        int columns = readColumnCount(body);
        for (int i = 0; i < columns; i++) {
            readString(body);
            body.skipBytes(COLUMN_DESCRIPTION_BYTES);
        }
    }

    private void checkDataRow(ByteBuf body) {
        int columns = readColumnCount(body);
        for (int i = 0; i < columns; i++) {
            int length = body.readInt();
            require(length >= 0 || (freeFormResult && length == NULL_VALUE_LENGTH));
            body.skipBytes(Math.max(0, length));
        }
    }

    private int readColumnCount(ByteBuf body) {
        int columns = body.readUnsignedShort();
        require(freeFormResult || columns == 1);
        return columns;
    }

    private static void require(boolean valid) {
        if (!valid) {
            throw new IllegalArgumentException("malformed message body");
        }
    }

    /**
     * Copies a whole message, including its type byte and length.
     *
     * @param body the message, whose header has already been read
     */
    private static byte[] copyMessage(ByteBuf body) {
        byte[] message = new byte[body.writerIndex()];
        body.getBytes(0, message);
        return message;
    }

    private static NodeMessage.ErrorResponse decodeError(ByteBuf body) {
        byte[] message = copyMessage(body);
        String sqlState = "";
        String text = "";
        for (byte field = body.readByte(); field != 0; field = body.readByte()) {
            String value = readString(body);
            sqlState = field == 'C' ? value : sqlState;
            text = field == 'M' ? value : text;
        }
        return new NodeMessage.ErrorResponse(sqlState, text, message);
    }
}
