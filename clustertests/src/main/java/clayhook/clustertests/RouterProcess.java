package clayhook.clustertests;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * A router process, {@code java -jar clayhook.jar serve}, with its files and its log lines. It can be restarted after
 * it has ended. Thread-safe.
 */
public final class RouterProcess {
    /** Options of the virtual machine that keep it small, as many processes run at the same time. */
    private static final List<String> JVM_OPTIONS = List.of(
            "-Xms24m",
            "-Xmx64m",
            "-Xss512k",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-XX:MaxDirectMemorySize=32m",
            "-XX:-UsePerfData",
            "-Xlog:disable",
            "-Xlog:all=error:stderr",
            "-Dio.netty.jfr.enabled=false");
    /** Line that is added to the log before the output of each process. */
    static final String START_LINE = "-- started";

    /** Bound on the retained log lines of all processes of this router; a test run writes a few thousand. */
    private static final int MAX_LINES = 100_000;
    /** Seconds to wait for the end of a process. */
    private static final int END_TIMEOUT_S = 20;

    private static final double KB_PER_MB = 1024;
    /** The memory that a process may use: the default of {@code limits.memory_mb}. */
    static final double MEMORY_LIMIT_MB = 192;

    private final String name;
    private final InetSocketAddress address;
    private final RouterProgram program;
    private final Path folder;
    private final List<String> lines = new ArrayList<>();
    private Process process;
    private double startDelaySeconds;

    /**
     * Creates a router without a process.
     *
     * @param address the address at which it listens
     * @param folder folder of its files, which no other router uses
     */
    RouterProcess(String name, InetSocketAddress address, RouterProgram program, Path folder) throws IOException {
        this.name = name;
        this.address = address;
        this.program = program;
        this.folder = Files.createDirectories(folder);
    }

    public String name() {
        return name;
    }

    /** The address at which clients reach the router. */
    public InetSocketAddress address() {
        return address;
    }

    /** Writes the platform's and the operator's configuration file; a running router reloads them on SIGHUP. */
    void configure(String platform, String operator) throws IOException {
        Files.writeString(folder.resolve("config.json"), platform);
        Files.writeString(operatorFile(), operator);
    }

    /** The operator's configuration file, for tests that change it. */
    public Path operatorFile() {
        return folder.resolve("clayhook.toml");
    }

    /**
     * Delays the virtual machine of each later process by that number of seconds after the start of the process, as a
     * busy machine does if many processes start at the same time.
     */
    synchronized void delayStarts(double seconds) {
        startDelaySeconds = seconds;
    }

    /** Starts a process. Throws IOException if the jar does not exist. */
    synchronized void start() throws IOException {
        if (!Files.exists(program.jar())) {
            throw new IOException("no jar at " + program.jar() + "; mvn verify makes it");
        }
        var command = new ArrayList<String>();
        if (startDelaySeconds > 0) {
            // The shell is replaced by the virtual machine in the same process, whose start time is now.
            command.addAll(List.of("sh", "-c", "sleep " + startDelaySeconds + "; exec \"$0\" \"$@\""));
        }
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(JVM_OPTIONS);
        Path archive = program.jar().resolveSibling("clayhook.jsa");
        if (Files.exists(archive) && program.replacedClasses() == null) {
            command.addAll(List.of("-XX:SharedArchiveFile=" + archive, "-Xshare:auto"));
        }
        command.add("-Djava.io.tmpdir=" + folder);
        command.addAll(program.arguments());
        command.addAll(List.of("serve", "--config", operatorFile().toString()));
        var builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().put("LB_CONFIG", folder.resolve("config.json").toString());
        addLine(START_LINE);
        process = builder.start();
        BufferedReader output = process.inputReader(StandardCharsets.UTF_8);
        var reader = new Thread(() -> output.lines().forEach(this::addLine), "log of " + name);
        reader.setDaemon(true);
        reader.start();
    }

    private void addLine(String line) {
        synchronized (lines) {
            if (lines.size() < MAX_LINES) {
                lines.add(line);
            }
        }
    }

    /** Number of log lines so far. */
    public int logMark() {
        synchronized (lines) {
            return lines.size();
        }
    }

    /** The log lines after the first {@code mark} ones. */
    public List<String> linesSince(int mark) {
        synchronized (lines) {
            return List.copyOf(lines.subList(mark, lines.size()));
        }
    }

    /** The last match of a pattern in the log lines after the first {@code mark} ones, or null. */
    public String lastMatch(int mark, Pattern pattern) {
        List<String> all = linesSince(mark);
        for (int i = all.size() - 1; i >= 0; i--) {
            Matcher matcher = pattern.matcher(all.get(i));
            if (matcher.find()) {
                return matcher.group();
            }
        }
        return null;
    }

    public synchronized boolean isRunning() {
        return process != null && process.isAlive();
    }

    /** The greatest resident memory of the process so far, in MB, as the system counts it. */
    double peakMemoryMb() throws IOException {
        Path status = Path.of("/proc", Long.toString(pid()), "status");
        String line = Files.readAllLines(status).stream()
                .filter(each -> each.startsWith("VmHWM:"))
                .findFirst()
                .orElseThrow(() -> new IOException("no peak memory in " + status));
        return Integer.parseInt(line.replaceAll("\\D", "")) / KB_PER_MB;
    }

    /** Sends the process a signal by name: STOP, CONT, HUP (reloads its files) or TERM (shuts down). */
    public void signal(String signal) throws IOException {
        if (!isRunning()) {
            throw new IOException(name + " has ended");
        }
        signalRunning(List.of(this), signal);
        if (!isRunning()) {
            throw new IOException(name + " has ended");
        }
    }

    /** Sends a signal to those of some processes that are running, by one command. */
    static void signalRunning(Collection<RouterProcess> routers, String signal) throws IOException {
        String ids = routers.stream()
                .filter(RouterProcess::isRunning)
                .map(router -> Long.toString(router.pid()))
                .collect(Collectors.joining(" "));
        if (ids.isEmpty()) {
            return;
        }
        try {
            new ProcessBuilder("sh", "-c", "kill -" + signal + " " + ids + " 2>/dev/null")
                    .start()
                    .waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    private synchronized long pid() {
        return process.pid();
    }

    /** Kills the process by SIGKILL without waiting for its end. */
    synchronized void kill() {
        if (process != null) {
            process.toHandle().destroyForcibly(); // unlike Process.destroyForcibly, leaves its last output readable
        }
    }

    /** Waits for the end of the process; returns false if it does not end within {@link #END_TIMEOUT_S} seconds. */
    public boolean awaitEnd() throws InterruptedException {
        Process current;
        synchronized (this) {
            current = process;
        }
        return current == null || current.waitFor(END_TIMEOUT_S, TimeUnit.SECONDS);
    }
}
