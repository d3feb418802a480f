import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.concurrent.ThreadLocalRandom;

/** A sound client: one connection, one request at a time. */
final class Client implements AutoCloseable {
    /** The end of a request: "served" with a value, "refused", "failed" or "none" with the reason. */
    record Result(String kind, String text) {}

    private final Router router;
    private Socket socket;
    private DataInputStream in;
    private DataOutputStream out;

    Client(Router router) {
        this.router = router;
    }

    static String newId() {
        return String.format("%016x", ThreadLocalRandom.current().nextLong());
    }

    static String read(String key, String id, String group, int timeoutMs, int cluster) {
        return "SELECT val FROM state WHERE uid = '" + key + "' /* id=" + id + ",c=" + group + ",d=" + timeoutMs
                + ",cluster=" + cluster + " */";
    }

    static String write(String key, String hex, String id, String group, int timeoutMs, String mark, int cluster) {
        return "INSERT INTO state (uid, val) VALUES ('" + key + "', '\\x" + hex + "') RETURNING val /* id=" + id + ",c="
                + group + ",d=" + timeoutMs + (mark == null ? "" : ",k=" + mark) + ",cluster=" + cluster + " */";
    }

    /** Opens the connection unless it is open; the startup message goes out with the first query. */
    byte[] connect() throws IOException {
        if (socket != null) {
            return new byte[0];
        }
        socket = router.connect();
        in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
        out = new DataOutputStream(socket.getOutputStream());
        return Pg.startup();
    }

    /** Sends a statement, and waits at most that long for its final answer. */
    Result ask(String statement, int waitMs) {
        try {
            byte[] startup = connect();
            Pg.send(out, Pg.join(startup, Pg.query(statement)));
            return receive(startup.length > 0, waitMs);
        } catch (SocketTimeoutException e) {
            close();
            return new Result("none", "no answer in " + waitMs + " ms");
        } catch (EOFException e) {
            close();
            return new Result("none", "the router closed the connection");
        } catch (IOException e) {
            close();
            return new Result("none", e.getMessage());
        }
    }

    private Result receive(boolean startup, int waitMs) throws IOException {
        long end = System.nanoTime() + waitMs * 1_000_000L;
        boolean started = !startup;
        Result result = null;
        String value = null;
        while (true) {
            socket.setSoTimeout((int) Math.max(1, (end - System.nanoTime()) / 1_000_000));
            Pg.Message message = Pg.read(in, true);
            switch (message.type()) {
                case 'D' -> value = new String(message.body(), 6, message.body().length - 6);
                case 'C' -> result = new Result("served", value);
                case 'E' -> {
                    String code = Pg.errorField(message.body(), 'C');
                    boolean refused = code.equals("53300") || code.equals("57P03");
                    result = new Result(refused ? "refused" : "failed", code + " "
                            + Pg.errorField(message.body(), 'M'));
                    if (Pg.errorField(message.body(), 'S').equals("FATAL")) {
                        close();
                        return result;
                    }
                }
                case 'Z' -> {
                    if (started && result != null) {
                        return result;
                    }
                    started = true;
                }
                default -> {}
            }
        }
    }

    @Override
    public void close() {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            // closed already
        }
        socket = null;
    }
}
