package clayhook.protocol;

import static java.nio.charset.StandardCharsets.UTF_8;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Encodes what goes to clients and nodes. */
public final class MessageEncoder {
    private static final byte[] READY_FOR_QUERY = {'Z', 0, 0, 0, 5, 'I'};

    private MessageEncoder() {}

    /** Of a server that cancels nothing. */
    public static ByteBuf startupResponse(int minor, Map<String, String> more) {
        return startupResponse(minor, 0, more);
    }

    /**
     * The session stands; {@code minor} is the version of the protocol that the client asked for, {@code cancelKey}
     * what it cancels by.
     */
    public static ByteBuf startupResponse(int minor, long cancelKey, Map<String, String> more) {
        ByteBuf out = Unpooled.buffer(128);
        if (minor > 0) {
            out.writeByte('v').writeInt(12).writeInt(3 << 16).writeInt(0);
        }
        out.writeByte('R').writeInt(8).writeInt(0);
        appendParameterStatus(out, "server_version", "15.0");
        appendParameterStatus(out, "client_encoding", "UTF8");
        appendParameterStatus(out, "standard_conforming_strings", "on");
        more.forEach((name, value) -> appendParameterStatus(out, name, value));
        out.writeByte('K').writeInt(12).writeLong(cancelKey);
        return out.writeBytes(READY_FOR_QUERY);
    }

    /** The command was carried out; {@code name} is a setting that is told anew, or null. */
    public static ByteBuf commandComplete(String tag, String name, String value) {
        ByteBuf out = Unpooled.buffer(64);
        if (name != null) {
            appendParameterStatus(out, name, value);
        }
        byte[] text = tag.getBytes(UTF_8);
        return out.writeByte('C')
                .writeInt(4 + text.length + 1)
                .writeBytes(text)
                .writeByte(0)
                .writeBytes(READY_FOR_QUERY);
    }

    private static void appendParameterStatus(ByteBuf out, String name, String value) {
        byte[] first = name.getBytes(UTF_8);
        byte[] second = value.getBytes(UTF_8);
        out.writeByte('S').writeInt(4 + first.length + 1 + second.length + 1);
        out.writeBytes(first).writeByte(0).writeBytes(second).writeByte(0);
    }

    public static ByteBuf encryptionRefused() {
        return Unpooled.buffer(1).writeByte('N');
    }

    public static ByteBuf emptyQueryResponse() {
        return Unpooled.buffer(16).writeByte('I').writeInt(4).writeBytes(READY_FOR_QUERY);
    }

    public static ByteBuf readyForQuery() {
        return Unpooled.wrappedBuffer(READY_FOR_QUERY);
    }

    /** The messages of an answer as the node gave them, and that the session is ready again. */
    public static ByteBuf response(List<byte[]> messages) {
        byte[][] parts = messages.toArray(new byte[messages.size() + 1][]);
        parts[messages.size()] = READY_FOR_QUERY;
        return Unpooled.wrappedBuffer(parts);
    }

    /** An error; {@code detail} may be null. After a fatal one the connection ends. */
    public static ByteBuf error(boolean fatal, String code, String text, String detail) {
        ByteBuf out = Unpooled.buffer(128).writeByte('E').writeInt(0);
        String severity = fatal ? "FATAL" : "ERROR";
        appendErrorField(out, 'S', severity);
        appendErrorField(out, 'V', severity);
        appendErrorField(out, 'C', code);
        appendErrorField(out, 'M', text);
        if (detail != null) {
            appendErrorField(out, 'D', detail);
        }
        out.writeByte(0);
        out.setInt(1, out.writerIndex() - 1);
        return fatal ? out : out.writeBytes(READY_FOR_QUERY);
    }

    private static void appendErrorField(ByteBuf out, char name, String value) {
        out.writeByte(name).writeBytes(value.getBytes(UTF_8)).writeByte(0);
    }

    /** An error without the readiness that follows elsewhere; for messages up to a Sync. */
    public static ByteBuf errorWithoutReadiness(String code, String text) {
        ByteBuf out = error(false, code, text, null);
        return out.writerIndex(out.writerIndex() - READY_FOR_QUERY.length);
    }

    /** An error as one message of an answer. */
    public static byte[] errorMessage(String code, String text) {
        ByteBuf message = errorWithoutReadiness(code, text);
        byte[] bytes = new byte[message.readableBytes()];
        message.readBytes(bytes);
        return bytes;
    }

    /** {@code more}: names and values of settings, by turns. */
    public static ByteBuf startupMessage(String user, String database, String... more) {
        ByteBuf out = Unpooled.buffer(48).writeInt(0).writeInt(3 << 16);
        var words = new ArrayList<>(List.of("user", user, "database", database));
        words.addAll(List.of(more));
        for (String word : words) {
            out.writeBytes(word.getBytes(UTF_8)).writeByte(0);
        }
        out.writeByte(0);
        return out.setInt(0, out.writerIndex());
    }

    public static ByteBuf query(byte[] text) {
        return Unpooled.buffer(text.length + 6)
                .writeByte('Q')
                .writeInt(text.length + 5)
                .writeBytes(text)
                .writeByte(0);
    }
}
