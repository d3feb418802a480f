package clayhook.clustertests;

import clayhook.transport.Transport;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * The router processes of one test and the folder of their files. Processes that were not killed before are killed when
 * the test's own process ends.
 */
final class RouterProcesses {
    private static final long POLL_MS = 10;
    /** Number of log lines of each router in failure messages. */
    private static final int LAST_LINES = 12;

    private final Path folder = Files.createTempDirectory("routers");
    private final List<RouterProcess> all = new ArrayList<>();
    private final Transport clients;
    private final Thread shutdownHook = new Thread(() -> all.forEach(RouterProcess::kill));

    /** {@code clients}: transport of the connections that check whether routers accept requests. */
    RouterProcesses(Transport clients) throws IOException {
        this.clients = clients;
        Runtime.getRuntime().addShutdownHook(shutdownHook);
    }

    /** Adds a process that has not been started yet. */
    RouterProcess add(RouterProcess router) {
        all.add(router);
        return router;
    }

    /** The folder for the files of one process. */
    Path folder(String name) {
        return folder.resolve(name);
    }

    List<RouterProcess> all() {
        return all;
    }

    /** Waits until a router accepts requests; throws IllegalStateException if it ends or does not do so in time. */
    void awaitServing(RouterProcess router, double seconds) throws InterruptedException {
        double until = HistoryRecorder.now() + seconds;
        while (!LoadClient.acceptsRequests(clients, router.address(), seconds)) {
            if (!router.isRunning() || HistoryRecorder.now() > until) {
                throw new IllegalStateException(router.name() + " does not accept requests: " + router.linesSince(0));
            }
            Thread.sleep(POLL_MS);
        }
    }

    /** Waits until a condition holds; returns false if it does not hold within that number of seconds. */
    static boolean await(BooleanSupplier condition, double seconds) throws InterruptedException {
        double until = HistoryRecorder.now() + seconds;
        while (!condition.getAsBoolean()) {
            if (HistoryRecorder.now() > until) {
                return false;
            }
            Thread.sleep(POLL_MS);
        }
        return true;
    }

    /** The last log lines of each router, for failure messages. */
    String lastLogLines() {
        return all.stream()
                .map(router -> router.name() + ": " + router.linesSince(Math.max(0, router.logMark() - LAST_LINES)))
                .collect(Collectors.joining("\n"));
    }

    void killAll() {
        all.forEach(RouterProcess::kill);
    }

    /** Waits until all processes have ended. */
    void awaitEnds() throws InterruptedException {
        for (RouterProcess router : all) {
            router.awaitEnd();
        }
    }

    /** Deletes the files of all processes, which must have ended. */
    void deleteFiles() throws IOException {
        Runtime.getRuntime().removeShutdownHook(shutdownHook);
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path path : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(path);
            }
        }
    }
}
