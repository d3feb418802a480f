package clayhook.protocol;

import static java.nio.charset.StandardCharsets.UTF_8;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Encodes messages to clients and nodes. Stateless; the caller owns the returned buffers. */
public final class MessageEncoder {
    private static final byte[] READY_FOR_QUERY = {'Z', 0, 0, 0, 5, 'I'};
    private static final int LENGTH_BYTES = 4;
    private static final int PROTOCOL_VERSION = 3 << 16;
    private static final String SERVER_VERSION_PARAMETER = "server_version";
    private static final String SERVER_VERSION = "15.0";

    private MessageEncoder() {}

    /**
     * Encodes the response to a start-up message for a server without cancel keys. Otherwise equivalent to
     * {@link #startupResponse(int, long, Map)}.
     */
    public static ByteBuf startupResponse(int minorVersion, Map<String, String> parameters) {
        return startupResponse(minorVersion, ClientMessageDecoder.NO_CANCEL_KEY, parameters);
    }

    /**
     * Encodes the response to a start-up message, after which the session is ready for queries.
     *
     * @param minorVersion the minor protocol version requested by the client; if it is above 0, the response negotiates
     *     version 3.0
     * @param cancelKey the key with which the client may cancel its requests
     * @param parameters settings to report after the fixed ones, in this order
     */
    public static ByteBuf startupResponse(int minorVersion, long cancelKey, Map<String, String> parameters) {
        ByteBuf out = Unpooled.buffer(128);
        if (minorVersion > 0) {
            out.writeByte('v').writeInt(12).writeInt(PROTOCOL_VERSION).writeInt(0);
        }
        out.writeByte('R').writeInt(8).writeInt(0);
        appendParameterStatus(out, SERVER_VERSION_PARAMETER, SERVER_VERSION);
        appendParameterStatus(out, "client_encoding", "UTF8");
        appendParameterStatus(out, "standard_conforming_strings", "on");
        parameters.forEach((name, value) -> appendParameterStatus(out, name, value));
        out.writeByte('K').writeInt(12).writeLong(cancelKey);
        return out.writeBytes(READY_FOR_QUERY);
    }

    /**
     * Encodes the response to a statement that has completed and returns no rows.
     *
     * @param tag the command tag
     * @param setting the name of a setting to report with the response, or null
     * @param value the value of that setting
     */
    public static ByteBuf commandComplete(String tag, String setting, String value) {
        ByteBuf out = Unpooled.buffer(64);
        if (setting != null) {
            appendParameterStatus(out, setting, value);
        }
        byte[] text = tag.getBytes(UTF_8);
        out.writeByte('C').writeInt(LENGTH_BYTES + text.length + 1);
        return out.writeBytes(text).writeByte(0).writeBytes(READY_FOR_QUERY);
    }

    private static void appendParameterStatus(ByteBuf out, String name, String value) {
        byte[] nameBytes = name.getBytes(UTF_8);
        byte[] valueBytes = value.getBytes(UTF_8);
        out.writeByte('S').writeInt(LENGTH_BYTES + nameBytes.length + 1 + valueBytes.length + 1);
        out.writeBytes(nameBytes).writeByte(0).writeBytes(valueBytes).writeByte(0);
    }

    /**
     * Encodes a message without effect, which a client skips wherever it receives it: a parameter that is as before.
     */
    public static ByteBuf livenessProbe() {
        ByteBuf out = Unpooled.buffer(32);
        appendParameterStatus(out, SERVER_VERSION_PARAMETER, SERVER_VERSION);
        return out;
    }

    /** Encodes the response that declines encryption; the session continues unencrypted. */
    public static ByteBuf encryptionRefused() {
        return Unpooled.buffer(1).writeByte('N');
    }

    /** Encodes the response to a query without a statement. */
    public static ByteBuf emptyQueryResponse() {
        return Unpooled.buffer(16).writeByte('I').writeInt(LENGTH_BYTES).writeBytes(READY_FOR_QUERY);
    }

    /** Encodes the message that the session is ready for the next statement. */
    public static ByteBuf readyForQuery() {
        return Unpooled.wrappedBuffer(READY_FOR_QUERY);
    }

    /** Wraps the messages of a node's response without copying them, followed by ReadyForQuery. */
    public static ByteBuf response(List<byte[]> messages) {
        byte[][] parts = messages.toArray(new byte[messages.size() + 1][]);
        parts[messages.size()] = READY_FOR_QUERY;
        return Unpooled.wrappedBuffer(parts);
    }

    /**
     * Encodes an error, followed by ReadyForQuery unless the error is fatal.
     *
     * @param fatal whether the connection is closed after the error
     * @param detail the detail field of the error, or null
     */
    public static ByteBuf error(boolean fatal, String sqlState, String text, String detail) {
        ByteBuf out = Unpooled.buffer(128).writeByte('E').writeInt(0);
        String severity = fatal ? "FATAL" : "ERROR";
        appendErrorField(out, 'S', severity);
        appendErrorField(out, 'V', severity);
        appendErrorField(out, 'C', sqlState);
        appendErrorField(out, 'M', text);
        if (detail != null) {
            appendErrorField(out, 'D', detail);
        }
        out.writeByte(0);
        out.setInt(1, out.writerIndex() - 1);
        return fatal ? out : out.writeBytes(READY_FOR_QUERY);
    }

    private static void appendErrorField(ByteBuf out, char type, String value) {
        out.writeByte(type).writeBytes(value.getBytes(UTF_8)).writeByte(0);
    }

    /** Encodes an error without ReadyForQuery, for the extended query protocol or as part of a longer response. */
    public static ByteBuf errorWithoutReadiness(String sqlState, String text) {
        ByteBuf out = error(false, sqlState, text, null);
        return out.writerIndex(out.writerIndex() - READY_FOR_QUERY.length);
    }

    /** Encodes an error as one message of a response. */
    public static byte[] errorMessage(String sqlState, String text) {
        ByteBuf message = errorWithoutReadiness(sqlState, text);
        byte[] bytes = new byte[message.readableBytes()];
        message.readBytes(bytes);
        return bytes;
    }

    /**
     * Encodes the start-up message of a client.
     *
     * @param settings alternating names and values
     */
    public static ByteBuf startupMessage(String user, String database, String... settings) {
        ByteBuf out = Unpooled.buffer(48).writeInt(0).writeInt(PROTOCOL_VERSION);
        var strings = new ArrayList<>(List.of("user", user, "database", database));
        strings.addAll(List.of(settings));
        for (String string : strings) {
            out.writeBytes(string.getBytes(UTF_8)).writeByte(0);
        }
        out.writeByte(0);
        return out.setInt(0, out.writerIndex());
    }

    /**
     * Encodes a simple query.
     *
     * @param text the text of the query without a terminating zero
     */
    public static ByteBuf query(byte[] text) {
        ByteBuf out = Unpooled.buffer(text.length + 6);
        out.writeByte('Q').writeInt(LENGTH_BYTES + text.length + 1);
        return out.writeBytes(text).writeByte(0);
    }
}
