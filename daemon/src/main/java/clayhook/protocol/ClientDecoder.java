package clayhook.protocol;

import io.netty.buffer.ByteBuf;
import java.util.LinkedHashMap;
import java.util.Map;

/** Decodes what a client sends. */
public final class ClientDecoder extends FrameDecoder {
    private static final int CANCEL = 80877102;
    private static final int SSL = 80877103;
    private static final int GSS = 80877104;
    /** No session is given this one. */
    public static final long NO_KEY = 0;
    /** Values hold 64 KiB, and twice that in hex digits; the rest is for the statement around them. */
    private static final int LONGEST = 160 * 1024;
    /** As long as the reference server takes it. */
    private static final int LONGEST_STARTUP = 10_000;
    /** Shorter messages go without an allowance: all clients together may send as many as a session reads ahead. */
    private static final int SHORT = 1024;

    private final boolean sql;
    private boolean started;

    /** {@code sql}: statements of any kind are taken, and what a client tells at its start counts. */
    public ClientDecoder(Allowance allowance, boolean sql) {
        super(allowance, SHORT);
        this.sql = sql;
    }

    public ClientDecoder(Allowance allowance) {
        this(allowance, false);
    }

    @Override
    boolean typed() {
        return started;
    }

    @Override
    int longest() {
        return started ? LONGEST : LONGEST_STARTUP;
    }

    @Override
    Object tooMuch() {
        return new ClientMessage.Malformed("53300", "no memory is left for a long statement");
    }

    @Override
    Object malformed(String why) {
        return new ClientMessage.Malformed("08P01", why);
    }

    @Override
    Object message(char type, ByteBuf body) {
        if (!started) {
            return first(body);
        }
        return switch (type) {
            case 'Q' -> query(body);
            case 'X' -> new ClientMessage.Terminate();
            case 'S' -> new ClientMessage.Sync();
            case 'P', 'B', 'D', 'E', 'C' -> new ClientMessage.Extended();
            case 'F' -> new ClientMessage.FunctionCall();
            case 'H', 'd', 'c', 'f' -> new ClientMessage.Ignored();
            default -> malformed("an unknown message of type " + (int) type);
        };
    }

    private Object first(ByteBuf body) {
        int version = body.readInt();
        if (version == SSL || version == GSS) {
            return new ClientMessage.EncryptionRequest();
        } else if (version == CANCEL) {
            return new ClientMessage.CancelRequest(body.readableBytes() < Long.BYTES ? NO_KEY : body.readLong());
        } else if (version >>> 16 != 3) {
            return new ClientMessage.Malformed("0A000", "protocol version " + (version >>> 16) + " is not supported");
        }
        started = true;
        return new ClientMessage.Startup(version & 0xffff, sql ? parameters(body) : Map.of());
    }

    private static Map<String, String> parameters(ByteBuf body) {
        var parameters = new LinkedHashMap<String, String>();
        for (String name = text(body); !name.isEmpty(); name = text(body)) {
            parameters.put(name, text(body));
        }
        return parameters;
    }

    private Object query(ByteBuf body) {
        int length = body.bytesBefore((byte) 0);
        if (length < 0) {
            throw new IllegalArgumentException("a query without its end");
        }
        byte[] text = new byte[length];
        body.readBytes(text);
        if (blank(text)) {
            return new ClientMessage.EmptyQuery();
        } else if (sql) {
            return new ClientMessage.Sql(text);
        }
        try {
            return new ClientMessage.Query(Statement.parse(text));
        } catch (IllegalArgumentException e) {
            return new ClientMessage.UnreadableQuery(e.getMessage());
        }
    }

    private static boolean blank(byte[] text) {
        for (byte b : text) {
            if (b > ' ' && b != ';' || b < 0) {
                return false;
            }
        }
        return true;
    }
}
