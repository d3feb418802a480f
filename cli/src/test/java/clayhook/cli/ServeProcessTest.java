package clayhook.cli;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.transport.Transport;
import clayhook.warmup.StubClient;
import clayhook.warmup.StubDiscovery;
import clayhook.warmup.StubNode;
import clayhook.warmup.StubNode.StubResponse;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.FileSystem;
import java.nio.file.FileSystems;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import java.util.zip.Deflater;
import java.util.zip.ZipEntry;
import java.util.zip.ZipOutputStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the router as a separate process, with signals and a limit of open file descriptors. */
class ServeProcessTest {
    /** The timeout of each step, far longer than any step takes. */
    private static final int TIMEOUT_SECONDS = 60;

    private static final int FIRST_PORT = 14_000;
    private static final int PORT_COUNT = 5_000;

    private static final String SERVICE_UNAVAILABLE = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
    /** The exit code after SIGTERM: 128 + 15. */
    private static final int SIGTERM_EXIT_CODE = 143;
    /** Jars of the class path that belong to the program, including its own modules if they are packaged as jars. */
    private static final Pattern PROGRAM_JARS = Pattern.compile("^(netty|picocli|jackson|clayhook)");

    private final Transport transport = Transport.tcp();
    private final LinkedBlockingQueue<String> discoveryCalls = new LinkedBlockingQueue<>();
    private final List<Socket> floodSockets = new ArrayList<>();
    private InetSocketAddress listen;
    private Process process;
    private Path log;

    @TempDir
    private Path folder;

    @BeforeEach
    void choosePort() throws IOException {
        // The port is below the ephemeral range, so that no outgoing connection takes it during the warm-up.
        try (var free = new ServerSocket(unusedPort(), 1, InetAddress.getLoopbackAddress())) {
            listen = (InetSocketAddress) free.getLocalSocketAddress();
        }
    }

    @AfterEach
    void close() throws Exception {
        process.destroyForcibly().waitFor();
        for (Socket socket : floodSockets) {
            socket.close();
        }
        transport.close();
    }

    private InetSocketAddress node(StubResponse response) throws InterruptedException {
        return new StubNode(transport, transport.ephemeralAddress(0), "primary", any -> response).address();
    }

    private InetSocketAddress discovery(Function<String, String> answers) throws InterruptedException {
        return new StubDiscovery(transport, transport.ephemeralAddress(0), call -> {
                    discoveryCalls.add(call);
                    return answers.apply(call);
                })
                .address();
    }

    private static String endpointList(int version, InetSocketAddress node) {
        return "{\"rev\":" + version + ",\"all\":true,\"targets\":[{\"uid\":\"n" + version
                + "\",\"endpoint\":\"127.0.0.1:" + node.getPort()
                + "\",\"az\":\"a\",\"pod_group\":1,\"state\":\"up\",\"role\":\"primary\",\"boot_ms\":0}]}";
    }

    /**
     * Starts the router as a separate process.
     *
     * @param known the endpoint list in its configuration
     * @param descriptorLimit the limit of open file descriptors of the process
     * @param configuredLimit the limit of sockets in its configuration
     */
    private void start(InetSocketAddress discovery, String known, int descriptorLimit, int configuredLimit)
            throws Exception {
        Path config = Files.writeString(
                folder.resolve("config.json"),
                "{\"name\":\"t\",\"listen\":\"127.0.0.1:" + listen.getPort()
                        + "\",\"discovery\":\"127.0.0.1:" + discovery.getPort()
                        + "\",\"seed\":\"1\",\"limits\":{\"sockets\":" + configuredLimit
                        + "},\"known\":" + known
                        + ",\"settings\":{\"discovery\":\"subscribe\",\"limits\":{\"most_tries\":3},"
                        + "\"domain\":{\"read_level\":[\"any\",\"write\"]},\"grades\":[{\"name\":\"any\",\"effect\":\"idempotent\","
                        + "\"aim\":1e9,\"hard_limit\":1e9},{\"name\":\"mutating\",\"effect\":\"at_most_once\",\"aim\":1e9,"
                        + "\"hard_limit\":1e9}]}}");
        log = folder.resolve("log");
        var builder = new ProcessBuilder(
                "sh",
                "-c",
                "ulimit -n " + descriptorLimit + " && exec \"$0\" \"$@\"",
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC",
                "-Xmx72m",
                "-Xshare:auto",
                "-XX:TieredStopAtLevel=1",
                "-Djava.io.tmpdir=" + folder,
                "-cp",
                packJar().toString(),
                "clayhook.cli.Main",
                "serve");
        builder.environment().put("LB_CONFIG", config.toString());
        process = builder.redirectErrorStream(true).redirectOutput(log.toFile()).start();
    }

