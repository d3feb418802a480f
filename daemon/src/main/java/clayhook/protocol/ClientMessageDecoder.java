package clayhook.protocol;

import io.netty.buffer.ByteBuf;
import java.util.LinkedHashMap;
import java.util.Map;

/** Decodes the messages of one client connection into {@link ClientMessage}s. Confined to the event loop. */
public final class ClientMessageDecoder extends FrameDecoder {
    /** The key reported for a cancel request without one; no session uses it. */
    public static final long NO_CANCEL_KEY = 0;

    private static final int CANCEL_REQUEST_CODE = 80877102;
    private static final int SSL_REQUEST_CODE = 80877103;
    private static final int GSS_ENCRYPTION_REQUEST_CODE = 80877104;
    private static final int MAJOR_VERSION = 3;
    /**
     * Longest message after the start-up, in bytes: a value of up to 64 KiB takes twice its length as hex digits, and
     * the rest is for the statement around it.
     */
    private static final int MAX_MESSAGE_LENGTH = 160 * 1024;
    /** Longest start-up message in bytes; the limit of the reference server. */
    private static final int MAX_STARTUP_LENGTH = 10_000;
    /** Messages longer than this number of bytes need memory from the budget. */
    private static final int MAX_UNRESERVED_LENGTH = 1024;
    /** Shorter messages need memory from the budget if the client has sent more unprocessed bytes than this. */
    private static final int MAX_UNRESERVED_BYTES = 32 * MAX_UNRESERVED_LENGTH;

    private static final char QUERY = 'Q';
    private static final String NO_MEMORY = "no memory is left for a long statement";

    private final boolean acceptsAnyStatement;
    private boolean startupDone;

    /**
     * Creates the decoder of one connection.
     *
     * @param acceptsAnyStatement whether queries may contain any SQL and start-up parameters are decoded; if false,
     *     only the two forms of {@link KeyValueStatement} are accepted
     */
    public ClientMessageDecoder(MemoryBudget memoryBudget, boolean acceptsAnyStatement) {
        super(memoryBudget, MAX_UNRESERVED_LENGTH, MAX_UNRESERVED_BYTES);
        this.acceptsAnyStatement = acceptsAnyStatement;
    }

    /** Creates a decoder that accepts only the two forms of {@link KeyValueStatement}. */
    public ClientMessageDecoder(MemoryBudget memoryBudget) {
        this(memoryBudget, false);
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
        return new ClientMessage.Malformed(SqlState.TOO_MANY_CONNECTIONS, NO_MEMORY);
    }

    /**
     * Queries are skipped rather than ending the session: the same segment may contain further statements, which have
     * to be answered as well.
     */
    @Override
    boolean maySkip(byte type) {
        return type == QUERY;
    }

    @Override
    Object skipped() {
        return new ClientMessage.SkippedQuery(NO_MEMORY);
    }

    @Override
    Object malformed(String reason) {
        return new ClientMessage.Malformed(SqlState.PROTOCOL_VIOLATION, reason);
    }

    @Override
    Object decodeBody(char type, ByteBuf body) {
        if (!startupDone) {
            return decodeFirstMessage(body);
        }
        return switch (type) {
            case QUERY -> decodeQuery(body);
            case 'X' -> new ClientMessage.Terminate();
            case 'S' -> new ClientMessage.Sync();
            case 'P', 'B', 'D', 'E', 'C' -> new ClientMessage.Extended();
            case 'F' -> new ClientMessage.FunctionCall();
            case 'H', 'd', 'c', 'f' -> new ClientMessage.Ignored();
            default -> malformed("an unknown message of type " + (int) type);
        };
    }

    private Object decodeFirstMessage(ByteBuf body) {
        int code = body.readInt();
        if (code == SSL_REQUEST_CODE || code == GSS_ENCRYPTION_REQUEST_CODE) {
            return new ClientMessage.EncryptionRequest();
        }
        if (code == CANCEL_REQUEST_CODE) {
            return new ClientMessage.CancelRequest(body.readableBytes() < Long.BYTES ? NO_CANCEL_KEY : body.readLong());
        }
        int majorVersion = code >>> 16;
        int minorVersion = code & 0xffff;
        if (majorVersion != MAJOR_VERSION) {
            return new ClientMessage.Malformed(
                    SqlState.FEATURE_NOT_SUPPORTED, "protocol version " + majorVersion + " is not supported");
        }
        startupDone = true;
        return new ClientMessage.Startup(minorVersion, acceptsAnyStatement ? readParameters(body) : Map.of());
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
        }
        if (acceptsAnyStatement) {
            return new ClientMessage.SqlQuery(text);
        }
        try {
            return new ClientMessage.Query(KeyValueStatement.parse(text));
        } catch (InvalidStatementException e) {
            return new ClientMessage.UnreadableQuery(e.getMessage());
        }
    }

    /** Whether the text consists of white space, control characters and semicolons; bytes above 127 count as text. */
    private static boolean isBlank(byte[] text) {
        for (byte b : text) {
            if ((b > ' ' && b != ';') || b < 0) {
                return false;
            }
        }
        return true;
    }
}
