package clayhook.backend;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** A node that a test controls step by step, over blocking sockets. */
final class ScriptedNode implements AutoCloseable {
    /** The answer to a startup message: AuthenticationOk and ReadyForQuery. */
    static final String STARTUP_ANSWER = message('R', "\0\0\0\0") + message('Z', "I");

    /** Ends a test that would otherwise block forever, because blocking reads cannot be interrupted. */
    private static final int READ_TIMEOUT_MS = 50_000;

    private static final int BACKLOG = 50;
    /** The maximum time that a close waits until the other side has acknowledged all written data. */
    private static final int LINGER_SECONDS = 30;

    private final ServerSocket serverSocket;

    ScriptedNode() throws IOException {
        serverSocket = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        serverSocket.setSoTimeout(READ_TIMEOUT_MS);
    }

    InetSocketAddress address() {
        return new InetSocketAddress(serverSocket.getInetAddress(), serverSocket.getLocalPort());
    }

    /** Accepts the next connection and reads its startup message; writes nothing. */
    ScriptedConnection accept() throws IOException {
        return new ScriptedConnection(serverSocket.accept());
    }

    /** Accepts the next connection and answers its startup message. */
    ScriptedConnection acceptAndStart() throws IOException {
        ScriptedConnection connection = accept();
        connection.write(STARTUP_ANSWER);
        return connection;
    }

    @Override
    public void close() throws IOException {
        serverSocket.close();
    }

    /** The answer to a barrier query: EmptyQueryResponse and ReadyForQuery. */
    static final String BARRIER_ANSWER = message('I', "") + message('Z', "I");

    /** Encodes an answer of one row, including ReadyForQuery. */
    static String answer(String value) {
        return answerWithoutReady(value) + message('Z', "I");
    }

    private static String answerWithoutReady(String value) {
        return message('T', "\0\1val\0" + "\0".repeat(18))
                + message('D', "\0\1\0\0\0" + (char) value.length() + value)
                + message('C', "SELECT 1\0");
    }

    /** Encodes a protocol message; each character stands for one byte. */
    static String message(char type, String body) {
        int length = 4 + body.length();
        return type + "" + (char) (length >> 24 & 0xff) + (char) (length >> 16 & 0xff) + (char) (length >> 8 & 0xff)
                + (char) (length & 0xff) + body;
    }

    /** The node's side of a connection. */
    static final class ScriptedConnection {
        private final Socket socket;
        private final DataInputStream in;

        private ScriptedConnection(Socket socket) throws IOException {
            this.socket = socket;
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(READ_TIMEOUT_MS);
            in = new DataInputStream(socket.getInputStream());
            in.readNBytes(in.readInt() - 4);
        }

        void write(String bytes) throws IOException {
            socket.getOutputStream().write(bytes.getBytes(ISO_8859_1));
        }

        /** Reads the text of the next query; returns null at the end of the stream. */
        String readQuery() throws IOException {
            int type = in.read();
            return type < 0 ? null : new String(in.readNBytes(in.readInt() - 4), ISO_8859_1);
        }

        /** Reads the barrier query, which follows each answer, and answers it. */
        void passBarrier() throws IOException {
            assertEquals("\0", readQuery());
            write(BARRIER_ANSWER);
        }

        /** Reads the first byte of a query, and no more. */
        void awaitFirstByte() throws IOException {
            in.readByte();
        }

        /** Reads up to the end of the stream and returns the number of bytes read. */
        long skipToEnd() throws IOException {
            return in.skip(Long.MAX_VALUE);
        }

        /** Closes the connection; returns once the other side has received all written data and the end of stream. */
        void close() throws IOException {
            socket.setSoLinger(true, LINGER_SECONDS);
            socket.close();
        }

        /** Closes the connection with a TCP reset. */
        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }
}
