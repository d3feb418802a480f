package clayhook.sql;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;

/** A blocking client that reads the response to each statement before it sends the next statement. */
final class SqlClient implements AutoCloseable {
    /** Far longer than any response takes, so that only a failed test reaches this limit. */
    private static final int READ_TIMEOUT_MS = 60_000;

    private final Socket socket = new Socket();
    private final DataInputStream in;
    private final OutputStream out;

    SqlClient(InetSocketAddress address, String... parameters) throws IOException {
        socket.connect(address);
        socket.setSoTimeout(READ_TIMEOUT_MS);
        in = new DataInputStream(socket.getInputStream());
        out = socket.getOutputStream();
        byte[] text = (String.join("\0", parameters) + "\0\0").getBytes(UTF_8);
        out.write(ByteBuffer.allocate(8 + text.length)
                .putInt(8 + text.length)
                .putInt(3 << 16)
                .put(text)
                .array());
    }

    void send(String statement) throws IOException {
        byte[] text = (statement + '\0').getBytes(UTF_8);
        out.write(ByteBuffer.allocate(5 + text.length)
                .put((byte) 'Q')
                .putInt(4 + text.length)
                .put(text)
                .array());
    }

    /**
     * Reads one response and returns the types of its messages, with command tags and SQLSTATE codes:
     * {@code "E(42601)"} for an error, or {@code "TDC(SELECT 1)"} for one row.
     */
    String readResponse() throws IOException {
        var summary = new StringBuilder();
        while (true) {
            char type = (char) in.readByte();
            byte[] body = in.readNBytes(in.readInt() - 4);
            if (type == 'Z') {
                return summary.toString();
            } else if (type == 'E' || type == 'N') {
                summary.append(type).append('(').append(sqlState(body)).append(')');
            } else if (type == 'C') {
                summary.append("C(")
                        .append(new String(body, 0, body.length - 1, UTF_8))
                        .append(')');
            } else if (type != 'S' && type != 'R' && type != 'K' && type != 'v') {
                summary.append(type);
            }
        }
    }

    private static String sqlState(byte[] body) {
        for (String field : new String(body, UTF_8).split("\0")) {
            if (field.startsWith("C")) {
                return field.substring(1);
            }
        }
        return "";
    }

    String query(String statement) throws IOException {
        send(statement);
        return readResponse();
    }

    /** Ends the session; returns false if the router sent an unexpected message before it closed the connection. */
    boolean terminate() throws IOException {
        out.write(new byte[] {'X', 0, 0, 0, 4});
        try {
            in.readByte();
            return false;
        } catch (EOFException e) {
            return true;
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
