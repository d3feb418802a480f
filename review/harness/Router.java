import java.io.BufferedReader;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One router: the process that the command "run" of the deploy file starts. */
final class Router implements AutoCloseable {
    private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");

    final String name;
    final int port;
    private final Case run;
    private final Path config;
    private Process process;

    private Router(Case run, String name, int port) throws IOException {
        this.run = run;
        this.name = name;
        this.port = port;
        config = Files.createDirectories(run.temporary.resolve(name)).resolve("config.json");
    }

    static int freePort() throws IOException {
        try (var socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    /** Starts a router with these settings and this known list, and waits until it answers an empty query. */
    static Router start(Case run, String name, Discovery discovery, String settings, int sockets, int memoryMb)
            throws Exception {
        var router = run.keep(new Router(run, name, freePort()));
        router.configure(discovery, settings, sockets, memoryMb);
        router.launch(discovery);
        router.awaitReady();
        return router;
    }

    void configure(Discovery discovery, String settings, int sockets, int memoryMb) throws IOException {
        Files.writeString(
                config,
                "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"127.0.0.1:"
                        + discovery.port() + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":"
                        + memoryMb + ",\"sockets\":" + sockets + "},\"known\":" + discovery.list() + ",\"settings\":"
                        + settings + "}");
    }

    private void launch(Discovery discovery) throws IOException {
        Matcher command = RUN.matcher(Files.readString(run.root.resolve("deploy/balancer.toml")));
        if (!command.find()) {
            throw new IOException("deploy/balancer.toml has no run");
        }
        Path scratch = Files.createDirectories(run.temporary.resolve(name + ".tmp"));
        var builder = new ProcessBuilder("/bin/sh", "-c", command.group(1))
                .directory(run.root.toFile())
                .redirectErrorStream(true);
        builder.environment().put("LB_NAME", name);
        builder.environment().put("LB_LISTEN", "127.0.0.1:" + port);
        builder.environment().put("LB_DISCOVERY", "127.0.0.1:" + discovery.port());
        builder.environment().put("LB_CONFIG", config.toString());
        builder.environment().put("TMPDIR", scratch.toString());
        process = builder.start();
        BufferedReader output = process.inputReader();
        Threads.start(() -> {
            for (String line = output.readLine(); line != null; line = output.readLine()) {
                run.log(name, line);
            }
        });
        run.log("case", name + " started, process " + process.pid() + ", port " + port);
    }

    private void awaitReady() throws Exception {
        double until = run.now() + 30;
        while (run.now() < until) {
            if (!process.isAlive()) {
                throw new IOException(name + " ended at its start");
            }
            try (Socket socket = connect()) {
                socket.setSoTimeout(1000);
                var out = new DataOutputStream(socket.getOutputStream());
                var in = new DataInputStream(socket.getInputStream());
                Pg.send(out, Pg.join(Pg.startup(), Pg.query("")));
                for (Pg.Message message = Pg.read(in, true); ; message = Pg.read(in, true)) {
                    if (message.type() == 'I') {
                        run.log("case", name + " is ready");
                        return;
                    }
                }
            } catch (IOException e) {
                TimeUnit.MILLISECONDS.sleep(50);
            }
        }
        throw new IOException(name + " was not ready within 30 s");
    }

    Socket connect() throws IOException {
        var socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress("127.0.0.1", port), 2000);
        return socket;
    }

    boolean isAlive() {
        return process.isAlive();
    }

    int exitCode() {
        return process.exitValue();
    }

    void signal(String signal) throws Exception {
        run.log("case", "SIG" + signal + " to " + name);
        new ProcessBuilder("/bin/kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    @Override
    public void close() throws IOException {
        if (process != null && process.isAlive()) {
            process.destroyForcibly();
            process.onExit().join();
        }
    }
}
