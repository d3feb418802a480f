package rig;

import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;

/** A client with one connection to a router. */
public final class Client implements AutoCloseable {
    /** The answer to a query: a value, or the code of an error; neither if there was none. */
    public record Answer(String value, String errorCode, String errorText, String none) {
        public boolean served() {
            return value != null;
        }

        /** Whether the answer tells that trying again is harmless. */
        public boolean refused() {
            return "53300".equals(errorCode) || "57P03".equals(errorCode);
        }

        @Override
        public String toString() {
            return value != null ? "served " + value : errorCode != null ? "error " + errorCode + " " + errorText : none;
        }
    }

    private final Socket socket;
    private final DataInputStream in;

    public Client(int port) throws IOException {
        socket = new Socket("127.0.0.1", port);
        socket.setTcpNoDelay(true);
        in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
        socket.setSoTimeout(5000);
        socket.getOutputStream().write(new Wire().startup("client", "core").bytes());
        for (Wire.Message message = Wire.read(in); message == null || message.type() != 'Z'; message = Wire.read(in)) {
            if (message == null) {
                throw new IOException("the router closed the connection");
            } else if (message.type() == 'E') {
                throw new IOException("the router refused the connection: " + message.field('C'));
            }
        }
    }

    /** Sends a query and waits for its answer. */
    public Answer ask(String query, int waitMillis) throws IOException {
        socket.getOutputStream().write(new Wire().query(query).bytes());
        socket.setSoTimeout(waitMillis);
        String value = null;
        try {
            for (Wire.Message message = Wire.read(in); message != null; message = Wire.read(in)) {
                switch (message.type()) {
                    case 'D' -> value = new String(message.body(), 6, message.body().length - 6, java.nio.charset.StandardCharsets.UTF_8);
                    case 'I' -> value = "";
                    case 'C' -> value = value == null ? message.text() : value;
                    case 'E' -> {
                        var error = new Answer(null, message.field('C'), message.field('M'), null);
                        readToReady();
                        return error;
                    }
                    case 'Z' -> {
                        return new Answer(value, null, null, null);
                    }
                    default -> {}
                }
            }
            return new Answer(null, null, null, "connection closed without an answer");
        } catch (SocketTimeoutException e) {
            return new Answer(null, null, null, "no answer in " + waitMillis + " ms");
        }
    }

    private void readToReady() {
        try {
            for (Wire.Message message = Wire.read(in); message != null && message.type() != 'Z'; message = Wire.read(in)) {
                // skip
            }
        } catch (IOException e) {
            // after a fatal error no ReadyForQuery is needed
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
