package clayhook.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;

import clayhook.RequestClass;
import clayhook.RequestClass.ConsistencyLevel;
import clayhook.RequestClass.DeduplicationScope;
import clayhook.RequestClass.Idempotency;
import clayhook.RoutingSettings;
import clayhook.config.RouterConfiguration;
import clayhook.discovery.EndpointList;
import clayhook.frontend.SocketClient;
import clayhook.protocol.KeyValueStatement;
import clayhook.protocol.MessageEncoder;
import clayhook.transport.Transport;
import clayhook.warmup.StubClient;
import clayhook.warmup.StubDiscovery;
import clayhook.warmup.StubNode;
import clayhook.warmup.StubNode.StubResponse;
import io.netty.buffer.ByteBuf;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Future;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.function.Function;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests with a complete router on loopback, between stub servers, that no attempt starts for a client that has
 * disconnected or cancelled its request.
 */
class ClientDisconnectTest {
    private final Transport transport = Transport.tcp();
    private final Transport routerTransport = Transport.tcp();
    private final LinkedBlockingQueue<KeyValueStatement> sent = new LinkedBlockingQueue<>();
    private Server server;
    private SlowNode slowNode;

    /**
     * A node that delays the startup of connections and its error answer to statement 1 until the test permits them;
     * answers other statements immediately.
     */
    private final class SlowNode implements Runnable {
        private final ServerSocket listening = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        private final Semaphore connected = new Semaphore(0);
        private final CountDownLatch mayConnect = new CountDownLatch(1);
        private final Semaphore errors = new Semaphore(0);
        private final Semaphore failed = new Semaphore(0);

        private SlowNode() throws IOException {
            startDaemon(this);
        }

        private static void startDaemon(Runnable step) {
            var thread = new Thread(step);
            thread.setDaemon(true);
            thread.start();
        }

        @Override
        public void run() {
            try {
                while (true) {
                    Socket socket = listening.accept();
                    startDaemon(() -> serve(socket));
                }
            } catch (IOException e) {
                // the test has closed the listening socket
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                var in = new DataInputStream(socket.getInputStream());
                in.skipNBytes(in.readInt() - 4);
                connected.release();
                mayConnect.await();
                write(socket, MessageEncoder.startupResponse(0, Map.of()));
                while (in.readByte() == 'Q') {
                    byte[] text = in.readNBytes(in.readInt() - 4);
                    KeyValueStatement statement = KeyValueStatement.parse(Arrays.copyOf(text, text.length - 1));
                    sent.add(statement);
                    if (statement.requestId.equals("1")) {
                        errors.acquire();
                        write(socket, MessageEncoder.error(false, "53300", "as told", null));
                        failed.release();
                    } else {
                        write(socket, StubNode.row("s", "primary", System.currentTimeMillis(), "inflight=1"));
                    }
                }
            } catch (IOException | InterruptedException e) {
                // the router has closed the connection
            }
        }

        private void write(Socket socket, ByteBuf bytes) throws IOException {
            bytes.readBytes(socket.getOutputStream(), bytes.readableBytes());
        }
    }

    private static RequestClass requestClass(String name, Idempotency idempotency, ConsistencyLevel consistency) {
        return new RequestClass(name, idempotency, consistency, 20, 60, 1, 0, DeduplicationScope.REPLICA_SET, 60, 0);
    }

