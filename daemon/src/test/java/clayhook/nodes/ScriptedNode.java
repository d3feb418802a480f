package clayhook.nodes;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** A node whose every step a test takes itself, over blocking sockets. */
final class ScriptedNode implements AutoCloseable {
    /** Guards against a test that fails by waiting for ever: reads cannot be interrupted. */
    private static final int PATIENCE_MS = 50_000;

    private final ServerSocket listening;

    ScriptedNode() throws IOException {
        listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        listening.setSoTimeout(PATIENCE_MS);
    }

    InetSocketAddress address() {
        return new InetSocketAddress(listening.getInetAddress(), listening.getLocalPort());
    }

    /** The next connection, with its startup message read and nothing said yet. */
    Peer accept() throws IOException {
        return new Peer(listening.accept());
    }

    /** The next connection, welcomed. */
    Peer welcome() throws IOException {
        Peer peer = accept();
        peer.write(WELCOME);
        return peer;
    }

    @Override
    public void close() throws IOException {
        listening.close();
    }

    static final String WELCOME = message('R', "\0\0\0\0") + message('Z', "I");

    /** An answer of one row up to its end, and the readiness after it. */
    static String answer(String value) {
        return whole(value) + message('Z', "I");
    }

    static String whole(String value) {
        return message('T', "\0\1val\0" + "\0".repeat(18))
                + message('D', "\0\1\0\0\0" + (char) value.length() + value)
                + message('C', "SELECT 1\0");
    }

    static String message(char type, String body) {
        int length = 4 + body.length();
        return type + "" + (char) (length >> 24 & 0xff) + (char) (length >> 16 & 0xff) + (char) (length >> 8 & 0xff)
                + (char) (length & 0xff) + body;
    }

    static final class Peer {
        private final Socket socket;
        private final DataInputStream in;

        private Peer(Socket socket) throws IOException {
            this.socket = socket;
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(PATIENCE_MS);
            in = new DataInputStream(socket.getInputStream());
            in.readNBytes(in.readInt() - 4);
        }

        void write(String bytes) throws IOException {
            socket.getOutputStream().write(bytes.getBytes(ISO_8859_1));
        }

        /** The text of the next query, or null at the end of the connection. */
        String query() throws IOException {
            int type = in.read();
            return type < 0 ? null : new String(in.readNBytes(in.readInt() - 4), ISO_8859_1);
        }

        /** The first byte of a query has come, and no more is read. */
        void begin() throws IOException {
            in.readByte();
        }

        /** How many bytes come until the end. */
        long left() throws IOException {
            return in.skip(Long.MAX_VALUE);
        }

        /** Ends the connection, and returns once the other machine has all that was written and the end. */
        void close() throws IOException {
            socket.setSoLinger(true, 30);
            socket.close();
        }

        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }
}
