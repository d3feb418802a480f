package rig;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/** Messages of version 3 of the PostgreSQL protocol, as far as the stand-ins use them. */
public final class Wire {
    /** A message: its type, or 0 for a startup message, and its body without the length. */
    public record Message(char type, byte[] body) {
        /** The text up to the first zero byte. */
        public String text() {
            int end = 0;
            while (end < body.length && body[end] != 0) {
                end++;
            }
            return new String(body, 0, end, StandardCharsets.UTF_8);
        }

        /** A field of an ErrorResponse, or null. */
        public String field(char name) {
            int i = 0;
            while (i < body.length && body[i] != 0) {
                int end = i + 1;
                while (body[end] != 0) {
                    end++;
                }
                if (body[i] == name) {
                    return new String(body, i + 1, end - i - 1, StandardCharsets.UTF_8);
                }
                i = end + 1;
            }
            return null;
        }
    }

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();

    /** Reads a message with a type byte; returns null at the end of the stream. */
    public static Message read(DataInputStream in) throws IOException {
        int type = in.read();
        if (type < 0) {
            return null;
        }
        int length = in.readInt();
        byte[] body = new byte[length - 4];
        in.readFully(body);
        return new Message((char) type, body);
    }

    /** Reads the startup message; returns null at the end of the stream. */
    public static Message readStartup(DataInputStream in) throws IOException {
        try {
            int length = in.readInt();
            byte[] body = new byte[length - 4];
            in.readFully(body);
            return new Message((char) 0, body);
        } catch (EOFException e) {
            return null;
        }
    }

    /** The bytes of all messages added. */
    public byte[] bytes() {
        return out.toByteArray();
    }

    private Wire message(char type, byte[] body) {
        if (type != 0) {
            out.write(type);
        }
        writeInt(body.length + 4);
        out.writeBytes(body);
        return this;
    }

    private void writeInt(int value) {
        out.write(value >>> 24);
        out.write(value >>> 16);
        out.write(value >>> 8);
        out.write(value);
    }

    private static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    public Wire startup(String user, String database) {
        var body = new ByteArrayOutputStream();
        body.writeBytes(new byte[] {0, 3, 0, 0});
        body.writeBytes(utf8("user\0" + user + "\0database\0" + database + "\0\0"));
        return message((char) 0, body.toByteArray());
    }

    public Wire query(String text) {
        return message('Q', utf8(text + "\0"));
    }

    public Wire authenticationOk() {
        return message('R', new byte[4]);
    }

    public Wire backendKey() {
        return message('K', new byte[] {0, 0, 0, 1, 0, 0, 0, 1});
    }

    public Wire parameter(String name, String value) {
        return message('S', utf8(name + "\0" + value + "\0"));
    }

    public Wire ready() {
        return message('Z', new byte[] {'I'});
    }

    public Wire emptyQueryResponse() {
        return message('I', new byte[0]);
    }

    public Wire commandComplete(String tag) {
        return message('C', utf8(tag + "\0"));
    }

    public Wire row(String column, String value, String tag) {
        var description = new ByteArrayOutputStream();
        description.writeBytes(new byte[] {0, 1});
        description.writeBytes(utf8(column + "\0"));
        description.writeBytes(new byte[] {0, 0, 0, 0, 0, 0, 0, 0, 0, 25, -1, -1, -1, -1, -1, -1, 0, 0});
        message('T', description.toByteArray());
        byte[] bytes = utf8(value);
        var row = new ByteArrayOutputStream();
        row.writeBytes(new byte[] {0, 1});
        row.writeBytes(new byte[] {
            (byte) (bytes.length >>> 24), (byte) (bytes.length >>> 16), (byte) (bytes.length >>> 8), (byte) bytes.length
        });
        row.writeBytes(bytes);
        message('D', row.toByteArray());
        return commandComplete(tag);
    }

    public Wire error(String sqlState, String text) {
        return message('E', utf8("SERROR\0VERROR\0C" + sqlState + "\0M" + text + "\0\0"));
    }
}