    private void start(InetSocketAddress primary) throws InterruptedException {
        String list =
                "{\"rev\":2,\"all\":true,\"targets\":[{\"uid\":\"p\",\"endpoint\":\"127.0.0.1:" + primary.getPort()
                        + "\",\"az\":\"a\",\"pod_group\":1,\"state\":\"up\",\"role\":\"primary\",\"boot_ms\":0}]}";
        var discovery = new StubDiscovery(transport, transport.ephemeralAddress(0), call -> null);
        var settings = new RoutingSettings(
                1,
                "a",
                List.of(
                        requestClass("any", Idempotency.IDEMPOTENT, ConsistencyLevel.EVENTUAL),
                        requestClass("mutating", Idempotency.NON_IDEMPOTENT, ConsistencyLevel.WRITE)),
                true,
                true,
                false,
                true,
                false,
                true,
                true,
                true,
                1,
                3,
                0.2,
                10,
                3,
                3,
                1,
                15);
        server = new Server(
                routerTransport,
                new RouterConfiguration(
                        "test",
                        transport.ephemeralAddress(0),
                        discovery.address(),
                        1,
                        1 << 24,
                        1024,
                        EndpointList.parse(list),
                        settings,
                        60));
    }

    private void start(Function<KeyValueStatement, StubResponse> behaviour) throws InterruptedException {
        start(new StubNode(transport, transport.ephemeralAddress(0), "primary", statement -> {
                    sent.add(statement);
                    return behaviour.apply(statement);
                })
                .address());
    }

    private void startSlow() throws Exception {
        slowNode = new SlowNode();
        start((InetSocketAddress) slowNode.listening.getLocalSocketAddress());
    }

    private SocketClient client() throws IOException {
        return new SocketClient(server.address());
    }

    private static ByteBuf read(int id) {
        return StubClient.statement(false, "id=" + id + ",c=any,d=30000,cluster=1");
    }

    private static ByteBuf write(int id) {
        return StubClient.statement(true, "id=" + id + ",c=mutating,d=30000,cluster=1");
    }

    private List<String> ids() {
        return sent.stream().map(statement -> statement.requestId).toList();
    }

    /** Shuts down the output of a client's socket and waits until the router has closed the connection. */
    private static void disconnect(SocketClient client) throws IOException {
        if (!client.socket.isOutputShutdown()) {
            client.socket.shutdownOutput();
        }
        String reply = client.readResponse();
        assertEquals("closed", reply.equals("ready") ? client.readResponse() : reply);
    }

    /** Runs a step while the router's event loop is blocked. */
    private void whileLoopIsBlocked(Callable<?> step) throws Exception {
        var blocked = new CountDownLatch(1);
        var done = new CountDownLatch(1);
        Future<?> block = routerTransport.eventLoop().submit(() -> {
            blocked.countDown();
            done.await();
            return null;
        });
        blocked.await();
        try {
            step.call();
        } finally {
            done.countDown();
        }
        block.get();
    }

    @AfterEach
    void close() throws IOException {
        server.close();
        transport.close();
        if (slowNode != null) {
            slowNode.mayConnect.countDown();
            slowNode.listening.close();
        }
    }

