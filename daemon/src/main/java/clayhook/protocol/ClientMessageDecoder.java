package clayhook.protocol;

import io.netty.buffer.ByteBuf;
import java.util.LinkedHashMap;
import java.util.Map;

/** Decodes what a client sends. */
public final class ClientMessageDecoder extends FrameDecoder {
    private static final int CANCEL_REQUEST_CODE = 80877102;
    private static final int SSL_REQUEST_CODE = 80877103;
    private static final int GSS_ENCRYPTION_REQUEST_CODE = 80877104;
    /** No session is given this one. */
    public static final long NO_CANCEL_KEY = 0;
    /** Values hold 64 KiB, and twice that in hex digits; the rest is for the statement around them. */
    private static final int MAX_MESSAGE_LENGTH = 160 * 1024;
    /** As long as the reference server takes it. */
    private static final int MAX_STARTUP_LENGTH = 10_000;
    /** Shorter messages go without an allowance: all clients together may send as many as a session reads ahead. */
    private static final int MAX_UNRESERVED_LENGTH = 1024;

    private final boolean acceptsAnyStatement;
    private boolean startupDone;

    /** {@code sql}: statements of any kind are taken, and what a client tells at its start counts. */
    public ClientMessageDecoder(MemoryBudget allowance, boolean sql) {
        super(allowance, MAX_UNRESERVED_LENGTH);
        this.acceptsAnyStatement = sql;
    }

    public ClientMessageDecoder(MemoryBudget allowance) {
        this(allowance, false);
    }

    @Override
    boolean hasTypeByte() {
        return startupDone;
    }

    @Override
    int maxMessageLength() {
        return startupDone ? MAX_MESSAGE_LENGTH : MAX_STARTUP_LENGTH;
    }

    @Override
    Object outOfMemory() {
        return new ClientMessage.Malformed("53300", "no memory is left for a long statement");
    }

    @Override
    Object malformed(String why) {
        return new ClientMessage.Malformed("08P01", why);
    }

    @Override
    Object decodeBody(char type, ByteBuf body) {
        if (!startupDone) {
            return decodeFirstMessage(body);
        }
        return switch (type) {
            case 'Q' -> decodeQuery(body);
            case 'X' -> new ClientMessage.Terminate();
            case 'S' -> new ClientMessage.Sync();
            case 'P', 'B', 'D', 'E', 'C' -> new ClientMessage.Extended();
            case 'F' -> new ClientMessage.FunctionCall();
            case 'H', 'd', 'c', 'f' -> new ClientMessage.Ignored();
            default -> malformed("an unknown message of type " + (int) type);
        };
    }

    private Object decodeFirstMessage(ByteBuf body) {
        int version = body.readInt();
        if (version == SSL_REQUEST_CODE || version == GSS_ENCRYPTION_REQUEST_CODE) {
            return new ClientMessage.EncryptionRequest();
        } else if (version == CANCEL_REQUEST_CODE) {
            return new ClientMessage.CancelRequest(body.readableBytes() < Long.BYTES ? NO_CANCEL_KEY : body.readLong());
        } else if (version >>> 16 != 3) {
            return new ClientMessage.Malformed("0A000", "protocol version " + (version >>> 16) + " is not supported");
        }
        startupDone = true;
        return new ClientMessage.Startup(version & 0xffff, acceptsAnyStatement ? readParameters(body) : Map.of());
    }

    private static Map<String, String> readParameters(ByteBuf body) {
        var parameters = new LinkedHashMap<String, String>();
        for (String name = readString(body); !name.isEmpty(); name = readString(body)) {
            parameters.put(name, readString(body));
        }
        return parameters;
    }

    private Object decodeQuery(ByteBuf body) {
        int length = body.bytesBefore((byte) 0);
        if (length < 0) {
            throw new IllegalArgumentException("a query without its end");
        }
        byte[] text = new byte[length];
        body.readBytes(text);
        if (isBlank(text)) {
            return new ClientMessage.EmptyQuery();
        } else if (acceptsAnyStatement) {
            return new ClientMessage.SqlQuery(text);
        }
        try {
            return new ClientMessage.Query(KeyValueStatement.parse(text));
        } catch (IllegalArgumentException e) {
            return new ClientMessage.UnreadableQuery(e.getMessage());
        }
    }

    private static boolean isBlank(byte[] text) {
        for (byte b : text) {
            if (b > ' ' && b != ';' || b < 0) {
                return false;
            }
        }
        return true;
    }
}
