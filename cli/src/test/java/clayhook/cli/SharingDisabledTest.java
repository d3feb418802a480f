package clayhook.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.transport.Transport;
import clayhook.warmup.StubClient;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests on a separate process that a router with sharing disabled loads and opens nothing for sharing. */
class SharingDisabledTest {
    private static final String CONFIG =
            """
            {"name":"n", "listen":"127.0.0.1:%d", "discovery":"127.0.0.1:%d", "seed":"1",
            "known":{"rev":1,"all":true,"targets":[]}, "settings":{"domain":{"read_level":["any"]},
            "grades":[{"name":"any","effect":"idempotent","aim":250000000,"hard_limit":600000000,"value":1}]}}""";
    private static final List<String> SHARING_PACKAGES = List.of(
            "clayhook.fleet.",
            "clayhook.peers.",
            "com.fasterxml.jackson.dataformat.cbor.",
            "org.jctools.",
            "com.dynatrace.hash4j.");

    @TempDir
    private Path folder;

    private static int freePort() throws Exception {
        try (var socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private static int freeUdpPort() throws Exception {
        try (var socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    /**
     * Returns the sharing packages of which the process has loaded classes, whether it has the sharing thread, and
     * whether it has the sharing socket.
     */
    private List<Object> observeSharing(Process process, Path classLoadLog, int port) throws Exception {
        String loaded = Files.readString(classLoadLog);
        boolean thread = threadNames(process).contains("clayhook-peers");
        boolean socket =
                Files.readString(Path.of("/proc/" + process.pid() + "/net/udp")).contains(":%04X ".formatted(port));
        return List.of(
                SHARING_PACKAGES.stream()
                        .filter(name -> loaded.contains("] " + name))
                        .toList(),
                thread,
                socket);
    }

    private static List<String> threadNames(Process process) throws Exception {
        try (var tasks = Files.list(Path.of("/proc/" + process.pid() + "/task"))) {
            var names = new ArrayList<String>();
            for (Path task : tasks.toList()) {
                names.add(Files.readString(task.resolve("comm")).strip());
            }
            return names;
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aRouterWithSharingDisabledLoadsNoClassStartsNoThreadAndOpensNoSocketForIt(boolean sharingEnabled)
            throws Exception {
        int port = freePort();
        int sharingPort = freeUdpPort();
        Path config = Files.writeString(folder.resolve("config.json"), CONFIG.formatted(port, freePort()));
        Path operator = Files.writeString(
                folder.resolve("c.toml"),
                """
                [sharing]
                enabled = %b
                listen = "127.0.0.1:%d"
                seeds = ["127.0.0.1:%d"]
                """
                        .formatted(sharingEnabled, sharingPort, freeUdpPort()));
        Path classLoadLog = folder.resolve("classes");
        var builder = new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:TieredStopAtLevel=1",
                "-Xlog:class+load:file=" + classLoadLog,
                "-cp",
                System.getProperty("java.class.path"),
                "clayhook.cli.Main",
                "serve",
                "--config",
                operator.toString());
        builder.environment().put("LB_CONFIG", config.toString());
        Process process = builder.redirectErrorStream(true)
                .redirectOutput(folder.resolve("log").toFile())
                .start();
        Transport transport = Transport.tcp();
        try {
            String answer = StubClient.NO_CONNECTION;
            for (int tries = 0; tries < 300 && answer.equals(StubClient.NO_CONNECTION); tries++) {
                var client = new StubClient(transport, new InetSocketAddress("127.0.0.1", port));
                client.send(StubClient.startupAndFirst(StubClient.statement(false, "id=1,c=any,d=30000,cluster=1")));
                answer = client.nextAnswer();
                Thread.sleep(answer.equals(StubClient.NO_CONNECTION) ? 100 : 0);
            }
            assertEquals("ready", answer);
            List<Object> expected =
                    sharingEnabled ? List.of(SHARING_PACKAGES, true, true) : List.of(List.of(), false, false);
            for (int tries = 0;
                    tries < 200
                            && sharingEnabled
                            && !expected.equals(observeSharing(process, classLoadLog, sharingPort));
                    tries++) {
                Thread.sleep(50); // sharing starts shortly after the router accepts clients
            }
            assertEquals(expected, observeSharing(process, classLoadLog, sharingPort));
            process.destroy();
            assertTrue(process.waitFor(20, TimeUnit.SECONDS));
            String log = Files.readString(folder.resolve("log"));
            assertEquals(sharingEnabled, log.contains("sharing as n at 127.0.0.1:" + sharingPort), log);
        } finally {
            process.destroyForcibly();
            transport.close();
        }
    }
}
