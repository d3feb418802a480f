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
 * One client's read through a router on loopback, there and back: the same text, with and without reading statements.
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

    private Transport transport;
    private Transport own;
    private Server server;
    private StubClient client;
    private int id;

    @Setup
    public void start() throws Exception {
        transport = Transport.tcp();
        own = Transport.tcp();
        var node =
                new StubNode(transport, transport.ephemeralAddress(0), "replica", any -> StubResponse.answer("value"));
        var primary =
                new StubNode(transport, transport.ephemeralAddress(0), "primary", any -> StubResponse.answer("value"));
        var discovery = new StubDiscovery(transport, transport.ephemeralAddress(0), call -> null);
        var groups = List.of(
                group("read", Idempotency.IDEMPOTENT, ConsistencyLevel.EVENTUAL),
                group("write", Idempotency.NON_IDEMPOTENT, ConsistencyLevel.WRITE));
        var settings = new RoutingSettings(
                1, "a", groups, true, true, false, true, true, true, true, true, 1, 9, 0.2, 10, 3, 3, 1, 15);
        String list = "{\"rev\":2,\"all\":true,\"targets\":[" + entry("p", primary, "primary") + ","
                + entry("r", node, "replica") + "]}";
        var rules = new StatementRules(
                true, Set.of(), Set.of(), Set.of(), Set.of(), Set.of(), 4 << 20, 2000, false, List.of(), "read",
                "write", 1);
        server = new Server(
                own,
                new RouterConfiguration(
                        "bench",
                        transport.ephemeralAddress(0),
                        discovery.address(),
                        1,
                        1 << 27,
                        1024,
                        EndpointList.parse(list),
                        settings,
                        2),
                new OperatorConfiguration(
                        statements ? new OperatorConfiguration.StatementSettings(rules, false, 0, 1 << 20) : null,
                        "clayhook",
                        "core",
                        null));
        client = new StubClient(transport, server.address());
        client.send(StubClient.startupAndFirst(statement()));
        client.nextAnswer();
        client.nextAnswer();
    }

    private static RequestClass group(String name, Idempotency effect, ConsistencyLevel level) {
        return new RequestClass(name, effect, level, 1, 5, 1, 0, RequestClass.DeduplicationScope.REPLICA_SET, 1, 0);
    }

    private static String entry(String id, StubNode node, String role) {
        return "{\"uid\":\"" + id + "\",\"endpoint\":\"127.0.0.1:"
                + node.address().getPort() + "\",\"az\":\"a\",\"pod_group\":1,\"state\":\"up\",\"role\":\"" + role
                + "\",\"boot_ms\":0}";
    }

    private io.netty.buffer.ByteBuf statement() {
        return StubClient.statement(false, "id=" + id++ + ",c=read,d=4000,cluster=1");
    }

    @Benchmark
    public String read() throws InterruptedException {
        client.send(statement());
        return client.nextAnswer();
    }

    @TearDown
    public void end() {
        server.close();
        transport.close();
    }
}
