package clayhook.serve;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.junit.jupiter.api.Assertions.assertTrue;

import clayhook.RequestClass;
import clayhook.RequestClass.ConsistencyLevel;
import clayhook.RequestClass.DeduplicationScope;
import clayhook.RequestClass.Idempotency;
import clayhook.RoutingSettings;
import clayhook.config.RouterConfiguration;
import clayhook.discovery.EndpointList;
import clayhook.transport.Transport;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Tests that a router receives a change of the endpoint list within six seconds once discovery is reachable, for each
 * fault of the watch.
 */
class EndpointListDelayTest {
    /** The maximum delay of a change; the remainder up to six seconds is a margin for a machine under load. */
    private static final double MAX_DELAY_SECONDS = 5.5;
    /** The number of routers, each of which uses its own random poll intervals. */
    private static final int ROUTERS = 6;

    /**
     * The fault of the first watch, which is open when the change is made; some faults affect the next call as well.
     */
    private enum WatchFault {
        NONE,
        SILENT,
        SILENT_TWICE,
        BUSY_TWICE,
        RESET,
        PARTIAL_ANSWER_THEN_CLOSE,
        PARTIAL_ANSWER,
        PARTIAL_ANSWER_THEN_RESET,
        REFUSED
    }

    private final Transport transport = Transport.tcp();
    private final List<Server> servers = new ArrayList<>();
    private final List<FaultyDiscovery> services = new ArrayList<>();

    /**
     * A discovery service whose list changes when it receives the first watch. That watch fails, and with some faults
     * also the next call; later calls are answered.
     */
    private static final class FaultyDiscovery {
        private final WatchFault fault;
        private final int port;
        private final AtomicInteger calls = new AtomicInteger();
        private final CompletableFuture<Double> receivedAfter = new CompletableFuture<>();
        private ServerSocket listening;
        private volatile double changedAt;

        FaultyDiscovery(WatchFault fault) throws IOException {
            this.fault = fault;
            listening = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
            port = listening.getLocalPort();
            accept(listening);
        }

        private void accept(ServerSocket from) {
            startDaemon(() -> {
                while (true) {
                    Socket socket = from.accept();
                    startDaemon(() -> serve(socket));
                }
            });
        }

        private void serve(Socket socket) throws Exception {
            var in = new BufferedReader(new InputStreamReader(socket.getInputStream(), US_ASCII));
            for (String call = in.readLine(); call != null; call = in.readLine()) {
                if (!call.startsWith("GET") || call.contains("after=3")) {
                    continue;
                }
                changedAt = changedAt > 0 || call.contains("wait_ms=0") ? changedAt : now();
                int number = changedAt == 0 ? 0 : calls.incrementAndGet();
                if (number == 0) {
                    answer(socket, 2);
                } else if ((number > 1 && number > faultyCalls()) || fault == WatchFault.NONE) {
                    receivedAfter.complete(now() - changedAt);
                    answer(socket, 3);
                } else if (!injectFault(socket)) {
                    return;
                }
            }
        }

        private int faultyCalls() {
            return fault == WatchFault.SILENT_TWICE || fault == WatchFault.BUSY_TWICE ? 2 : 1;
        }

        /** Applies the fault to a connection; returns whether the connection is still open. */
        private boolean injectFault(Socket socket) throws Exception {
            switch (fault) {
                case BUSY_TWICE -> write(socket, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
                case PARTIAL_ANSWER -> write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n{\"rev\":3,");
                case PARTIAL_ANSWER_THEN_RESET -> {
                    write(socket, "HTTP/1.1 200 OK\r\n\r\n{\"rev\":3,");
                    socket.setSoLinger(true, 0);
                    socket.close();
                }
                case RESET -> {
                    socket.setSoLinger(true, 0);
                    socket.close();
                }
                case PARTIAL_ANSWER_THEN_CLOSE -> {
                    write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n{\"rev\":3,");
                    socket.close();
                }
                case REFUSED -> {
                    listening.close();
                    socket.close();
                    TimeUnit.SECONDS.sleep(2);
                    changedAt = now(); // the delay counts from when the service is reachable
                    listening = new ServerSocket(port, 50, InetAddress.getByName("127.0.0.1"));
                    accept(listening);
                }
                default -> {}
            }
            return !socket.isClosed();
        }

        private static void answer(Socket socket, int version) throws IOException {
            String list = "{\"rev\":" + version + ",\"all\":false,\"targets\":[]}";
            write(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list);
        }

        private static void write(Socket socket, String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(US_ASCII));
            socket.getOutputStream().flush();
        }
    }

    private interface ThrowingRunnable {
        void run() throws Exception;
    }

    private static void startDaemon(ThrowingRunnable work) {
        var thread = new Thread(() -> {
            try {
                work.run();
            } catch (Exception e) {
                // the socket was closed
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private static double now() {
        return System.nanoTime() / 1e9;
    }

    private void start(FaultyDiscovery service, long seed) throws InterruptedException {
        var any = new RequestClass(
                "any",
                Idempotency.IDEMPOTENT,
                ConsistencyLevel.EVENTUAL,
                20,
                60,
                1,
                0,
                DeduplicationScope.REPLICA_SET,
                60,
                0);
        var settings = new RoutingSettings(
                1, "a", List.of(any), true, true, false, true, true, true, true, true, 1, 3, 0.2, 10, 3, 3, 1, 15);
        var known = EndpointList.parse("{\"rev\":2,\"all\":true,\"targets\":[]}");
        servers.add(new Server(
                Transport.tcp(),
                new RouterConfiguration(
                        "test",
                        transport.ephemeralAddress(0),
                        new InetSocketAddress("127.0.0.1", service.port),
                        seed,
                        1 << 24,
                        1024,
                        known,
                        settings,
                        2)));
    }

    @ParameterizedTest
    @EnumSource
    void changeIsReceivedInTimeDespiteAFaultOfTheWatch(WatchFault fault) throws Exception {
        for (int i = 0; i < ROUTERS; i++) {
            services.add(new FaultyDiscovery(fault));
            start(services.get(i), i);
        }
        for (FaultyDiscovery service : services) {
            double age = service.receivedAfter.get(30, TimeUnit.SECONDS);
            assertTrue(age < MAX_DELAY_SECONDS, age + " s");
        }
    }

    @AfterEach
    void close() throws IOException {
        servers.forEach(Server::close);
        transport.close();
        for (FaultyDiscovery service : services) {
            service.listening.close();
        }
    }
}
