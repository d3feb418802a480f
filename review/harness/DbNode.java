import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A sound node: it answers the two forms of statement and SHOW load; a case overrides {@link #respond}. */
class DbNode implements AutoCloseable {
    private static final Pattern READ = Pattern.compile("SELECT val FROM state WHERE uid = '([^']*)' /\\* (.*) \\*/");
    private static final Pattern WRITE = Pattern.compile(
            "INSERT INTO state \\(uid, val\\) VALUES \\('([^']*)', '\\\\x([0-9a-f]*)'\\) RETURNING val /\\* (.*) \\*/");
    private static final Pattern ID = Pattern.compile("id=([0-9a-zA-Z_-]+)");

    /** A statement as the node received it. */
    record Statement(boolean write, String key, String id, String value) {}

    final Case run;
    final String uid;
    volatile boolean primary;
    private final ServerSocket server;
    final AtomicInteger inFlight = new AtomicInteger();
    /** How often the node has run each request. */
    final Map<String, Integer> executed = new ConcurrentHashMap<>();

    DbNode(Case run, String uid, boolean primary) throws IOException {
        this.run = run;
        this.uid = uid;
        this.primary = primary;
        server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        Threads.start(this::accept);
    }

    int port() {
        return server.getLocalPort();
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = server.accept();
            Threads.start(() -> serve(socket));
        }
    }

    /** The options of an accepted connection; the default leaves those of the system. */
    void prepare(Socket socket) throws IOException {
        socket.setTcpNoDelay(true);
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            prepare(socket);
            var in = new DataInputStream(new java.io.BufferedInputStream(socket.getInputStream()));
            OutputStream out = socket.getOutputStream();
            Pg.read(in, false);
            out.write(Pg.startupAnswer());
            while (true) {
                Pg.Message message = Pg.read(in, true);
                if (message.type() != 'Q') {
                    return;
                }
                String text = Pg.firstString(message.body());
                if (text.equals("SHOW load")) {
                    out.write(Pg.row(load(), "SHOW", parameters()));
                    continue;
                }
                Statement statement = parse(text);
                if (statement == null) {
                    run.log(uid, "08P01 for " + text.substring(0, Math.min(120, text.length())));
                    out.write(Pg.error("08P01", "no such statement"));
                    continue;
                }
                inFlight.incrementAndGet();
                try {
                    respond(statement, out);
                } finally {
                    inFlight.decrementAndGet();
                }
            }
        }
    }

    /** Runs a statement and writes its answer. */
    void respond(Statement statement, OutputStream out) throws Exception {
        Thread.sleep(20);
        out.write(answer(statement));
    }

    /** Runs a statement and returns its answer. */
    final byte[] answer(Statement statement) {
        if (statement.write() && !primary) {
            return Pg.error("25006", "not the primary");
        }
        executed.merge(statement.id(), 1, Integer::sum);
        return Pg.row(value(statement), statement.write() ? "INSERT 0 1" : "SELECT 1", parameters());
    }

    /** The value made for a request: it names the request. */
    static String value(Statement statement) {
        return statement.key() + "/" + statement.id();
    }

    final byte[] parameters() {
        return Pg.join(
                Pg.parameter("role", primary ? "primary" : "replica"),
                Pg.parameter("applied_ms", Long.toString(System.currentTimeMillis())),
                Pg.parameter("load", load()));
    }

    private String load() {
        return "x0=" + System.currentTimeMillis() / 1000.0 + ",x1=" + (primary ? 1 : 0) + ",inflight=" + inFlight.get();
    }

    private static Statement parse(String text) {
        Matcher read = READ.matcher(text);
        Matcher write = WRITE.matcher(text);
        boolean writes = write.matches();
        if (!writes && !read.matches()) {
            return null;
        }
        Matcher id = ID.matcher(writes ? write.group(3) : read.group(2));
        String key = writes ? write.group(1) : read.group(1);
        return id.find() ? new Statement(writes, key, id.group(1), writes ? write.group(2) : "") : null;
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