    /** Packs the program into one jar, as in a deployment, because each class path entry takes a file descriptor. */
    private Path packJar() throws IOException {
        Path jar = folder.resolve("serve.jar");
        var entryNames = new HashSet<String>();
        try (var out = new ZipOutputStream(Files.newOutputStream(jar))) {
            out.setLevel(Deflater.NO_COMPRESSION);
            for (String part : System.getProperty("java.class.path").split(File.pathSeparator)) {
                Path path = Path.of(part);
                if (Files.isDirectory(path)) {
                    copyEntries(path, entryNames, out);
                } else if (PROGRAM_JARS.matcher(path.getFileName().toString()).find()) {
                    try (FileSystem in = FileSystems.newFileSystem(path)) {
                        copyEntries(in.getPath("/"), entryNames, out);
                    }
                }
            }
        }
        return jar;
    }

    private static void copyEntries(Path from, Set<String> entryNames, ZipOutputStream out) throws IOException {
        List<Path> files;
        try (Stream<Path> all = Files.walk(from)) {
            files = all.filter(Files::isRegularFile).toList();
        }
        for (Path file : files) {
            String name = from.relativize(file).toString();
            if (entryNames.add(name)) {
                out.putNextEntry(new ZipEntry(name));
                Files.copy(file, out);
                out.closeEntry();
            }
        }
    }

    private String log() throws IOException {
        return new String(Files.readAllBytes(log), UTF_8);
    }

    /** Sends a statement, each time on a new connection, until an answer arrives, and returns that answer. */
    private String awaitAnswer(ByteBuf statement) throws Exception {
        double deadlineSeconds = System.nanoTime() / 1e9 + TIMEOUT_SECONDS;
        while (System.nanoTime() / 1e9 < deadlineSeconds && process.isAlive()) {
            var client = new StubClient(transport, listen);
            client.send(StubClient.startupAndFirst(statement.retainedDuplicate()));
            String answer = client.nextAnswer(5);
            answer = "ready".equals(answer) ? client.nextAnswer(5) : null;
            client.close();
            if (answer != null) {
                return answer;
            }
            TimeUnit.MILLISECONDS.sleep(20);
        }
        throw new AssertionError("no answer; " + log());
    }

    private static ByteBuf read() {
        return StubClient.statement(false, "id=1,c=any,d=1000,cluster=1");
    }

    private static ByteBuf emptyQuery() {
        return Unpooled.buffer().writeByte('Q').writeInt(5).writeByte(0);
    }

    /** Returns the number of file descriptors that the process has open; 0 if the system does not report it. */
    private int countOpenDescriptors() {
        String[] openDescriptors =
                Path.of("/proc", Long.toString(process.pid()), "fd").toFile().list();
        return openDescriptors == null ? 0 : openDescriptors.length;
    }

    @ParameterizedTest
    @ValueSource(strings = {"refuses", "is silent", "answers 503"})
    void becomesReadyWhateverDiscoveryDoes(String discoveryBehavior) throws Exception {
        InetSocketAddress discovery = discoveryBehavior.equals("refuses")
                ? new InetSocketAddress("127.0.0.1", 1)
                : discovery(call -> discoveryBehavior.equals("is silent") ? null : SERVICE_UNAVAILABLE);
        start(discovery, endpointList(2, node(StubResponse.answer("served"))), 1024, 1024);
        assertEquals("ready", awaitAnswer(emptyQuery()));
        assertEquals("served", awaitAnswer(read()));
    }