    /** Guards against requests that are sent although their client closed, with much unread, during a stall. */
    @ParameterizedTest
    @ValueSource(ints = {1, 30, 900, 1600, 6000})
    void requestsReadTogetherWithACloseAreNotSent(int requests) throws Exception {
        start(any -> StubResponse.answer("v"));
        SocketClient other = client().sendStartup(read(1));
        assertEquals("ready", other.readResponse());
        assertEquals("v", other.readResponse());
        SocketClient client = client().sendStartup();
        assertEquals("ready", client.readResponse());
        whileLoopIsBlocked(() -> {
            for (int i = 0; i < requests; i++) {
                client.send(read(10 + i));
            }
            client.socket.close();
            return null;
        });
        other.send(read(2));
        assertEquals("v", other.readResponse());
        assertEquals(List.of("1", "2"), ids());
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 40})
    void noAttemptStartsForAClientThatDisconnectsWhileItsFirstAttemptWaitsForAConnection(int requests)
            throws Exception {
        startSlow();
        SocketClient client = client().sendStartup();
        for (int i = 0; i < requests; i++) {
            client.send(write(10 + i));
        }
        slowNode.connected.acquire();
        disconnect(client);
        slowNode.mayConnect.countDown();
        SocketClient other = client().sendStartup(read(2));
        assertEquals("ready", other.readResponse());
        assertEquals("s", other.readResponse());
        assertEquals(List.of("2"), ids());
    }

    @ParameterizedTest
    @CsvSource({"false, false", "true, false", "true, true"})
    void noFurtherAttemptStartsForAClientThatDisconnectsDuringTheFirst(boolean together, boolean errorFirst)
            throws Exception {
        startSlow();
        slowNode.mayConnect.countDown();
        SocketClient client = client().sendStartup(write(1));
        assertEquals("1", sent.take().requestId);
        if (together) {
            whileLoopIsBlocked(() -> {
                if (!errorFirst) {
                    client.socket.shutdownOutput();
                }
                slowNode.errors.release(9);
                slowNode.failed.acquire();
                if (errorFirst) {
                    client.socket.shutdownOutput();
                }
                return null;
            });
        }
        disconnect(client);
        slowNode.errors.release(9);
        SocketClient other = client().sendStartup(write(2));
        assertEquals("ready", other.readResponse());
        assertEquals("s", other.readResponse());
        assertEquals(List.of("2"), ids());
    }

    /** Guards against an id that runs twice when it comes again after its client has left. */
    @ParameterizedTest
    @ValueSource(strings = {"mutating", "any"})
    void idOfARequestThatMayHaveRunIsRefusedAfterItsClientHasLeft(String requestClass) throws Exception {
        start(statement -> statement.requestId.equals("1") ? StubResponse.silence() : StubResponse.answer("s"));
        ByteBuf statement =
                StubClient.statement(requestClass.equals("mutating"), "id=1,c=" + requestClass + ",d=30000,cluster=1");
        SocketClient client = client().sendStartup(statement.retainedDuplicate());
        assertEquals("ready", client.readResponse());
        assertEquals("1", sent.take().requestId);
        client.socket.close();
        SocketClient other = client().sendStartup(statement);
        assertEquals("ready", other.readResponse());
        assertEquals("42601", other.readResponse());
        assertEquals("the id of an open command", other.lastErrorMessage);
        other.send(write(2));
        assertEquals("s", other.readResponse());
        assertEquals(List.of("2"), ids());
    }

    /** A request that was never sent may be sent again under its id. */
    @Test
    void idOfARequestThatWasNeverSentIsAcceptedAfterItsClientHasLeft() throws Exception {
        startSlow();
        SocketClient client = client().sendStartup(write(5));
        slowNode.connected.acquire();
        disconnect(client);
        slowNode.mayConnect.countDown();
        SocketClient other = client().sendStartup(write(5));
        assertEquals("ready", other.readResponse());
        assertEquals("s", other.readResponse());
        assertEquals(List.of("5"), ids());
    }

    @ParameterizedTest
    @CsvSource({"false, it is not known whether the statement has run", "true, the statement has not run"})
    void cancelledRequestGetsOneAnswerThatStatesWhetherItMayHaveRun(boolean waiting, String text) throws Exception {
        if (waiting) {
            startSlow();
        } else {
            start(statement -> statement.requestId.equals("1") ? StubResponse.silence() : StubResponse.answer("s"));
        }
        SocketClient client = client().sendStartup(write(1));
        assertEquals("ready", client.readResponse());
        if (waiting) {
            slowNode.connected.acquire();
        } else {
            assertEquals("1", sent.take().requestId);
        }
        assertEquals(
                "closed",
                client().send(SocketClient.cancelRequest(client.cancelKey)).readResponse());
        assertEquals("57014", client.readResponse());
        assertEquals("cancelled; " + text, client.lastErrorMessage);
        if (waiting) {
            slowNode.mayConnect.countDown();
        }
        client.send(write(2), write(3));
        assertEquals("s", client.readResponse());
        assertEquals("s", client.readResponse());
        assertEquals(List.of("2", "3"), ids());
    }
}
