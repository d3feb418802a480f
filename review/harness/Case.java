import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * What all cases share: the record, the temporary folder, the router's processes, and the end of all of them.
 *
 * <p>Arguments of each case: the root of the checkout and the folder of the case. The environment variable TROUBLE=0
 * leaves the disruption out.
 */
final class Case {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    /** The body of a case; returns its exit code. */
    interface Body {
        int run(Case run) throws Exception;
    }

    final Path root;
    final Path folder;
    final Path temporary;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final PrintWriter record;
    private final long startNanos = System.nanoTime();
    private final Deque<AutoCloseable> resources = new ArrayDeque<>();

    private Case(String[] arguments) throws IOException {
        root = Path.of(arguments[0]).toAbsolutePath();
        folder = Path.of(arguments[1]).toAbsolutePath();
        temporary = Files.createTempDirectory("clayhook-review");
        record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt"), StandardCharsets.UTF_8));
    }

    /** Runs a case and ends this process with its exit code. */
    static void main(String[] arguments, Body body) throws IOException {
        var run = new Case(arguments);
        var guard = new Thread(() -> {
            try {
                TimeUnit.SECONDS.sleep(110);
                run.log("case", "out of time");
                run.close();
            } catch (InterruptedException e) {
                return;
            }
            Runtime.getRuntime().halt(COULD_NOT_RUN);
        });
        guard.setDaemon(true);
        guard.start();
        // If this process is told to end, it takes the processes that it started with it.
        Runtime.getRuntime().addShutdownHook(new Thread(run::close));
        int code;
        try {
            code = body.run(run);
        } catch (Throwable e) {
            run.log("case", "could not run: " + e);
            e.printStackTrace();
            code = COULD_NOT_RUN;
        }
        run.log("case", "exit code " + code + (run.trouble ? "" : ", TROUBLE=0"));
        run.close();
        Runtime.getRuntime().halt(code);
    }

    /** Seconds since the start of the case. */
    double now() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    /** Writes one line to the record. */
    void log(String who, String what) {
        String line = String.format("%8.3f %-10s %s", now(), who, what);
        synchronized (record) {
            record.println(line);
        }
    }

    /** Also prints the line, for the person who runs the case. */
    void say(String what) {
        log("case", what);
        System.out.println(what);
    }

    <T extends AutoCloseable> T keep(T resource) {
        synchronized (resources) {
            resources.push(resource);
        }
        return resource;
    }

    private void close() {
        synchronized (resources) {
            for (AutoCloseable resource : resources) {
                try {
                    resource.close();
                } catch (Exception e) {
                    log("case", "close: " + e);
                }
            }
            resources.clear();
        }
        synchronized (record) {
            record.flush();
        }
        try (Stream<Path> files = Files.walk(temporary)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        } catch (IOException e) {
            System.err.println("cannot delete " + temporary + ": " + e);
        }
    }
}