    /**
     * Idle clients connect continuously and never disconnect. Meanwhile discovery becomes available again and sends an
     * endpoint list with another node.
     */
    @Test
    void idleClientsBeyondTheDescriptorLimitBlockNeitherRequestsNorTheEndpointList() throws Exception {
        int limit = 128;
        var endpointLists = new LinkedBlockingQueue<String>();
        InetSocketAddress discovery = discovery(call -> endpointLists.isEmpty()
                ? SERVICE_UNAVAILABLE
                : call.contains("after=3&") ? null : endpointLists.peek());
        start(discovery, endpointList(2, node(StubResponse.answer("old"))), limit, limit);
        assertEquals("ready", awaitAnswer(emptyQuery()));
        int openDescriptors = 0;
        for (int i = 0; i < 4 * limit; i++) {
            floodSockets.add(new Socket(listen.getAddress(), listen.getPort()));
            openDescriptors = Math.max(openDescriptors, countOpenDescriptors());
            if (i % limit == limit - 1) {
                assertEquals("old", awaitAnswer(read()));
            }
        }
        endpointLists.add(endpointList(3, node(StubResponse.answer("new"))));
        double deadlineSeconds = System.nanoTime() / 1e9 + TIMEOUT_SECONDS;
        while (!awaitAnswer(read()).equals("new")) {
            assertTrue(System.nanoTime() / 1e9 < deadlineSeconds, "it did not recover its endpoint list; " + log());
            floodSockets.add(new Socket(listen.getAddress(), listen.getPort()));
            openDescriptors = Math.max(openDescriptors, countOpenDescriptors());
        }
        assertTrue(openDescriptors < limit, "the reserve is used up: " + openDescriptors);
        assertTrue(!log().contains("Too many open files"), log());
    }

    /**
     * The configured limit exceeds the descriptor limit of the process, so accepting and connecting fail for a while.
     */
    @Test
    void acceptsAndConnectsAgainAfterTheProcessRanOutOfDescriptors() throws Exception {
        var endpointLists = new LinkedBlockingQueue<String>();
        InetSocketAddress discovery = discovery(call -> endpointLists.isEmpty()
                ? SERVICE_UNAVAILABLE
                : call.contains("after=3&") ? null : endpointLists.peek());
        start(discovery, endpointList(2, node(StubResponse.answer("old"))), 64, 1024);
        assertEquals("ready", awaitAnswer(emptyQuery()));
        for (int i = 0; i < 100; i++) {
            floodSockets.add(new Socket(listen.getAddress(), listen.getPort()));
        }
        double deadlineSeconds = System.nanoTime() / 1e9 + TIMEOUT_SECONDS;
        while (!log().contains("Too many open files")) {
            assertTrue(System.nanoTime() / 1e9 < deadlineSeconds && process.isAlive(), "it never ran out; " + log());
            TimeUnit.MILLISECONDS.sleep(20);
        }
        endpointLists.add(endpointList(3, node(StubResponse.answer("new"))));
        while (!awaitAnswer(read()).equals("new")) {
            assertTrue(System.nanoTime() / 1e9 < deadlineSeconds, "it did not recover its endpoint list; " + log());
        }
        assertTrue(!log().contains("ERROR"), log());
    }

    /** SIGTERM is sent twice, with SIGHUP in between, while a request is in flight. */
    @ParameterizedTest
    @CsvSource({"any, 53300", "mutating, 40003"})
    void inFlightRequestsAreAnsweredBeforeExitWhateverSignalsFollow(String group, String answer) throws Exception {
        start(discovery(call -> null), endpointList(2, node(StubResponse.silence())), 1024, 1024);
        assertEquals("ready", awaitAnswer(emptyQuery()));
        var client = new StubClient(transport, listen);
        client.send(StubClient.startupAndFirst(
                StubClient.statement(!group.equals("any"), "id=1,c=" + group + ",d=1000,cluster=1")));
        assertEquals("ready", client.nextAnswer());
        process.destroy();
        signal("HUP");
        process.destroy();
        assertEquals(answer, client.nextAnswer());
        assertEquals("57P03 closed", client.nextAnswer());
        assertTrue(process.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        assertEquals(SIGTERM_EXIT_CODE, process.exitValue());
        assertTrue(log().contains("ended") && !log().contains("ERROR"), log());
    }

    private static int unusedPort() {
        for (int port = FIRST_PORT + (int) (ProcessHandle.current().pid() * 31 % PORT_COUNT); ; port++) {
            try (var probe = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return probe.getLocalPort();
            } catch (IOException e) {
                // the port is in use; try the next one
            }
        }
    }

    private void signal(String name) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                        .start()
                        .waitFor());
    }

    /** Sends SIGTERM during the warm-up, whose start is detected by the folder that it creates for its sockets. */
    @Test
    void sigtermDuringStartupEndsTheProcessAndLeavesNoRequestUnanswered() throws Exception {
        start(discovery(call -> null), endpointList(2, node(StubResponse.silence())), 1024, 1024);
        while (process.isAlive() && folder.toFile().list((in, name) -> name.startsWith("clayhook")).length == 0) {
            TimeUnit.MILLISECONDS.sleep(5);
        }
        process.destroy();
        assertTrue(process.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        assertEquals(SIGTERM_EXIT_CODE, process.exitValue());
        assertTrue(!log().contains("serving as") || log().contains("ended"), log());
    }
}
