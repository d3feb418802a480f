package rig;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The discovery service: the whole list, and watches on changes. Answers a call after {@link #delayMillis}. */
public final class DiscoveryStub implements AutoCloseable {
    /** An entry of the list. */
    public record Entry(String uid, InetSocketAddress address, String zone, int group, String state, long bootMillis, String role) {
        String json() {
            return "{\"uid\":\"" + uid + "\",\"endpoint\":\"127.0.0.1:" + address.getPort() + "\",\"az\":\"" + zone
                    + "\",\"model\":\"std\",\"pod_group\":" + group + ",\"state\":\"" + state
                    + "\",\"capacity_hint\":1.0,\"boot_ms\":" + bootMillis
                    + (role == null ? "" : ",\"role\":\"" + role + "\"") + "}";
        }
    }

    private record Change(long revision, Entry entry) {}

    private static final Pattern CALL = Pattern.compile("GET /v1/endpoints(?:\\?after=(\\d+)&wait_ms=(\\d+))? HTTP/1.1");

    private final ServerSocket server;
    private final Record record;
    private final Map<String, Change> entries = new LinkedHashMap<>();
    private long revision;
    /** How long each call waits for its turn before it is handled, in milliseconds. */
    public volatile long delayMillis;

    public DiscoveryStub(Record record, long firstRevision) throws IOException {
        this.record = record;
        revision = firstRevision;
        server = new ServerSocket();
        server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
        Threads.start("discovery", () -> {
            while (!server.isClosed()) {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                Threads.start("call of discovery", () -> serve(socket));
            }
        });
    }

    public int port() {
        return server.getLocalPort();
    }

    /** Sets an entry of the list; it counts as listed from now on. */
    public synchronized void put(Entry entry) {
        revision++;
        entries.put(entry.uid(), new Change(revision, entry));
        record.add("discovery: revision %d, %s is %s", revision, entry.uid(), entry.state());
        notifyAll();
    }

    /** The whole list as JSON. */
    public synchronized String wholeList() {
        return list(0, true);
    }

    private String list(long after, boolean all) {
        var targets = new StringBuilder();
        for (Change change : entries.values()) {
            boolean listed = all ? !change.entry.state().equals("removed") : change.revision > after;
            if (listed) {
                targets.append(targets.length() == 0 ? "" : ",").append(change.entry.json());
            }
        }
        return "{\"rev\":" + revision + ",\"all\":" + all + ",\"targets\":[" + targets + "]}";
    }

    private synchronized String await(long after, long waitMillis) throws InterruptedException {
        long until = System.currentTimeMillis() + waitMillis;
        for (long left = waitMillis; revision <= after && left > 0; left = until - System.currentTimeMillis()) {
            wait(left);
        }
        return list(after, false);
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        try (socket) {
            var in = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
            OutputStream out = socket.getOutputStream();
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                Matcher call = CALL.matcher(line);
                boolean valid = call.matches();
                for (String header = in.readLine(); header != null && !header.isEmpty(); header = in.readLine()) {
                    // headers do not matter
                }
                if (!valid) {
                    return;
                }
                Thread.sleep(delayMillis);
                String body = call.group(1) == null
                        ? wholeList()
                        : await(Long.parseLong(call.group(1)), Long.parseLong(call.group(2)));
                byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
                out.write(("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + bytes.length
                                + "\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
                out.write(bytes);
                record.add("discovery: answered '%s' with %s", line, body.length() > 400 ? body.substring(0, 400) : body);
            }
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
