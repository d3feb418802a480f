package clayhook.frontend;

import clayhook.protocol.MessageEncoder;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * A client over a blocking socket. When a write returns, the bytes are in the router's socket buffer. The client reads
 * only when the test requests a response.
 */
public final class SocketClient {
    private static final int READ_TIMEOUT_MS = 20_000;
    /** The message length above which a value is represented by its length. */
    private static final int LONG_VALUE_BYTES = 1000;

    private static final int CANCEL_REQUEST_CODE = 80877102;

    public final Socket socket;
    private final DataInputStream in;
    /** The key for cancel requests; set once the session is ready. */
    public long cancelKey;
    /** The message of the last error. */
    public String lastErrorMessage;

    /** Connects to a router. */
    public SocketClient(InetSocketAddress router) throws IOException {
        socket = new Socket(router.getAddress(), router.getPort());
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(READ_TIMEOUT_MS);
        in = new DataInputStream(socket.getInputStream());
    }

    /** Sends all parts as one sequence of bytes. */
    public SocketClient send(ByteBuf... parts) throws IOException {
        ByteBuf all = Unpooled.wrappedBuffer(parts);
        all.readBytes(socket.getOutputStream(), all.readableBytes());
        return this;
    }

    /** The message that cancels the current request of another session. */
    public static ByteBuf cancelRequest(long key) {
        return Unpooled.buffer().writeInt(16).writeInt(CANCEL_REQUEST_CODE).writeLong(key);
    }

    /** Sends a start-up message, followed immediately by other messages. */
    public SocketClient sendStartup(ByteBuf... after) throws IOException {
        return send(MessageEncoder.startupMessage("client", "core")).send(after);
    }

    /**
     * Reads one response and returns a summary: the value, or its length if it is long; the SQLSTATE code of an error;
     * or "ready" if the response has neither. If the connection ends during the response, "closed", "reset" or the
     * exception is appended.
     */
    public String readResponse() throws IOException {
        String summary = "";
        try {
            while (true) {
                char type = (char) in.readByte();
                byte[] body = new byte[in.readInt() - 4];
                in.readFully(body);
                ByteBuf bytes = Unpooled.wrappedBuffer(body);
                switch (type) {
                    case 'D' ->
                        summary = body.length > LONG_VALUE_BYTES
                                ? "" + body.length
                                : bytes.toString(6, body.length - 6, StandardCharsets.UTF_8);
                    case 'E' -> summary = parseError(new String(body, StandardCharsets.UTF_8));
                    case 'K' -> cancelKey = bytes.readLong();
                    case 'Z' -> {
                        return summary.isEmpty() ? "ready" : summary;
                    }
                    default -> {}
                }
            }
        } catch (EOFException e) {
            return (summary + " closed").strip();
        } catch (IOException e) {
            return (summary + " " + (e.getMessage().contains("reset") ? "reset" : e)).strip();
        }
    }

    private String parseError(String fields) {
        String sqlState = null;
        for (String field : fields.split("\0")) {
            sqlState = field.startsWith("C") ? field.substring(1) : sqlState;
            lastErrorMessage = field.startsWith("M") ? field.substring(1) : lastErrorMessage;
        }
        return sqlState;
    }
}
