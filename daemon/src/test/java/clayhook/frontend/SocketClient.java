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
 * A client over a plain socket: a write has reached the router's machine when it returns, and nothing is read unasked.
 */
public final class SocketClient {
    private static final int READ_TIMEOUT_MS = 20_000;
    public final Socket socket;
    private final DataInputStream in;
    /** What the router gave it to cancel by. */
    public long cancelKey;
    /** The text of the last error. */
    public String lastErrorMessage;

    public SocketClient(InetSocketAddress router) throws IOException {
        socket = new Socket(router.getAddress(), router.getPort());
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(READ_TIMEOUT_MS);
        in = new DataInputStream(socket.getInputStream());
    }

    public SocketClient send(ByteBuf... parts) throws IOException {
        ByteBuf all = Unpooled.wrappedBuffer(parts);
        all.readBytes(socket.getOutputStream(), all.readableBytes());
        return this;
    }

    public static ByteBuf cancelRequest(long key) {
        return Unpooled.buffer().writeInt(16).writeInt(80877102).writeLong(key);
    }

    public SocketClient sendStartup(ByteBuf... after) throws IOException {
        return send(MessageEncoder.startupMessage("client", "core")).send(after);
    }

    /**
     * A word an answer: the value, or its length where that is long; the code of the error, or ready for what had
     * neither; with closed or reset behind it where the connection ended so.
     */
    public String readResponse() throws IOException {
        String word = "";
        try {
            while (true) {
                char type = (char) in.readByte();
                byte[] body = new byte[in.readInt() - 4];
                in.readFully(body);
                ByteBuf bytes = Unpooled.wrappedBuffer(body);
                switch (type) {
                    case 'D' ->
                        word = body.length > 1000
                                ? "" + body.length
                                : bytes.toString(6, body.length - 6, StandardCharsets.UTF_8);
                    case 'E' -> word = parseError(new String(body, StandardCharsets.UTF_8));
                    case 'K' -> cancelKey = bytes.readLong();
                    case 'Z' -> {
                        return word.isEmpty() ? "ready" : word;
                    }
                    default -> {}
                }
            }
        } catch (EOFException e) {
            return (word + " closed").strip();
        } catch (IOException e) {
            return (word + " " + (e.getMessage().contains("reset") ? "reset" : e)).strip();
        }
    }

    private String parseError(String fields) {
        String code = null;
        for (String field : fields.split("\0")) {
            code = field.startsWith("C") ? field.substring(1) : code;
            lastErrorMessage = field.startsWith("M") ? field.substring(1) : lastErrorMessage;
        }
        return code;
    }
}
