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
 * One router's process: {@code java -jar clayhook.jar serve}, its files and what it logs. It may come back after its
 * end.
 */
public final class RouterProcess {
    /** Small, since many run side by side; classes come out of the archive where the build has made one. */
    private static final List<String> OPTIONS = List.of(
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
    /** Stands in the log before the lines of each life. */
    static final String STARTED_MARK = "-- started";

    /** Lines kept, of all lives; a trial writes some thousand. */
    private static final int MOST_LINES = 100_000;
    /** Of a process that was killed. */
    private static final int ENDS_WITHIN_S = 20;

    private final String name;
    private final InetSocketAddress address;
    private final RouterProgram program;
    private final Path folder;
    private final List<String> lines = new ArrayList<>();
    private Process process;
    private double startDelaySeconds;

    /** {@code address} is where it listens, {@code folder} is its own. */
    RouterProcess(String name, InetSocketAddress address, RouterProgram program, Path folder) throws IOException {
        this.name = name;
        this.address = address;
        this.program = program;
        this.folder = Files.createDirectories(folder);
    }

    public String name() {
        return name;
    }

    /** Where clients reach it. */
    public InetSocketAddress address() {
        return address;
    }

    /** Writes its two files; a router that runs reads them on SIGHUP. */
    void configure(String platform, String operator) throws IOException {
        Files.writeString(folder.resolve("config.json"), platform);
        Files.writeString(operatorFile(), operator);
    }

    /** The operator's own file, for trials that change it. */
    public Path operatorFile() {
        return folder.resolve("clayhook.toml");
    }

    /** From now on each life begins so long before its virtual machine, as where many start at once. */
    synchronized void delayStarts(double seconds) {
        startDelaySeconds = seconds;
    }

    /** Begins a life. Throws IOException where there is no such jar. */
    synchronized void start() throws IOException {
        if (!Files.exists(program.jar())) {
            throw new IOException("no jar at " + program.jar() + "; mvn verify makes it");
        }
        var command = new ArrayList<String>();
        if (startDelaySeconds > 0) {
            // The shell becomes the virtual machine: it is one process, which has started now.
            command.addAll(List.of("sh", "-c", "sleep " + startDelaySeconds + "; exec \"$0\" \"$@\""));
        }
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(OPTIONS);
        Path archive = program.jar().resolveSibling("clayhook.jsa");
        if (Files.exists(archive) && program.replacedClasses() == null) {
            command.addAll(List.of("-XX:SharedArchiveFile=" + archive, "-Xshare:auto"));
        }
        command.add("-Djava.io.tmpdir=" + folder);
        command.addAll(program.arguments());
        command.addAll(List.of("serve", "--config", operatorFile().toString()));
        var builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().put("LB_CONFIG", folder.resolve("config.json").toString());
        logged(STARTED_MARK);
        process = builder.start();
        BufferedReader from = process.inputReader(StandardCharsets.UTF_8);
        var reader = new Thread(() -> from.lines().forEach(this::logged), "log of " + name);
        reader.setDaemon(true);
        reader.start();
    }

    private void logged(String line) {
        synchronized (lines) {
            if (lines.size() < MOST_LINES) {
                lines.add(line);
            }
        }
    }

    /** The number of lines so far. */
    public int mark() {
        synchronized (lines) {
            return lines.size();
        }
    }

    /** The lines from a mark on. */
    public List<String> since(int mark) {
        synchronized (lines) {
            return List.copyOf(lines.subList(mark, lines.size()));
        }
    }

    /** The last of that form in the lines from a mark on, or null. */
    public String last(int mark, Pattern form) {
        List<String> all = since(mark);
        for (int i = all.size() - 1; i >= 0; i--) {
            Matcher matcher = form.matcher(all.get(i));
            if (matcher.find()) {
                return matcher.group();
            }
        }
        return null;
    }

    public synchronized boolean runs() {
        return process != null && process.isAlive();
    }

    /** Sends it a signal by name: STOP, CONT, HUP to read its files again, TERM to leave. */
    public void signal(String which) throws IOException {
        if (!runs()) {
            throw new IOException(name + " has ended");
        }
        signalRunning(List.of(this), which);
        if (!runs()) {
            throw new IOException(name + " has ended");
        }
    }

    /** Sends a signal to those of some processes that run, all at once. */
    static void signalRunning(Collection<RouterProcess> some, String which) throws IOException {
        String ids = some.stream()
                .filter(RouterProcess::runs)
                .map(router -> Long.toString(router.pid()))
                .collect(Collectors.joining(" "));
        if (ids.isEmpty()) {
            return;
        }
        try {
            new ProcessBuilder("sh", "-c", "kill -" + which + " " + ids + " 2>/dev/null")
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

    /** Without notice; returns at once. */
    synchronized void kill() {
        if (process != null) {
            process.toHandle().destroyForcibly(); // its last lines are still read, unlike with the process's own
        }
    }

    /** Waits until this life is over; false where it is not. */
    public boolean ended() throws InterruptedException {
        Process life;
        synchronized (this) {
            life = process;
        }
        return life == null || life.waitFor(ENDS_WITHIN_S, TimeUnit.SECONDS);
    }
}
