package clayhook.benchmarks;

import clayhook.RequestClass;
import clayhook.RequestClass.ConsistencyLevel;
import clayhook.RequestClass.Idempotency;
import clayhook.RoutingSettings;
import clayhook.config.OperatorConfiguration;
import clayhook.config.RouterConfiguration;
import clayhook.discovery.EndpointList;
import clayhook.serve.Server;
import clayhook.statements.StatementRules;
import clayhook.transport.Transport;
import clayhook.warmup.StubClient;
import clayhook.warmup.StubDiscovery;
import clayhook.warmup.StubNode;
import clayhook.warmup.StubNode.StubResponse;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.TearDown;
import org.openjdk.jmh.annotations.Warmup;

/**
 * Measures the round trip of one client's read through a router on loopback, with the same statement text, with and
 * without statement classification.
 */
@State(Scope.Thread)
@Fork(
        value = 1,
        jvmArgsAppend = {"-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"})
@Warmup(iterations = 3, time = 2)
@Measurement(iterations = 5, time = 2)
@BenchmarkMode(Mode.SampleTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class RoutingBenchmark {
    @Param({"false", "true"})
    public boolean statements;

    private Transport stubTransport;
    private Transport routerTransport;
    private Server server;
    private StubClient client;
    private int id;

    @Setup
    public void start() throws Exception {
        stubTransport = Transport.tcp();
        routerTransport = Transport.tcp();
        var replica = new StubNode(
                stubTransport, stubTransport.ephemeralAddress(0), "replica", any -> StubResponse.answer("value"));
        var primary = new StubNode(
                stubTransport, stubTransport.ephemeralAddress(0), "primary", any -> StubResponse.answer("value"));
        var discovery = new StubDiscovery(stubTransport, stubTransport.ephemeralAddress(0), call -> null);
        var requestClasses = List.of(
                requestClass("read", Idempotency.IDEMPOTENT, ConsistencyLevel.EVENTUAL),
                requestClass("write", Idempotency.NON_IDEMPOTENT, ConsistencyLevel.WRITE));
        var settings = new RoutingSettings(
                1, "a", requestClasses, true, true, false, true, true, true, true, true, 1, 9, 0.2, 10, 3, 3, 1, 15);
        String endpointList = "{\"rev\":2,\"all\":true,\"targets\":[" + endpointJson("p", primary, "primary") + ","
                + endpointJson("r", replica, "replica") + "]}";
        var rules = new StatementRules(
                true, Set.of(), Set.of(), Set.of(), Set.of(), Set.of(), 4 << 20, 2000, false, List.of(), "read",
                "write", 1);
        server = new Server(
                routerTransport,
                new RouterConfiguration(
                        "bench",
                        stubTransport.ephemeralAddress(0),
                        discovery.address(),
                        1,
                        1 << 27,
                        1024,
                        EndpointList.parse(endpointList),
                        settings,
                        2),
                new OperatorConfiguration(
                        statements ? new OperatorConfiguration.StatementSettings(rules, false, 0, 1 << 20) : null,
                        "clayhook",
                        "core",
                        null));
        client = new StubClient(stubTransport, server.address());
        client.send(StubClient.startupAndFirst(nextStatement()));
        client.nextAnswer();
        client.nextAnswer();
    }

    private static RequestClass requestClass(String name, Idempotency idempotency, ConsistencyLevel level) {
        return new RequestClass(
                name, idempotency, level, 1, 5, 1, 0, RequestClass.DeduplicationScope.REPLICA_SET, 1, 0);
    }

    private static String endpointJson(String id, StubNode node, String role) {
        return "{\"uid\":\"" + id + "\",\"endpoint\":\"127.0.0.1:"
                + node.address().getPort() + "\",\"az\":\"a\",\"pod_group\":1,\"state\":\"up\",\"role\":\"" + role
                + "\",\"boot_ms\":0}";
    }

    private io.netty.buffer.ByteBuf nextStatement() {
        return StubClient.statement(false, "id=" + id++ + ",c=read,d=4000,cluster=1");
    }

    @Benchmark
    public String read() throws InterruptedException {
        client.send(nextStatement());
        return client.nextAnswer();
    }

    @TearDown
    public void end() {
        server.close();
        stubTransport.close();
    }
}
