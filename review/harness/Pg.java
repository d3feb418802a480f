import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/** The messages of version 3 of PostgreSQL's wire protocol that the stand-ins use. */
final class Pg {
    /** One message: its type and its body. */
    record Message(char type, byte[] body) {}

    private Pg() {}

    static byte[] message(char type, byte[] body) {
        var out = new ByteArrayOutputStream();
        if (type != 0) {
            out.write(type);
        }
        int length = body.length + 4;
        out.write(length >>> 24);
        out.write(length >>> 16);
        out.write(length >>> 8);
        out.write(length);
        out.writeBytes(body);
        return out.toByteArray();
    }

    static byte[] text(String... strings) {
        var out = new ByteArrayOutputStream();
        for (String string : strings) {
            out.writeBytes(string.getBytes(StandardCharsets.UTF_8));
            out.write(0);
        }
        return out.toByteArray();
    }

    static byte[] join(byte[]... parts) {
        var out = new ByteArrayOutputStream();
        for (byte[] part : parts) {
            out.writeBytes(part);
        }
        return out.toByteArray();
    }

    static byte[] startup() {
        return message((char) 0, join(new byte[] {0, 3, 0, 0}, text("user", "client", "database", "core"), new byte[1]));
    }

    static byte[] query(String statement) {
        return message('Q', text(statement));
    }

    static byte[] ready() {
        return message('Z', new byte[] {'I'});
    }

    static byte[] parameter(String name, String value) {
        return message('S', text(name, value));
    }

    static byte[] startupAnswer() {
        return join(message('R', new byte[4]), parameter("server_version", "15.0"), message('K', new byte[8]), ready());
    }

    /** RowDescription, one DataRow of one column, CommandComplete, the parameters and ReadyForQuery. */
    static byte[] row(String value, String tag, byte[]... parameters) {
        byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
        byte[] length = {
            (byte) (bytes.length >>> 24), (byte) (bytes.length >>> 16), (byte) (bytes.length >>> 8), (byte) bytes.length
        };
        return join(
                message('T', join(new byte[] {0, 1}, text("val"), new byte[18])),
                message('D', join(new byte[] {0, 1}, length, bytes)),
                message('C', text(tag)),
                join(parameters),
                ready());
    }

    static byte[] error(String code, String reason) {
        return join(message('E', join(text("SERROR", "C" + code, "M" + reason), new byte[1])), ready());
    }

    static Message read(DataInputStream in, boolean hasType) throws IOException {
        char type = hasType ? (char) in.readUnsignedByte() : 0;
        int length = in.readInt();
        if (length < 4 || length > 4 << 20) {
            throw new IOException("a message of length " + length);
        }
        byte[] body = new byte[length - 4];
        in.readFully(body);
        return new Message(type, body);
    }

    static String firstString(byte[] body) {
        int end = 0;
        while (end < body.length && body[end] != 0) {
            end++;
        }
        return new String(body, 0, end, StandardCharsets.UTF_8);
    }

    /** The field of an ErrorResponse with this code. */
    static String errorField(byte[] body, char code) {
        int i = 0;
        while (i < body.length && body[i] != 0) {
            int end = i + 1;
            while (end < body.length && body[end] != 0) {
                end++;
            }
            if (body[i] == code) {
                return new String(body, i + 1, end - i - 1, StandardCharsets.UTF_8);
            }
            i = end + 1;
        }
        return "";
    }

    static void send(DataOutputStream out, byte[] bytes) throws IOException {
        out.write(bytes);
        out.flush();
    }
}
