import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A sound discovery service over HTTP/1.1: the whole list, changes after a version, and watches. */
final class Discovery implements AutoCloseable {
    private static final Pattern AFTER = Pattern.compile("after=(-?\\d+)");
    private static final Pattern WAIT = Pattern.compile("wait_ms=(\\d+)");

    private final Case run;
    private final ServerSocket server;
    private final Map<String, String> entries = new LinkedHashMap<>();
    private final Map<String, Long> changedAt = new TreeMap<>();
    private long version = 1;
    /** How long each answer is on its way; 0 for a discovery service that is not slow. */
    volatile int slownessMs;

    Discovery(Case run) throws IOException {
        this.run = run;
        server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        Threads.start(this::accept);
    }

    int port() {
        return server.getLocalPort();
    }

    /** Adds a node or changes its entry, as a new version of the list. */
    synchronized void set(String uid, int port, int group, String role, String state, long bootMs) {
        version++;
        entries.put(
                uid,
                "{\"uid\":\"" + uid + "\",\"endpoint\":\"127.0.0.1:" + port
                        + "\",\"az\":\"a\",\"model\":\"m2\",\"pod_group\":" + group + ",\"state\":\"" + state
                        + "\",\"capacity_hint\":1.0,\"boot_ms\":" + bootMs + ",\"role\":\"" + role + "\"}");
        changedAt.put(uid, version);
        run.log("discovery", "version " + version + ": " + uid + " is " + state);
        notifyAll();
    }

    synchronized String list() {
        return "{\"rev\":" + version + ",\"all\":true,\"targets\":[" + String.join(",", entries.values()) + "]}";
    }

    private synchronized String answer(long after, long waitMs) throws InterruptedException {
        long end = System.nanoTime() + waitMs * 1_000_000;
        while (version <= after && System.nanoTime() < end) {
            wait(Math.max(1, (end - System.nanoTime()) / 1_000_000));
        }
        var changed = entries.entrySet().stream()
                .filter(entry -> changedAt.get(entry.getKey()) > after)
                .map(Map.Entry::getValue)
                .toList();
        return "{\"rev\":" + version + ",\"all\":false,\"targets\":[" + String.join(",", changed) + "]}";
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = server.accept();
            Threads.start(() -> serve(socket));
        }
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            socket.setTcpNoDelay(true);
            var in = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
            OutputStream out = socket.getOutputStream();
            for (String request = in.readLine(); request != null; request = in.readLine()) {
                while (!in.readLine().isEmpty()) {
                    // headers
                }
                Matcher after = AFTER.matcher(request);
                Matcher wait = WAIT.matcher(request);
                String body = after.find() && Long.parseLong(after.group(1)) >= 0
                        ? answer(Long.parseLong(after.group(1)), wait.find() ? Long.parseLong(wait.group(1)) : 0)
                        : list();
                // The answer holds what the service had when it was made.
                int onItsWayMs = slownessMs;
                if (onItsWayMs > 0) {
                    Thread.sleep(onItsWayMs);
                }
                out.write(("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + body.length()
                                + "\r\n\r\n" + body)
                        .getBytes(StandardCharsets.US_ASCII));
                out.flush();
            }
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
