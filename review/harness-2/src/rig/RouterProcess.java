package rig;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A router, started by the command {@code run} of the deploy file in a process of its own. */
public final class RouterProcess implements AutoCloseable {
    private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");
    private static int started;

    public final int port;
    private final Process process;
    public final Path log;

    /**
     * Starts a router.
     *
     * @param root the root of the repository
     * @param folder an empty folder for its files
     * @param arguments text appended to the command, such as the operator's file; may be empty
     */
    public RouterProcess(Path root, Path folder, int discoveryPort, String known, String settings, String arguments)
            throws IOException {
        Matcher run = RUN.matcher(Files.readString(root.resolve("deploy/balancer.toml")));
        if (!run.find()) {
            throw new IOException("deploy/balancer.toml has no run");
        }
        port = freePort();
        String name = "n" + ++started;
        Path own = Files.createDirectory(folder.resolve(name));
        Path config = own.resolve("config.json");
        Files.writeString(
                config,
                "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"127.0.0.1:"
                        + discoveryPort + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,"
                        + "\"sockets\":1024},\"known\":" + known + ",\"settings\":" + settings + "}");
        log = own.resolve("log.txt");
        var builder = new ProcessBuilder(
                "/bin/sh", "-c", run.group(1) + (arguments.isEmpty() ? "" : " " + arguments));
        builder.directory(root.toFile());
        Path temporary = Files.createDirectory(own.resolve("tmp"));
        builder.environment().put("TMPDIR", temporary.toString());
        builder.environment().put("LB_NAME", name);
        builder.environment().put("LB_LISTEN", "127.0.0.1:" + port);
        builder.environment().put("LB_DISCOVERY", "127.0.0.1:" + discoveryPort);
        builder.environment().put("LB_CONFIG", config.toString());
        builder.redirectErrorStream(true).redirectOutput(log.toFile());
        process = builder.start();
        // However this program ends, the router ends too.
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    }

    private static int freePort() throws IOException {
        try (var socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    public boolean isAlive() {
        return process.isAlive();
    }

    /** Waits until the router answers an empty query, as the front does; returns whether it did in time. */
    public boolean awaitReady(int millis) throws InterruptedException {
        long until = System.currentTimeMillis() + millis;
        while (System.currentTimeMillis() < until && process.isAlive()) {
            try (var client = new Client(port)) {
                if ("".equals(client.ask("", 1000).value())) {
                    return true;
                }
            } catch (IOException e) {
                Thread.sleep(2);
            }
        }
        return false;
    }

    /** Sends SIGHUP to the program, which {@code run} has put in place of the shell. */
    public void hangUp() throws IOException, InterruptedException {
        new ProcessBuilder("/bin/sh", "-c", "kill -HUP " + process.pid()).start().waitFor();
    }

    /** Waits until the log has a text; returns whether it has in time. */
    public boolean awaitLog(String text, int millis) throws IOException, InterruptedException {
        long until = System.currentTimeMillis() + millis;
        while (System.currentTimeMillis() < until) {
            if (Files.readString(log).contains(text)) {
                return true;
            }
            Thread.sleep(10);
        }
        return false;
    }

    /** Kills the router outright. */
    public void kill() throws InterruptedException {
        process.destroyForcibly();
        process.waitFor(10, TimeUnit.SECONDS);
    }

    @Override
    public void close() throws InterruptedException {
        kill();
    }
}
